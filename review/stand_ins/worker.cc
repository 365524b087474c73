// Stand-in for one worker, as a process of its own: a life of a machine. Starts
// what it is told to (admissionCheck false), keeps leases and fencing tokens,
// and registers itself, as PROTOCOL.md says.
//
// usage: worker_stand_in ID ADDRESS ZONE LABELS CPU SMALLER_CPU STORE RECORD
//        BASE_MS
// With port 0 in ADDRESS it takes a free port, which the record has.
// LABELS are separated by commas. At SIGUSR1 the capacity shrinks to
// SMALLER_CPU. The spec of a task is "MILLISECONDS CPU".
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <sstream>

#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"
#include "LibHttp/http_server.h"
#include "stand_ins/record.h"

namespace json = boost::json;
using namespace mustardbank;
using namespace review;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kLongestLeaseMs = 1000;  // maxHoldMs
constexpr std::int64_t kStopMs = 30;            // stopTimeoutMs is 50
constexpr milliseconds kPoll{2};
constexpr milliseconds kHeartbeat{1500};
constexpr std::size_t kMostEnds = 500;

struct Running {
  std::uint64_t run = 0;
  std::int64_t started = 0;
  std::int64_t work_ms = 0;
  std::int64_t cpu = 0;
  std::int64_t stops_at = 0;
};

struct Ended {
  std::uint64_t number = 0;
  std::string task;
  std::uint64_t run = 0;
  std::string how;
};

struct Options {
  std::string id;
  Endpoint address;
  std::string zone;
  std::string labels;
  std::int64_t cpu = 0;
  std::int64_t smaller_cpu = 0;
  Endpoint store;
};

class Worker {
 public:
  Worker(Options options, const Record& record, FiberThread& thread)
      : options_(std::move(options)),
        record_(record),
        thread_(thread),
        cpu_(options_.cpu),
        born_ms_(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()),
        started_ms_(NowMs()) {}

  Endpoint address() const { return options_.address; }
  void set_address(Endpoint address) { options_.address = address; }

  // Returns whether the store has the entry.
  bool Register() {
    json::array labels;
    std::istringstream words(options_.labels);
    std::string label;
    while (std::getline(words, label, ','))
      labels.emplace_back(label);
    const json::object entry{
        {"service", "guide"},
        {"address", options_.address.ToString()},
        {"zone", options_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"capacity", {{"cpu", cpu_}, {"memMb", 131072}, {"gpu", 0}}},
        {"labels", std::move(labels)},
        {"born", born_ms_},
        {"clockMs", Clock()},
        {"sequence", ++sequence_}};
    const auto answer =
        ExchangeOnce(thread_.io(), options_.store,
                     HttpRequest{.method = "POST",
                                 .target = "/stand-in/register",
                                 .body = json::serialize(json::object{
                                     {"id", options_.id}, {"entry", entry}})},
                     milliseconds(1000));
    return answer && answer->status == 200;
  }

  void Begin() {
    record_.Write("worker " + options_.id + " up labels " + options_.labels +
                  " cpu " + std::to_string(cpu_) + " at " +
                  options_.address.ToString());
    FiberThread::SpawnHere([this] {
      while (true) {
        SleepFiber(kHeartbeat);
        Register();
      }
    });
    FiberThread::SpawnHere([this] {
      while (true) {
        EndDue();
        SleepFiber(kPoll);
      }
    });
  }

  void Shrink() {
    cpu_ = options_.smaller_cpu;
    Register();
    record_.Write("worker " + options_.id + " capacity " +
                  std::to_string(cpu_));
  }

  HttpResponse Serve(const HttpRequest& request) {
    if (request.target == "/health")
      return {};
    if (request.header("X-Mustardbank-Expect-Instance") != options_.id)
      return {.status = 421};
    json::error_code error;
    const json::value parsed = json::parse(request.body, error);
    if (error || !parsed.is_object())
      return {.status = 400};
    const json::object& body = parsed.get_object();
    const std::uint64_t token = Number(body, "fencingToken");
    EndDue();
    if (token < token_)
      return Reject("fence");
    token_ = token;
    if (request.target == "/mustardbank/run-start")
      return Start(body);
    if (request.target == "/mustardbank/run-stop")
      return Stop(body);
    if (request.target == "/mustardbank/hold")
      return Hold(body);
    return {.status = 400};
  }

 private:
  std::int64_t Clock() const { return NowMs() - started_ms_; }

  static std::uint64_t Number(const json::object& body, std::string_view key) {
    const json::value* value = body.if_contains(key);
    return value ? value->to_number<std::uint64_t>() : 0;
  }

  HttpResponse Accept() const {
    return {.body = json::serialize(
                json::object{{"clockMs", Clock()}, {"born", born_ms_}})};
  }

  HttpResponse Reject(std::string_view reason) const {
    return {.status = 409,
            .body = json::serialize(json::object{
                {"clockMs", Clock()}, {"born", born_ms_}, {"reason", reason}})};
  }

  void ExtendLease(std::int64_t deadline) {
    lease_until_ =
        std::max(lease_until_, std::min(deadline, Clock() + kLongestLeaseMs));
  }

