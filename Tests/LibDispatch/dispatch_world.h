// Several entry VMs in one process under a simulated network, platform,
// workers and callers. What really ran is read from the workers' own log and
// from the callers' answers.
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
class DispatchWorld {
 public:
  explicit DispatchWorld(const Scenario& scenario)
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
  static constexpr double kSettleMs = 700;  // until news is in force
  static constexpr double kLingerPollMs = 10;
  static constexpr int kLingerPolls = 20;
  static constexpr int kMostLingerPolls = 30;
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
    int life = 0;  // counts restarts
    bool is_cut = false;
    double started_ms = 0;
    double frozen_until_ms = -1;
    double wall_offset_ms = 0;
    std::uint64_t version_seen = 0;
    std::uint64_t inventory_read = 0;
    std::map<Endpoint, std::uint64_t> newest;
    std::map<std::uint64_t, std::function<void(const Reply&)>> requests;
  };

  struct WorkerModel {
    VmRecord vm;
    bool is_dead = false;
    bool fails = false;
    bool crosses = false;
    bool loses = false;
    std::optional<double> leaving_since_ms;
    std::map<AttemptId, std::string> running;  // bodies
  };

  struct Start {
    std::string job_id;
    std::uint32_t task = 0;
    bool non_idempotent = false;
    bool may_retry = false;
    bool has_failed = false;  // the failure was answered
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
  void Violate(Guarantee guarantee, std::string text) {
    violations_[guarantee].push_back(std::to_string(now_ms_) + ": " +
                                     std::move(text));
  }

  // Runs `action` on a VM, later if it is frozen, never if it restarts first.
  void OnVm(int index, int life, std::function<void()> action) {
    Vm& vm = vms_[index];
    if (vm.life != life || !vm.core)
      return;
    if (vm.frozen_until_ms > now_ms_) {
      After(vm.frozen_until_ms - now_ms_,
            [this, index, life, action = std::move(action)]() mutable {
              OnVm(index, life, std::move(action));
            });
      return;
    }
    action();
  }

  void Deliver(int index, Event event) {
    const int life = vms_[index].life;
    const auto shared = std::make_shared<Event>(std::move(event));
    OnVm(index, life, [this, index, shared] {
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
      std::visit([&](auto& concrete) { Carry(index, concrete); }, action);
    }
  }

  void KeepTicking(int index, int life) {
    OnVm(index, life, [this, index] { TickVm(index); });
    if (vms_[index].life == life && vms_[index].core)
      After(kTickMs, [this, index, life] { KeepTicking(index, life); });
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
    ++vm.life;
    vm.started_ms = now_ms_;
    vm.version_seen = 0;
    vm.inventory_read = 0;
    vm.requests.clear();
    vm.newest.clear();
    DispatchOptions options;
    options.self.set_name("vm" + std::to_string(index));
    options.self.set_data_center(vm.data_center);
    options.self.set_ip(vm.endpoint.ip);
    options.self.set_port(vm.endpoint.port);
    std::uint64_t incarnation =
        static_cast<std::uint64_t>(1e9 + now_ms_ + vm.wall_offset_ms) * 16 +
        vm.life;
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
    Carry(index, PublishIdentity{.identity = options.self});
    KeepTicking(index, vm.life);
    PollPlatform(index, vm.life);
  }

  void StopVm(int index) {
    Vm& vm = vms_[index];
    ++vm.life;
    // The core may be on the call stack: destroy it later.
    const std::shared_ptr<Core> doomed(vm.core.release());
    After(0, [doomed] {});
    auto lost = std::exchange(vm.requests, {});
    for (const auto& [request, respond] : lost)
      After(1, [lost_respond = respond] { lost_respond(Reply{.status = 0}); });
  }

  bool CanReachPlatform(int index) const {
    return !platform_.is_out && !vms_[index].is_cut;
  }

  void PollPlatform(int index, int life) {
    if (vms_[index].life != life || !vms_[index].core)
      return;
    if (CanReachPlatform(index) && vms_[index].frozen_until_ms <= now_ms_) {
      // Answers may overtake each other.
      const double delay = Latency() * (random_() % 8 == 0 ? 150 : 1);
      const auto read =
          std::make_shared<ConfigurationRead>(platform_.ReadConfiguration());
      After(delay, [this, index, life, read] {
        if (vms_[index].life == life && vms_[index].core)
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
    After(kPollMs, [this, index, life] { PollPlatform(index, life); });
  }

  // Actions.

  void Carry(int index, ReplyToCaller& action) {
    auto node = vms_[index].requests.extract(action.request);
    if (node.empty())
      return;
    After(Latency(),
          [respond = node.mapped(), reply = action.reply] { respond(reply); });
  }

  void Carry(int index, StartTask& action) {
    const int life = vms_[index].life;
    // The traffic thread sends it a little later, and checks the time again.
    const auto shared = std::make_shared<StartTask>(std::move(action));
    After(0.2, [this, index, life, shared] {
      OnVm(index, life, [this, index, life, shared] {
        if (Now() > shared->start_before) {
          EndAttempt(index, life, *shared, AttemptResult::kStale, "");
          return;
        }
        After(Latency(), [this, index, life, shared] {
          ArriveAtWorker(index, life, *shared);
        });
      });
    });
  }

  void Carry(int index, SendToPeer& action) {
    const int life = vms_[index].life;
    const auto shared = std::make_shared<SendToPeer>(std::move(action));
    After(Latency(),
          [this, index, life, shared] { ArriveAtPeer(index, life, *shared); });
  }

  void ArriveAtPeer(int from, int life, SendToPeer& message) {
    const auto report = [this, from, life, &message](
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
      After(delay, [this, from, life, contact] {
        if (vms_[from].life == life && vms_[from].core)
          Deliver(from, contact);
      });
    };
    const int to = IndexOf(message.peer);
    if (to < 0 || vms_[to].is_cut || vms_[from].is_cut || !vms_[to].core) {
      report(false, 0, 0, 2);
      return;
    }
    Vm& receiver = vms_[to];
    if (receiver.frozen_until_ms > now_ms_) {
      report(false, 0, 0, 1'000);
    } else {
      std::uint64_t& newest = receiver.newest[vms_[from].endpoint];
      newest = std::max(newest, message.envelope.sender().incarnation());
      report(true, receiver.core->state().incarnation(), newest, Latency());
    }
    Deliver(to, PeerMessage{.envelope = message.envelope});
  }

  void Carry(int index, BindKeys& action) {
    const int life = vms_[index].life;
    const auto keys = std::make_shared<BindKeys>(std::move(action));
    After(Latency(), [this, index, life, keys] {
      KeysBound bound{.batch = keys->batch, .bindings = keys->bindings};
      bound.succeeded = CanReachPlatform(index);
      if (bound.succeeded) {
        for (KeyBinding& binding : bound.bindings) {
          binding.job_id =
              platform_.keys.emplace(binding.key, binding.job_id).first->second;
        }
        if (platform_.lost_answers > 0) {
          --platform_.lost_answers;
          bound.succeeded = false;
        }
      }
      After(bound.succeeded ? Latency() : 300, [this, index, life, bound] {
        if (vms_[index].life == life && vms_[index].core)
          Deliver(index, bound);
      });
    });
  }

  void Carry(int index, ReleaseKey& action) {
    const auto bound = platform_.keys.find(action.binding.key);
    if (CanReachPlatform(index) && bound != platform_.keys.end() &&
        bound->second == action.binding.job_id) {
      platform_.keys.erase(bound);
    }
  }

  void Carry(int index, const PublishIdentity& action) {
    if (CanReachPlatform(index))
      platform_.registrations[vms_[index].endpoint] = action.identity;
  }

  void Carry(int index, PublishSuccession& action) {
    if (CanReachPlatform(index))
      platform_.successions.push_back(action.succession);
  }

  void Carry(int index, LeaveFinished&) {
    Linger(index, vms_[index].life, 0, 0);
  }

  // Waits for a time without requests, of bounded length, as the process does.
  void Linger(int index, int life, int polls, int quiet_polls) {
    After(kLingerPollMs, [this, index, life, polls, quiet_polls] {
      OnVm(index, life, [this, index, life, polls, quiet_polls] {
        const int quiet = vms_[index].requests.empty() ? quiet_polls + 1 : 0;
        if (quiet >= kLingerPolls || polls >= kMostLingerPolls)
          Exit(index);
        else
          Linger(index, life, polls + 1, quiet);
      });
    });
  }

  // The process ends once it has given its last responses.
  void Exit(int index) {
    if (!vms_[index].requests.empty()) {
      Violate(Guarantee::kGracefulStop,
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

  void ArriveAtWorker(int index, int life, const StartTask& task) {
    WorkerModel& worker = WorkerNamed(task.worker);
    if (worker.is_dead) {
      EndAttempt(index, life, task, AttemptResult::kNotSent, "");
      return;
    }
    if (worker.leaving_since_ms) {
      const double settled =
          std::max({*worker.leaving_since_ms, last_disturbance_ms_,
                    vms_[index].started_ms}) +
          kSettleMs;
      if (now_ms_ > settled) {
        Violate(Guarantee::kLeavingDrained,
                task.worker + ", leaving since " +
                    std::to_string(*worker.leaving_since_ms) +
                    ", got new work");
      }
    }
    if (worker.running.size() >= kSlots) {
      EndAttempt(index, life, task, AttemptResult::kRefusedBusy, "");
      return;
    }
    RunTask(worker, index, life, task);
  }

  void RunTask(WorkerModel& worker,
               int index,
               int life,
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
    After(run_ms, [this, index, life, task, start, fails] {
      WorkerModel& ended = WorkerNamed(task.worker);
      auto node = ended.running.extract(task.attempt);
      if (node.empty())
        return;  // the worker died
      if (ended.loses) {
        After(500, [this, index, life, task] {
          EndAttempt(index, life, task, AttemptResult::kUnknown, "");
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
      if (ended.crosses && !ended.running.empty()) {
        event.answered = ended.running.begin()->first;
        event.body = ended.running.begin()->second;
      }
      DeliverEnd(index, life, event);
    });
  }

  void EndAttempt(int index,
                  int life,
                  const StartTask& task,
                  AttemptResult result,
                  const std::string& body) {
    DeliverEnd(index, life,
               AttemptEnded{.sent = task.attempt,
                            .answered = task.attempt,
                            .result = result,
                            .worker = task.worker,
                            .body = body});
  }

  void DeliverEnd(int index, int life, const AttemptEnded& event) {
    After(Latency(), [this, index, life, event] {
      if (vms_[index].life == life && vms_[index].core)
        Deliver(index, event);
    });
  }

  void KillWorker(WorkerModel& worker) {
    worker.is_dead = true;
    const auto lost = std::exchange(worker.running, {});
    for (const auto& [attempt, body] : lost) {
      for (int i = 0; i < kVms; ++i) {
        if (vms_[i].core && vms_[i].core->state().home_id() == attempt.home) {
          DeliverEnd(i, vms_[i].life,
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

  // Sends a caller's request to a VM; `respond` gets status 0 if it is lost.
  void Ask(int index,
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
    Ask(
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
    Ask(
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

  // Checks one answer; returns whether it ends the job.
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
      Violate(Guarantee::kTrueRefusals, type + " says not run for " + id);
    const bool is_final = body.at("final").as_bool() &&
                          type.find("issuer-left") == std::string::npos;
    if (is_final)
      NoteFinal(id,
                FinalAnswer{.is_complete = false, .says_not_run = says_not_run},
                type);
    return is_final;
  }

  // Starts of a job, or of any job under the client's key.
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
      Violate(Guarantee::kRightCaller, "answer of another job");
    const auto& results = body.at("results").as_array();
    if (static_cast<int>(results.size()) != client.plan.tasks)
      Violate(Guarantee::kWholeOrFailed, "results are missing");
    int task = 0;
    for (const auto& result : results) {
      if (!result.is_object()) {
        Violate(Guarantee::kWholeOrFailed, "a result is missing");
      } else if (result.as_object().at("job").as_string() != id ||
                 result.as_object().at("task").as_int64() != task) {
        Violate(Guarantee::kRightCaller, "a result of another task");
      }
      ++task;
    }
    NoteFinal(id, FinalAnswer{.is_complete = true}, "complete");
  }

  // A final answer is never contradicted; only the loss of its home turns a
  // complete job into one whose outcome is unknown.
  void NoteFinal(const std::string& id,
                 FinalAnswer answer,
                 const std::string& type) {
    const auto [it, is_first] = finals_.emplace(id, answer);
    if (is_first || it->second.is_complete == answer.is_complete)
      return;
    const bool is_home_loss =
        it->second.is_complete && type.find("home-gone") != std::string::npos;
    if (!is_home_loss)
      Violate(Guarantee::kWholeOrFailed, "contradiction: " + type);
  }

  // Faults.

  void ScheduleFaults() {
    for (const Fault& fault : scenario_.faults) {
      After(fault.at_ms + 300, [this, fault] { Begin(fault); });
      After(fault.at_ms + 300 + fault.for_ms, [this, fault] { End(fault); });
    }
  }

  void Disturb(const Fault& fault) {
    last_disturbance_ms_ =
        std::max(last_disturbance_ms_, now_ms_ + fault.for_ms);
  }

  void Begin(const Fault& fault) {
    Vm& vm = vms_[fault.target % kVms];
    WorkerModel& worker = workers_[fault.target % kWorkers];
    switch (fault.kind) {
      case FaultKind::kKillVm:
        Disturb(fault);
        if (vm.core)
          StopVm(fault.target % kVms);
        break;
      case FaultKind::kFreezeVm:
        Disturb(fault);
        vm.frozen_until_ms = now_ms_ + fault.for_ms;
        break;
      case FaultKind::kCutVm:
        Disturb(fault);
        vm.is_cut = true;
        break;
      case FaultKind::kDrainVm:
        if (vm.core)
          Deliver(fault.target % kVms, DrainRequested{});
        break;
      case FaultKind::kClockJump:
        vm.wall_offset_ms += fault.for_ms % 2 == 0 ? 5'000 : -5'000;
        break;
      case FaultKind::kPlatformOutage:
        Disturb(fault);
        platform_.is_out = true;
        break;
      case FaultKind::kLoseWriteAnswer:
        ++platform_.lost_answers;
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
        worker.crosses = true;
        break;
      case FaultKind::kLostAnswers:
        worker.loses = true;
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
        vms_[index].is_cut = false;
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
        worker.crosses = false;
        break;
      case FaultKind::kLostAnswers:
        worker.loses = false;
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
      if (version < vm.version_seen)
        Violate(Guarantee::kConfigInForce,
                "vm" + std::to_string(i) + " went back");
      vm.version_seen = version;
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
      // A version in force at one VM, or on the platform, comes to all.
      const bool lags_peers =
          vm.version_seen < newest && now_ms_ > newest_since_ms_ + kSettleMs;
      const bool lags_platform = vm.version_seen < platform_.version &&
                                 now_ms_ > accepted_ms + kSettleMs;
      if (lags_peers || lags_platform)
        Violate(Guarantee::kConfigInForce,
                "vm" + std::to_string(i) + " lacks the newest version");
    }
  }

  void CheckLog() {
    std::map<std::pair<std::string, std::uint32_t>, const Start*> last;
    for (const Start& start : log_) {
      const Start*& previous = last[{start.job_id, start.task}];
      const bool is_allowed =
          !previous || (start.may_retry && previous->has_failed);
      if (!is_allowed) {
        Violate(start.non_idempotent ? Guarantee::kAtMostOnce
                                     : Guarantee::kStartsOnce,
                "task " + std::to_string(start.task) + " of " + start.job_id +
                    " started twice");
      }
      previous = &start;
      const auto final = finals_.find(start.job_id);
      if (final != finals_.end() && final->second.says_not_run)
        Violate(Guarantee::kTrueRefusals, "started after all");
    }
    for (const auto& client : clients_) {
      if (!client->is_done)
        Violate(Guarantee::kWholeOrFailed,
                "job " + std::to_string(client->number) + " never ended");
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
