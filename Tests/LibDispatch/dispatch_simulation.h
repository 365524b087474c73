// Simulates several entry VMs in one process, with their network, platform,
// workers and callers. The guarantees are checked on the workers' log of
// started tasks and on the answers that the callers received.
#pragma once

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "LibDispatch/dispatcher.h"
#include "fake_platform.h"
#include "scenario.h"

namespace mustardbank {

enum class Guarantee {
  kStartsOnce,
  kWholeOrFailed,
  kRightCaller,
  kTrueRefusals,
  kAtMostOnce,
  kLeavingDrained,
  kGracefulStop,
  kConfigInForce,
};
inline constexpr EnumNames<Guarantee, 8> kGuaranteeNames{
    {"starts_once", "whole_or_failed", "right_caller", "true_refusals",
     "at_most_once", "leaving_drained", "graceful_stop", "config_in_force"}};

using Violations = std::map<Guarantee, std::vector<std::string>>;

template <Safeguards Guards>
class DispatchSimulation {
 public:
  explicit DispatchSimulation(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {
    MakeWorkers();
    MakeVms();
    ScheduleJobs();
    ScheduleFaults();
    After(kSampleMs, [this] { SampleConfigurations(); });
  }

  Violations Run() {
    while (!queue_.empty() && now_ms_ < kEndMs) {
      const Entry entry = queue_.top();
      queue_.pop();
      now_ms_ = entry.at_ms;
      entry.action();
      if (now_ms_ > kHorizonMs && UnfinishedJobs() == 0)
        break;
    }
    CheckLog();
    return std::move(violations_);
  }

 private:
  using Core = Dispatcher<HomeLendingPlacement, Guards>;

  static constexpr int kVms = 3;
  static constexpr int kWorkers = 4;
  static constexpr int kSlots = 2;
  static constexpr double kTickMs = 10;
  static constexpr double kPollMs = 200;
  static constexpr double kSampleMs = 50;
  static constexpr double kHorizonMs = 4'000;
  static constexpr double kEndMs = 30'000;
  static constexpr double kClientTimeoutMs = 2'500;
  static constexpr double kRetryMs = 100;
  static constexpr double kSettleMs = 700;  // time allowed to adopt a change
  static constexpr double kExitPollMs = 10;
  static constexpr int kExitIdlePolls = 20;
  static constexpr int kMaxExitPolls = 30;
  static constexpr int kPauseLeaseMs = 1'000;

  struct Entry {
    double at_ms;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Entry& other) const {
      return std::pair(at_ms, order) > std::pair(other.at_ms, other.order);
    }
  };

  struct Vm {
    Endpoint endpoint;
    std::string data_center;
    std::unique_ptr<Core> core;
    int generation = 0;  // differs after each start and stop
    bool is_partitioned = false;
    double started_ms = 0;
    double paused_until_ms = -1;
    double wall_offset_ms = 0;
    std::uint64_t last_version = 0;
    std::uint64_t inventory_read = 0;
    std::map<Endpoint, std::uint64_t> newest_incarnation;
    std::map<std::uint64_t, std::function<void(const Reply&)>> requests;
  };

  struct WorkerModel {
    VmRecord vm;
    bool is_dead = false;
    bool fails = false;
    bool crosses_answers = false;
    bool loses_answers = false;
    std::optional<double> leaving_since_ms;
    std::map<AttemptId, std::string> running;  // answer bodies
  };

  struct Start {
    std::string job_id;
    std::uint32_t task = 0;
    bool non_idempotent = false;
    bool may_retry = false;
    bool has_failed = false;  // the worker answered with a failure
    double at_ms = 0;
  };

  struct Client {
    JobPlan plan;
    int number = 0;
    std::string id;
    std::vector<std::string> ids_used;
    bool is_done = false;
  };

  struct FinalAnswer {
    bool is_complete = false;
    bool says_not_run = false;
  };

  // Events and time.