  HttpResponse Start(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const std::uint64_t run = Number(body, "run");
    const auto deadline = static_cast<std::int64_t>(Number(body, "deadlineMs"));
    if (deadline <= Clock())
      return Reject("late");
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run == run) {
      ExtendLease(deadline);
      return Accept();
    }
    if (known != running_.end() || closed_[task] >= run) {
      ExtendLease(deadline);
      return Reject("old");
    }
    ExtendLease(deadline);
    Running started{.run = run, .started = NowMs()};
    std::istringstream spec{std::string(body.at("spec").as_string())};
    spec >> started.work_ms >> started.cpu;
    running_[task] = started;
    std::int64_t used = 0;
    for (const auto& [name, other] : running_)
      used += other.cpu;
    record_.Write("worker " + options_.id + " start " + task + " run " +
                  std::to_string(run) + " used " + std::to_string(used) +
                  " of " + std::to_string(cpu_) + " labels " + options_.labels);
    return Accept();
  }

  HttpResponse Stop(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const std::uint64_t run = Number(body, "run");
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run == run) {
      if (known->second.stops_at == 0)
        known->second.stops_at = NowMs() + kStopMs;
    } else {
      closed_[task] = std::max(closed_[task], run);
    }
    return Accept();
  }

  HttpResponse Hold(const json::object& body) {
    if (body.contains("deadlineMs"))
      ExtendLease(static_cast<std::int64_t>(Number(body, "deadlineMs")));
    const std::uint64_t acked = Number(body, "ackedThrough");
    std::erase_if(ended_,
                  [&](const Ended& end) { return end.number <= acked; });
    const std::int64_t until =
        NowMs() + std::min<std::int64_t>(
                      2000, static_cast<std::int64_t>(Number(body, "waitMs")));
    while (ended_.empty() && NowMs() < until)
      SleepFiber(kPoll);
    EndDue();
    json::array running;
    for (const auto& [task, run] : running_) {
      const std::int64_t percent = std::min<std::int64_t>(
          99, 100 * (NowMs() - run.started) /
                  std::max<std::int64_t>(1, run.work_ms));
      running.push_back(json::array{task, run.run, "", percent, run.cpu});
    }
    json::array ended;
    for (const Ended& end : ended_) {
      if (ended.size() < kMostEnds)
        ended.push_back(
            json::array{end.number, end.task, end.run, end.how, ""});
    }
    return {.body = json::serialize(json::object{{"clockMs", Clock()},
                                                 {"born", born_ms_},
                                                 {"running", running},
                                                 {"ended", ended}})};
  }

  void EndDue() {
    std::map<std::string, std::string> due;
    for (const auto& [task, run] : running_) {
      if (Clock() >= lease_until_)
        due[task] = "lapsed";
      else if (run.stops_at != 0 && NowMs() >= run.stops_at)
        due[task] = "stopped";
      else if (NowMs() - run.started >= run.work_ms)
        due[task] = "done";
    }
    for (const auto& [task, how] : due) {
      const std::uint64_t run = running_.at(task).run;
      running_.erase(task);
      closed_[task] = std::max(closed_[task], run);
      ended_.push_back({++ends_, task, run, how});
      record_.Write("worker " + options_.id + " end " + task + " run " +
                    std::to_string(run) + ' ' + how);
    }
  }

  Options options_;
  const Record& record_;
  FiberThread& thread_;
  std::int64_t cpu_;
  const std::int64_t born_ms_;
  const std::int64_t started_ms_;
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::map<std::string, Running> running_;
  std::map<std::string, std::uint64_t> closed_;  // highest run that is over
  std::vector<Ended> ended_;
  std::uint64_t ends_ = 0;
  std::int64_t sequence_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 10) {
    std::cerr << "usage: see worker.cc\n";
    return 64;
  }
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const Record record(argv[8], std::stoll(argv[9]));
  FiberThread thread;
  Worker worker({.id = argv[1],
                 .address = Endpoint::Parse(argv[2]).value(),
                 .zone = argv[3],
                 .labels = argv[4],
                 .cpu = std::stoll(argv[5]),
                 .smaller_cpu = std::stoll(argv[6]),
                 .store = Endpoint::Parse(argv[7]).value()},
                record, thread);
  const auto register_now = [&] {
    while (!RunInFiber(thread, [&] { return worker.Register(); })) {
    }
  };
  // A later life registers before it listens: who reaches it can know of it.
  const bool is_first = worker.address().port == 0;
  if (!is_first)
    register_now();
  HttpServer server(HttpServerLimits{}, [&worker](HttpRequest&& request) {
    return worker.Serve(request);
  });
  const auto listening = server.Listen({&thread}, worker.address());
  if (!listening) {
    record.Write("worker " + std::string(argv[1]) + " can't listen");
    return 1;
  }
  worker.set_address(listening.value());
  if (is_first)
    register_now();
  RunInFiber(thread, [&] {
    worker.Begin();
    return true;
  });
  while (true) {
    int signal = 0;
    sigwait(&signals, &signal);
    RunInFiber(thread, [&] {
      worker.Shrink();
      return true;
    });
  }
}