  void After(double ms, std::function<void()> action) {
    queue_.push(Entry{now_ms_ + ms, order_++, std::move(action)});
  }
  double Latency() { return 0.5 + random_() % 25 / 10.0; }
  Time Now() const { return Time(FromMilliseconds(1e6 + now_ms_)); }
  ClockReading Clock(const Vm& vm) const {
    return ClockReading{
        .boot = Now(),
        .wall = std::chrono::milliseconds(
            static_cast<std::int64_t>(1e9 + now_ms_ + vm.wall_offset_ms))};
  }
  void RecordViolation(Guarantee guarantee, std::string text) {
    violations_[guarantee].push_back(std::to_string(now_ms_) + ": " +
                                     std::move(text));
  }

  // Runs `action` on a VM: after the pause if the VM is paused, never if it
  // restarts before.
  void OnVm(int index, int generation, std::function<void()> action) {
    Vm& vm = vms_[index];
    if (vm.generation != generation || !vm.core)
      return;
    if (vm.paused_until_ms > now_ms_) {
      After(vm.paused_until_ms - now_ms_,
            [this, index, generation, action = std::move(action)]() mutable {
              OnVm(index, generation, std::move(action));
            });
      return;
    }
    action();
  }

  void Deliver(int index, Event event) {
    const int generation = vms_[index].generation;
    const auto shared = std::make_shared<Event>(std::move(event));
    OnVm(index, generation, [this, index, shared] {
      vms_[index].core->Handle(std::move(*shared), Now());
      TickVm(index);
    });
  }

  void TickVm(int index) {
    Vm& vm = vms_[index];
    vm.core->Tick(Clock(vm));
    for (Action& action : vm.core->TakeActions()) {
      if (!vm.core)
        return;
      std::visit([&](auto& concrete) { Execute(index, concrete); }, action);
    }
  }

  void ScheduleTicks(int index, int generation) {
    OnVm(index, generation, [this, index] { TickVm(index); });
    if (vms_[index].generation == generation && vms_[index].core)
      After(kTickMs,
            [this, index, generation] { ScheduleTicks(index, generation); });
  }

  // Entry VMs.

  void MakeVms() {
    for (int i = 0; i < kVms; ++i) {
      Vm& vm = vms_.emplace_back();
      vm.endpoint = Endpoint{.ip = 0x0A000001U + i, .port = 7000};
      vm.data_center = "dc" + std::to_string(i % 2);
    }
    for (int i = 0; i < kVms; ++i)
      StartVm(i);
  }

  void StartVm(int index) {
    Vm& vm = vms_[index];
    ++vm.generation;
    vm.started_ms = now_ms_;
    vm.last_version = 0;
    vm.inventory_read = 0;
    vm.requests.clear();
    vm.newest_incarnation.clear();
    DispatchOptions options;
    options.self.set_name("vm" + std::to_string(index));
    options.self.set_data_center(vm.data_center);
    options.self.set_ip(vm.endpoint.ip);
    options.self.set_port(vm.endpoint.port);
    std::uint64_t incarnation =
        static_cast<std::uint64_t>(1e9 + now_ms_ + vm.wall_offset_ms) * 16 +
        vm.generation;
    const auto registered = platform_.registrations.find(vm.endpoint);
    if (CanReachPlatform(index) && registered != platform_.registrations.end())
      incarnation = std::max(incarnation, registered->second.incarnation() + 1);
    options.self.set_incarnation(incarnation);
    options.job_id_key = "0123456789abcdef";
    for (const Vm& other : vms_)
      options.peer_seeds.push_back(other.endpoint);
    options.timing.pause_lease_ms = kPauseLeaseMs;
    options.timing.heartbeat_ms = 100;
    options.timing.peer_silence_ms = 400;
    options.timing.loan_idle_ms = 100;
    options.seed = random_();
    vm.core = std::make_unique<Core>(options);
    Execute(index, PublishIdentity{.identity = options.self});
    ScheduleTicks(index, vm.generation);
    PollPlatform(index, vm.generation);
  }

  void StopVm(int index) {
    Vm& vm = vms_[index];
    ++vm.generation;
    // The core may still be on the call stack, so it is destroyed later.
    const std::shared_ptr<Core> old_core(vm.core.release());
    After(0, [old_core] {});
    auto lost = std::exchange(vm.requests, {});
    for (const auto& [request, respond] : lost)
      After(1, [lost_respond = respond] { lost_respond(Reply{.status = 0}); });
  }

  bool CanReachPlatform(int index) const {
    return !platform_.is_out && !vms_[index].is_partitioned;
  }

  void PollPlatform(int index, int generation) {
    if (vms_[index].generation != generation || !vms_[index].core)
      return;
    if (CanReachPlatform(index) && vms_[index].paused_until_ms <= now_ms_) {
      // Some answers are slow and arrive after later ones.
      const double delay = Latency() * (random_() % 8 == 0 ? 150 : 1);
      const auto read =
          std::make_shared<ConfigurationRead>(platform_.ReadConfiguration());
      After(delay, [this, index, generation, read] {
        if (vms_[index].generation == generation && vms_[index].core)
          Deliver(index, std::move(*read));
      });
      if (vms_[index].inventory_read != platform_.inventory.version) {
        vms_[index].inventory_read = platform_.inventory.version;
        Deliver(index, InventoryRead{.changes = platform_.inventory});
      }
      RegistrationsRead registrations{.successions = platform_.successions};
      for (const auto& [endpoint, identity] : platform_.registrations)
        registrations.vms.push_back(identity);
      Deliver(index, std::move(registrations));
    }
    After(kPollMs,
          [this, index, generation] { PollPlatform(index, generation); });
  }

  // Actions.

  void Execute(int index, ReplyToCaller& action) {
    auto node = vms_[index].requests.extract(action.request);
    if (node.empty())
      return;
    After(Latency(),
          [respond = node.mapped(), reply = action.reply] { respond(reply); });
  }

  void Execute(int index, StartTask& action) {
    const int generation = vms_[index].generation;
    // The traffic thread sends the task a little later and checks
    // `start_before` again.
    const auto shared = std::make_shared<StartTask>(std::move(action));
    After(0.2, [this, index, generation, shared] {
      OnVm(index, generation, [this, index, generation, shared] {
        if (Now() > shared->start_before) {
          EndAttempt(index, generation, *shared, AttemptResult::kStale, "");
          return;
        }
        After(Latency(), [this, index, generation, shared] {
          ArriveAtWorker(index, generation, *shared);
        });
      });
    });
  }

  void Execute(int index, SendToPeer& action) {
    const int generation = vms_[index].generation;
    const auto shared = std::make_shared<SendToPeer>(std::move(action));
    After(Latency(), [this, index, generation, shared] {
      ArriveAtPeer(index, generation, *shared);
    });
  }

  void ArriveAtPeer(int from, int generation, SendToPeer& message) {
    const auto report = [this, from, generation, &message](
                            bool reached, std::uint64_t incarnation,
                            std::uint64_t known, double delay) {
      const PeerContact contact{
          .peer = message.peer,
          .reached = reached,
          .incarnation = incarnation,
          .known_incarnation = known,
          .forwarded_request = message.envelope.has_forward()
                                   ? message.envelope.forward().request()
                                   : 0};
      After(delay, [this, from, generation, contact] {
        if (vms_[from].generation == generation && vms_[from].core)
          Deliver(from, contact);
      });
    };
    const int to = IndexOf(message.peer);
    if (to < 0 || vms_[to].is_partitioned || vms_[from].is_partitioned ||
        !vms_[to].core) {
      report(false, 0, 0, 2);
      return;
    }
    Vm& receiver = vms_[to];
    if (receiver.paused_until_ms > now_ms_) {
      report(false, 0, 0, 1'000);
    } else {
      std::uint64_t& newest_incarnation =
          receiver.newest_incarnation[vms_[from].endpoint];
      newest_incarnation =
          std::max(newest_incarnation, message.envelope.sender().incarnation());
      report(true, receiver.core->state().incarnation(), newest_incarnation,
             Latency());
    }
    Deliver(to, PeerMessage{.envelope = message.envelope});
  }

  void Execute(int index, BindKeys& action) {
    const int generation = vms_[index].generation;
    const auto keys = std::make_shared<BindKeys>(std::move(action));
    After(Latency(), [this, index, generation, keys] {
      KeysBound bound{.batch = keys->batch, .bindings = keys->bindings};
      bound.succeeded = CanReachPlatform(index);
      if (bound.succeeded) {
        for (KeyBinding& binding : bound.bindings) {
          binding.job_id =
              platform_.keys.emplace(binding.key, binding.job_id).first->second;
        }
        if (platform_.write_answers_to_lose > 0) {
          --platform_.write_answers_to_lose;
          bound.succeeded = false;
        }
      }
      After(bound.succeeded ? Latency() : 300,
            [this, index, generation, bound] {
              if (vms_[index].generation == generation && vms_[index].core)
                Deliver(index, bound);
            });
    });
  }

  void Execute(int index, ReleaseKey& action) {
    const auto bound = platform_.keys.find(action.binding.key);
    if (CanReachPlatform(index) && bound != platform_.keys.end() &&
        bound->second == action.binding.job_id) {
      platform_.keys.erase(bound);
    }
  }

  void Execute(int index, const PublishIdentity& action) {
    if (CanReachPlatform(index))
      platform_.registrations[vms_[index].endpoint] = action.identity;
  }

  void Execute(int index, PublishSuccession& action) {
    if (CanReachPlatform(index))
      platform_.successions.push_back(action.succession);
  }

  void Execute(int index, LeaveFinished&) {
    ExitWhenIdle(index, vms_[index].generation, 0, 0);
  }

  // Exits after a time without requests, or at the latest after a fixed wait,
  // like the real process.
  void ExitWhenIdle(int index, int generation, int polls, int idle_polls) {
    After(kExitPollMs, [this, index, generation, polls, idle_polls] {
      OnVm(index, generation, [this, index, generation, polls, idle_polls] {
        const int idle = vms_[index].requests.empty() ? idle_polls + 1 : 0;
        if (idle >= kExitIdlePolls || polls >= kMaxExitPolls)
          Exit(index);
        else
          ExitWhenIdle(index, generation, polls + 1, idle);
      });
    });
  }

  // Ends the process. All requests must have been answered by then.
  void Exit(int index) {
    if (!vms_[index].requests.empty()) {
      RecordViolation(Guarantee::kGracefulStop,
                      "vm" + std::to_string(index) + " stopped with " +
                          std::to_string(vms_[index].requests.size()) +
                          " requests in progress");
    }
    StopVm(index);
    After(300, [this, index] {
      if (!vms_[index].core)
        StartVm(index);
    });
  }

  int IndexOf(Endpoint endpoint) const {
    for (int i = 0; i < kVms; ++i) {
      if (vms_[i].endpoint == endpoint)
        return i;
    }
    return -1;
  }

  // Workers.

  void MakeWorkers() {
    for (int i = 0; i < kWorkers; ++i) {
      WorkerModel& worker = workers_.emplace_back();
      worker.vm.name = "worker" + std::to_string(i);
      worker.vm.data_center = "dc" + std::to_string(i % 2);
      worker.vm.endpoint = Endpoint{.ip = 0x0A010001U + i, .port = 80};
      worker.vm.slots = kSlots;
      platform_.inventory.vms[worker.vm.name] = worker.vm;
    }
    platform_.inventory.version = 1;
  }

  WorkerModel& WorkerNamed(const std::string& name) {
    return *std::ranges::find_if(
        workers_, [&](const auto& worker) { return worker.vm.name == name; });
  }

  void ArriveAtWorker(int index, int generation, const StartTask& task) {
    WorkerModel& worker = WorkerNamed(task.worker);
    if (worker.is_dead) {
      EndAttempt(index, generation, task, AttemptResult::kNotSent, "");
      return;
    }
    if (worker.leaving_since_ms) {
      const double settled =
          std::max({*worker.leaving_since_ms, last_disturbance_ms_,
                    vms_[index].started_ms}) +
          kSettleMs;
      if (now_ms_ > settled) {
        RecordViolation(Guarantee::kLeavingDrained,
                        task.worker + ", leaving since " +
                            std::to_string(*worker.leaving_since_ms) +
                            ", was sent a new task");
      }
    }
    if (worker.running.size() >= kSlots) {
      EndAttempt(index, generation, task, AttemptResult::kRefusedBusy, "");
      return;
    }
    RunTask(worker, index, generation, task);
  }

  void RunTask(WorkerModel& worker,
               int index,
               int generation,
               const StartTask& task) {
    const std::string body = R"({"job":")" + task.job_id + R"(","task":)" +
                             std::to_string(task.attempt.task) + "}";
    const std::size_t start = log_.size();
    log_.push_back(
        Start{.job_id = task.job_id,
              .task = task.attempt.task,
              .non_idempotent = task.request == "once",
              .may_retry = task.service == "retry" && task.request == "any",
              .at_ms = now_ms_});
    worker.running[task.attempt] = body;
    const bool fails = worker.fails;
    const double run_ms = fails ? 1 : std::stod(task.payload);
    After(run_ms, [this, index, generation, task, start, fails] {
      WorkerModel& ended = WorkerNamed(task.worker);
      auto node = ended.running.extract(task.attempt);
      if (node.empty())
        return;  // the worker was killed
      if (ended.loses_answers) {
        After(500, [this, index, generation, task] {
          EndAttempt(index, generation, task, AttemptResult::kUnknown, "");
        });
        return;
      }
      log_[start].has_failed = fails;
      AttemptEnded event{
          .sent = task.attempt,
          .answered = task.attempt,
          .result = fails ? AttemptResult::kFailed : AttemptResult::kSucceeded,
          .worker = task.worker,
          .body = node.mapped(),
          .run_time = std::chrono::milliseconds(20)};
      if (ended.crosses_answers && !ended.running.empty()) {
        event.answered = ended.running.begin()->first;
        event.body = ended.running.begin()->second;
      }
      DeliverEnd(index, generation, event);
    });
  }

  void EndAttempt(int index,
                  int generation,
                  const StartTask& task,
                  AttemptResult result,
                  const std::string& body) {
    DeliverEnd(index, generation,
               AttemptEnded{.sent = task.attempt,
                            .answered = task.attempt,
                            .result = result,
                            .worker = task.worker,
                            .body = body});
  }

  void DeliverEnd(int index, int generation, const AttemptEnded& event) {
    After(Latency(), [this, index, generation, event] {
      if (vms_[index].generation == generation && vms_[index].core)
        Deliver(index, event);
    });
  }

  void KillWorker(WorkerModel& worker) {
    worker.is_dead = true;
    const auto lost = std::exchange(worker.running, {});
    for (const auto& [attempt, body] : lost) {
      for (int i = 0; i < kVms; ++i) {
        if (vms_[i].core && vms_[i].core->state().home_id() == attempt.home) {
          DeliverEnd(i, vms_[i].generation,
                     AttemptEnded{.sent = attempt,
                                  .answered = attempt,
                                  .worker = worker.vm.name});
        }
      }
    }
  }

  // Callers.

  void ScheduleJobs() {
    for (std::size_t i = 0; i < scenario_.jobs.size(); ++i) {
      auto client = std::make_unique<Client>();
      client->plan = scenario_.jobs[i];
      client->number = static_cast<int>(i);
      Client& ref = *client;
      clients_.push_back(std::move(client));
      After(ref.plan.at_ms + 300, [this, &ref] { Begin(ref, ref.plan.vm); });
      for (const Resubmission& again : ref.plan.resubmissions) {
        After(ref.plan.at_ms + 300 + again.after_ms, [this, &ref, again] {
          if (!ref.id.empty() || ref.plan.by_key)
            Submit(ref, again.vm % kVms, /*is_extra=*/true);
        });
      }
    }
  }

  int UnfinishedJobs() const {
    return static_cast<int>(std::ranges::count_if(
        clients_, [](const auto& client) { return !client->is_done; }));
  }

  // Sends a caller's request to a VM. `respond` gets status 0 if the request is
  // lost or times out.
  void SendRequest(int index,
                   const std::function<Event(Requester)>& make,
                   const std::function<void(const Reply&)>& respond) {
    Vm& vm = vms_[index];
    if (!vm.core) {
      After(1, [respond] { respond(Reply{.status = 0}); });
      return;
    }
    const std::uint64_t request = next_request_++;
    const auto answered = std::make_shared<bool>(false);
    const auto once = [answered, respond](const Reply& reply) {
      if (!std::exchange(*answered, true))
        respond(reply);
    };
    vm.requests[request] = once;
    After(kClientTimeoutMs, [this, index, request, once] {
      vms_[index].requests.erase(request);
      once(Reply{.status = 0});
    });
    Deliver(index, make(Requester{.request = request}));
  }

  void Begin(Client& client, int vm) {
    if (client.is_done)
      return;
    if (client.plan.by_key) {
      Submit(client, vm, false);
      return;
    }
    SendRequest(
        vm,
        [](Requester from) -> Event {
          return IssueIds{.from = from, .token_sha256 = std::string(64, 'a')};
        },
        [this, &client, vm](const Reply& reply) {
          if (reply.status != 200) {
            After(kRetryMs,
                  [this, &client, vm] { Begin(client, (vm + 1) % kVms); });
            return;
          }
          const auto body = boost::json::parse(reply.body);
          client.id = std::string(
              body.as_object().at("ids").as_array().at(0).as_string());
          client.ids_used.push_back(client.id);
          Submit(client, vm, false);
        });
  }

  wire::JobSpec SpecOf(const JobPlan& plan) const {
    wire::JobSpec spec;
    spec.set_service(plan.retry_service ? "retry" : "plain");
    spec.set_digest(static_cast<std::uint64_t>(plan.at_ms) + 1);
    for (int i = 0; i < plan.tasks; ++i) {
      wire::TaskSpec* task = spec.add_tasks();
      task->set_request(plan.non_idempotent ? "once" : "any");
      task->set_payload(std::to_string(plan.run_ms + 7 * i));
    }
    return spec;
  }

  void Submit(Client& client, int vm, bool is_extra) {
    const std::string id = client.id;
    SendRequest(
        vm,
        [&](Requester from) -> Event {
          SubmitJob job{.from = from,
                        .token_sha256 = std::string(64, 'a'),
                        .job = SpecOf(client.plan),
                        .wait = std::chrono::milliseconds(1'000)};
          if (client.plan.by_key)
            job.key = "key" + std::to_string(client.number);
          else
            job.job_id = id;
          return job;
        },
        [this, &client, vm, is_extra, id](const Reply& reply) {
          DidAnswer(client, id, reply, vm, is_extra);
        });
  }

  void DidAnswer(Client& client,
                 const std::string& id,
                 const Reply& reply,
                 int vm,
                 bool is_extra) {
    const bool is_final = CheckReply(client, id, reply);
    if (is_extra || client.is_done)
      return;
    if (is_final) {
      client.is_done = true;
      return;
    }
    const int next = static_cast<int>(random_() % kVms);
    const bool is_issuer_gone =
        reply.body.find("issuer-left") != std::string::npos;
    After(kRetryMs, [this, &client, next, is_issuer_gone] {
      if (is_issuer_gone && !client.plan.by_key)
        Begin(client, next);
      else
        Submit(client, next, false);
    });
    (void)vm;
  }

  // Checks one answer. Returns whether it ends the job.
  bool CheckReply(const Client& client,
                  const std::string& submitted_id,
                  const Reply& reply) {
    if (reply.status == 0)
      return false;
    const auto body = boost::json::parse(reply.body).as_object();
    if (reply.status == 200) {
      CheckComplete(client, submitted_id, body);
      return true;
    }
    if (reply.status == 202)
      return false;
    const bool says_not_run = body.at("ran").as_string() == "not run";
    const std::string id = body.contains("job")
                               ? std::string(body.at("job").as_string())
                               : submitted_id;
    const std::string type(body.at("type").as_string());
    if (says_not_run && StartsOf(client, id) > 0)
      RecordViolation(
          Guarantee::kTrueRefusals,
          type + " says not run, but tasks were started, job " + id);
    const bool is_final = body.at("final").as_bool() &&
                          type.find("issuer-left") == std::string::npos;
    if (is_final)
      NoteFinal(id,
                FinalAnswer{.is_complete = false, .says_not_run = says_not_run},
                type);
    return is_final;
  }

  // Number of task starts of a job, or of the job that the client's key is
  // bound to.
  std::size_t StartsOf(const Client& client, const std::string& id) const {
    std::string job = id;
    if (client.plan.by_key) {
      const auto bound =
          platform_.keys.find("key" + std::to_string(client.number));
      if (bound == platform_.keys.end())
        return 0;
      job = bound->second;
    }
    return std::ranges::count_if(
        log_, [&](const Start& start) { return start.job_id == job; });
  }

  void CheckComplete(const Client& client,
                     const std::string& submitted_id,
                     const boost::json::object& body) {
    const std::string id(body.at("job").as_string());
    if (!client.plan.by_key && id != submitted_id)
      RecordViolation(Guarantee::kRightCaller, "answer belongs to another job");
    const auto& results = body.at("results").as_array();
    if (static_cast<int>(results.size()) != client.plan.tasks)
      RecordViolation(Guarantee::kWholeOrFailed,
                      "number of results differs from number of tasks");
    int task = 0;
    for (const auto& result : results) {
      if (!result.is_object()) {
        RecordViolation(Guarantee::kWholeOrFailed, "a result is not an object");
      } else if (result.as_object().at("job").as_string() != id ||
                 result.as_object().at("task").as_int64() != task) {
        RecordViolation(Guarantee::kRightCaller,
                        "a result belongs to another task");
      }
      ++task;
    }
    NoteFinal(id, FinalAnswer{.is_complete = true}, "complete");
  }

  // Checks that final answers of a job agree. A complete job may be reported as
  // failed later only if its home was lost (home-gone).
  void NoteFinal(const std::string& id,
                 FinalAnswer answer,
                 const std::string& type) {
    const auto [it, is_first] = finals_.emplace(id, answer);
    if (is_first || it->second.is_complete == answer.is_complete)
      return;
    const bool is_home_loss =
        it->second.is_complete && type.find("home-gone") != std::string::npos;
    if (!is_home_loss)
      RecordViolation(Guarantee::kWholeOrFailed,
                      "final answer contradicts an earlier one: " + type);
  }

  // Faults.

  void ScheduleFaults() {
    for (const Fault& fault : scenario_.faults) {
      After(fault.at_ms + 300, [this, fault] { Begin(fault); });
      After(fault.at_ms + 300 + fault.for_ms, [this, fault] { End(fault); });
    }
  }

  void RecordDisturbance(const Fault& fault) {
    last_disturbance_ms_ =
        std::max(last_disturbance_ms_, now_ms_ + fault.for_ms);
  }

  void Begin(const Fault& fault) {
    Vm& vm = vms_[fault.target % kVms];
    WorkerModel& worker = workers_[fault.target % kWorkers];
    switch (fault.kind) {
      case FaultKind::kKillVm:
        RecordDisturbance(fault);
        if (vm.core)
          StopVm(fault.target % kVms);
        break;
      case FaultKind::kFreezeVm:
        RecordDisturbance(fault);
        vm.paused_until_ms = now_ms_ + fault.for_ms;
        break;
      case FaultKind::kCutVm:
        RecordDisturbance(fault);
        vm.is_partitioned = true;
        break;
      case FaultKind::kDrainVm:
        if (vm.core)
          Deliver(fault.target % kVms, DrainRequested{});
        break;
      case FaultKind::kClockJump:
        vm.wall_offset_ms += fault.for_ms % 2 == 0 ? 5'000 : -5'000;
        break;
      case FaultKind::kPlatformOutage:
        RecordDisturbance(fault);
        platform_.is_out = true;
        break;
      case FaultKind::kLoseWriteAnswer:
        ++platform_.write_answers_to_lose;
        break;
      case FaultKind::kKillWorker:
        KillWorker(worker);
        break;
      case FaultKind::kFailingWorker:
        worker.fails = true;
        break;
      case FaultKind::kLeavingWorker:
        worker.leaving_since_ms = now_ms_;
        SetListed(worker, VmState::kLeaving);
        break;
      case FaultKind::kCrossedAnswers:
        worker.crosses_answers = true;
        break;
      case FaultKind::kLostAnswers:
        worker.loses_answers = true;
        break;
      case FaultKind::kApply: {
        const std::uint64_t seen = platform_.version;
        platform_.Apply(seen, Now());
        platform_.Apply(seen, Now());
        break;
      }
    }
  }

  void End(const Fault& fault) {
    const int index = fault.target % kVms;
    WorkerModel& worker = workers_[fault.target % kWorkers];
    switch (fault.kind) {
      case FaultKind::kKillVm:
        if (!vms_[index].core)
          StartVm(index);
        break;
      case FaultKind::kCutVm:
        vms_[index].is_partitioned = false;
        break;
      case FaultKind::kPlatformOutage:
        platform_.is_out = false;
        break;
      case FaultKind::kKillWorker:
        worker.is_dead = false;
        break;
      case FaultKind::kFailingWorker:
        worker.fails = false;
        break;
      case FaultKind::kLeavingWorker:
        worker.leaving_since_ms.reset();
        SetListed(worker, VmState::kLive);
        break;
      case FaultKind::kCrossedAnswers:
        worker.crosses_answers = false;
        break;
      case FaultKind::kLostAnswers:
        worker.loses_answers = false;
        break;
      case FaultKind::kFreezeVm:
      case FaultKind::kDrainVm:
      case FaultKind::kClockJump:
      case FaultKind::kLoseWriteAnswer:
      case FaultKind::kApply:
        break;
    }
  }

  void SetListed(const WorkerModel& worker, VmState state) {
    platform_.inventory.vms[worker.vm.name].state = state;
    ++platform_.inventory.version;
  }

  // Checks.

  void SampleConfigurations() {
    std::uint64_t newest = 0;
    for (int i = 0; i < kVms; ++i) {
      Vm& vm = vms_[i];
      if (!vm.core)
        continue;
      const std::uint64_t version = vm.core->state().configuration.version;
      if (version < vm.last_version)
        RecordViolation(
            Guarantee::kConfigInForce,
            "vm" + std::to_string(i) + " returned to an older configuration");
      vm.last_version = version;
      newest = std::max(newest, version);
    }
    CheckConfigurationsSpread(newest);
    After(kSampleMs, [this] { SampleConfigurations(); });
  }

  void CheckConfigurationsSpread(std::uint64_t newest) {
    if (newest != newest_version_) {
      newest_version_ = newest;
      newest_since_ms_ = now_ms_;
    }
    const double accepted_ms =
        ToMilliseconds(platform_.accepted_at - Now()) + now_ms_;
    for (int i = 0; i < kVms; ++i) {
      const Vm& vm = vms_[i];
      const double steady =
          std::max(last_disturbance_ms_, vm.started_ms) + kSettleMs;
      if (!vm.core || now_ms_ < steady)
        continue;
      // A version in force at one VM, or on the platform, must reach all VMs.
      const bool lags_peers =
          vm.last_version < newest && now_ms_ > newest_since_ms_ + kSettleMs;
      const bool lags_platform = vm.last_version < platform_.version &&
                                 now_ms_ > accepted_ms + kSettleMs;
      if (lags_peers || lags_platform)
        RecordViolation(Guarantee::kConfigInForce,
                        "vm" + std::to_string(i) +
                            " does not have the newest configuration");
    }
  }

  void CheckLog() {
    std::map<std::pair<std::string, std::uint32_t>, const Start*> last;
    for (const Start& start : log_) {
      const Start*& previous = last[{start.job_id, start.task}];
      const bool is_allowed =
          !previous || (start.may_retry && previous->has_failed);
      if (!is_allowed) {
        RecordViolation(start.non_idempotent ? Guarantee::kAtMostOnce
                                             : Guarantee::kStartsOnce,
                        "task " + std::to_string(start.task) + " of " +
                            start.job_id + " started twice");
      }
      previous = &start;
      const auto final = finals_.find(start.job_id);
      if (final != finals_.end() && final->second.says_not_run)
        RecordViolation(Guarantee::kTrueRefusals,
                        "a task started although the answer said not run");
    }
    for (const auto& client : clients_) {
      if (!client->is_done)
        RecordViolation(
            Guarantee::kWholeOrFailed,
            "job " + std::to_string(client->number) + " got no final answer");
    }
  }

  const Scenario scenario_;
  std::mt19937_64 random_;
  double now_ms_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Entry> queue_;
  std::vector<Vm> vms_;
  std::vector<WorkerModel> workers_;
  std::vector<std::unique_ptr<Client>> clients_;
  FakePlatform platform_;
  std::vector<Start> log_;
  std::map<std::string, FinalAnswer> finals_;
  std::uint64_t next_request_ = 1;
  double last_disturbance_ms_ = 0;
  std::uint64_t newest_version_ = 0;
  double newest_since_ms_ = 0;
  Violations violations_;
};

}  // namespace mustardbank
