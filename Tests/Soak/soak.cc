// Randomized soak test: runs lease entries as real processes against the
// stand-in for the users' platform, injects faults from outside the processes
// and checks what callers and workers observe.
#include <docopt/docopt.h>

#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "Harness/lease_deployment.h"
#include "LibCore/boot_clock.h"
#include "Soak/loopback_proxy.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr const char* kUsage = R"(soak - inject faults into real lease entries

Usage:
  soak [--seed=N] [--seconds=S] [--entries=N] [--workers=N] [--callers=N]
       [--break=NAME] [--earlier=BINARY]

Options:
  --seed=N      Seed of the schedule [default: 1].
  --seconds=S   Duration of the fault injection [default: 20].
  --entries=N   Entry processes [default: 4].
  --workers=N   Workers, all in one stand-in process [default: 12].
  --callers=N   Callers; each submits one job at a time [default: 12].
  --break=NAME  Disable a mechanism, to show that the checks detect it: clocks
                (workers' clocks run at half speed) or tokens (workers
                ignore fencing tokens).
  --earlier=BINARY  An earlier build, which runs beside this one: each start of
                an entry changes its build.

Prints a JSON object; exits 1 if a check failed.
)";

constexpr milliseconds kReadyTimeout{15'000};
constexpr milliseconds kCallerTimeout{2500};
constexpr milliseconds kResendDelay{1300};
constexpr milliseconds kLongestFault{2500};
// Time without a heartbeat after which peers take over the workers of an entry
// (OwnershipTiming::owner_timeout).
constexpr milliseconds kOwnerTimeout{800};
constexpr int kMaxAttempts = 4;
constexpr double kMinServedFraction = 0.8;
constexpr int kRecoveryJobs = 20;
// After three crashes, a task may be started less than three times more.
constexpr int kMostCrashingStarts = 5;

struct Tally {
  int jobs = 0;
  int succeeded = 0;
  int refused = 0;
  int unknown = 0;  // no attempt succeeded or was refused
  int faults = 0;
};

class Soak {
 public:
  Soak(unsigned seed,
       milliseconds length,
       const LeaseDeploymentOptions& options,
       int callers)
      : random_(seed),
        length_(length),
        deployment_(options, /*start_entries=*/false),
        caller_count_(callers) {
    for (int i = 0; i < deployment_.entry_count(); ++i) {
      store_proxies_.push_back(
          std::make_unique<LoopbackProxy>(thread_, deployment_.store()));
      deployment_.RouteStore(i, store_proxies_.back()->endpoint());
    }
    for (const auto& [id, endpoint] : deployment_.Workers()) {
      worker_proxies_[id] = std::make_unique<LoopbackProxy>(thread_, endpoint);
      deployment_.Admin(
          {{"worker", id},
           {"address", worker_proxies_[id]->endpoint().ToString()}});
    }
    for (int i = 0; i < deployment_.entry_count(); ++i)
      deployment_.StartEntry(i);
  }

  // Returns whether all checks passed.
  bool Run() {
    if (!deployment_.WaitUntilReady(kReadyTimeout)) {
      RecordFailure("the entries did not become ready");
      return false;
    }
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(caller_count_));
    for (int i = 0; i < caller_count_; ++i)
      callers.emplace_back([this, i] { SubmitUntilEnd(i); });
    const Clock::time_point end = Clock::now() + length_;
    while (Clock::now() < end)
      BeginFault();
    while (!fault_ends_.empty())
      EndDueFaults(Clock::time_point::max());
    is_over_ = true;
    for (std::thread& caller : callers)
      caller.join();
    CheckRecovery();
    for (const std::string& line : deployment_.Violations())
      RecordFailure(line);
    for (const std::string& job : crashing_jobs_) {
      if (const int starts = deployment_.StartsOf(job);
          starts > kMostCrashingStarts)
        RecordFailure("a task that crashes its workers was started " +
                      std::to_string(starts) + " times: " + job);
    }
    for (const std::string& job : refused_jobs_) {
      if (deployment_.StartsOf(job) > 0)
        RecordFailure("tasks of a refused job were started: " + job);
    }
    return failures_.empty();
  }

  json::object Report() const {
    json::array failures;
    for (const std::string& line : failures_)
      failures.emplace_back(line);
    return {{"jobs", tally_.jobs},           {"succeeded", tally_.succeeded},
            {"refused", tally_.refused},     {"unknown", tally_.unknown},
            {"faults", tally_.faults},       {"broken", std::move(failures)},
            {"folder", deployment_.folder()}};
  }

 private:
  int Draw(int least, int limit) {
    return std::uniform_int_distribution<int>(least, limit - 1)(random_);
  }

  void RecordFailure(const std::string& failure) {
    const std::lock_guard lock(mutex_);
    failures_.push_back(failure);
  }

  void EndFaultAfter(milliseconds delay, std::function<void()> end_fault) {
    fault_ends_.emplace(Clock::now() + delay, std::move(end_fault));
  }

  void EndDueFaults(Clock::time_point now) {
    while (!fault_ends_.empty() && fault_ends_.begin()->first <= now) {
      std::this_thread::sleep_until(fault_ends_.begin()->first);
      const auto end_fault = std::move(fault_ends_.begin()->second);
      fault_ends_.erase(fault_ends_.begin());
      end_fault();
    }
  }

  // Starts a random fault after a random pause. Faults can last longer than the
  // pauses, so they overlap.
  void BeginFault() {
    std::this_thread::sleep_for(milliseconds(Draw(50, 600)));
    EndDueFaults(Clock::now());
    ++tally_.faults;
    const milliseconds duration(
        Draw(100, static_cast<int>(kLongestFault.count())));
    const int entry = Draw(0, deployment_.entry_count());
    const int kind = Draw(0, 8);
    std::ofstream(deployment_.folder() + "/faults", std::ios::app)
        << "ts_ms=" << ClockReading::Now().wall.count() << " fault=" << kind
        << " entry=" << entry << " for_ms=" << duration.count() << '\n';
    switch (kind) {
      case 0:
        StopEntry(entry, SIGKILL, duration);
        return;
      case 1:
        StopEntry(entry, SIGTERM, duration);
        return;
      case 2:
        Pause(entry, duration);
        return;
      case 3:
        deployment_.entry(entry).Signal(SIGHUP);
        return;
      case 4:
        InjectProxyFault(*store_proxies_[entry], duration);
        return;
      case 5:
        InjectProxyFault(
            *std::next(worker_proxies_.begin(),
                       Draw(0, static_cast<int>(worker_proxies_.size())))
                 ->second,
            duration);
        return;
      case 6: {
        constexpr const char* kModes[] = {"refuse", "hang", "lose"};
        deployment_.Admin({{"store", kModes[Draw(0, 3)]}});
        EndFaultAfter(duration, [this] {
          deployment_.Admin({{"store", "up"}});
        });
        return;
      }
      default: {
        constexpr const char* kModes[] = {"down", "mute", "late"};
        const std::string worker =
            "w" +
            std::to_string(Draw(0, static_cast<int>(worker_proxies_.size())));
        InjectWorkerFault(worker, kModes[Draw(0, 3)], duration);
      }
    }
  }

  // During a long pause, peers take over the workers of the entry. When it
  // resumes, its store connection stays silent for a while, so that it does not
  // learn of the new owners: only the fencing tokens reject its commands.
  void Pause(int entry, milliseconds duration) {
    if (down_.contains(entry))
      paused_while_stopping_.insert(entry);
    deployment_.entry(entry).Signal(SIGSTOP);
    EndFaultAfter(duration,
                  [this, entry] { deployment_.entry(entry).Signal(SIGCONT); });
    if (duration < kOwnerTimeout)
      return;
    LoopbackProxy& store = *store_proxies_[entry];
    store.SetFault(ProxyFault::kSilent);
    EndFaultAfter(duration + kResendDelay,
                  [&store] { store.SetFault(ProxyFault::kNone); });
  }

  void StopEntry(int entry, int signal, milliseconds down) {
    if (down_.contains(entry))
      return;
    down_.insert(entry);
    deployment_.entry(entry).Signal(SIGCONT);
    deployment_.entry(entry).Signal(signal);
    // A graceful stop takes up to the grace period of 6 s.
    const milliseconds wait =
        signal == SIGTERM ? milliseconds(6000) : milliseconds(0);
    EndFaultAfter(wait + down, [this, entry, signal] {
      const auto code = deployment_.entry(entry).Wait(milliseconds(200));
      // A process that is paused can't exit.
      const bool was_paused = paused_while_stopping_.erase(entry) > 0;
      if (signal == SIGTERM && code != 0 && !was_paused)
        RecordFailure(
            "exit code of entry " + std::to_string(entry) +
            " after SIGTERM should be 0 (-1: still running), but is " +
            std::to_string(code.value_or(-1)));
      deployment_.StartEntry(entry);
      down_.erase(entry);
    });
  }

  // A worker that was down restarts when the fault ends. The end of a fault
  // must therefore not end one that began later on the same worker.
  void InjectWorkerFault(const std::string& worker,
                         const std::string& mode,
                         milliseconds duration) {
    std::ofstream(deployment_.folder() + "/faults", std::ios::app)
        << "worker=" << worker << " mode=" << mode << '\n';
    deployment_.Admin({{"worker", worker}, {"mode", mode}});
    const int fault = ++worker_faults_[worker];
    EndFaultAfter(duration, [this, worker, fault] {
      if (worker_faults_[worker] == fault)
        deployment_.Admin({{"worker", worker}, {"mode", "normal"}});
    });
  }

  void InjectProxyFault(LoopbackProxy& proxy, milliseconds duration) {
    proxy.SetFault(static_cast<ProxyFault>(Draw(1, 6)));
    EndFaultAfter(duration, [&proxy] { proxy.SetFault(ProxyFault::kNone); });
  }

  void SubmitUntilEnd(int caller) {
    std::mt19937 random(static_cast<unsigned>(caller) + 1000);
    for (int i = 0; !is_over_; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "%08x%08x", caller + 1, i);
      const int tasks = 1 + static_cast<int>(random() % 4);
      // One in four tasks runs longer than a lease.
      const int run_ms = random() % 4 == 0
                             ? 900 + static_cast<int>(random() % 900)
                             : 20 + static_cast<int>(random() % 300);
      const int millicores = 15'000 + static_cast<int>(random() % 20'000);
      if (random() % 30 == 0)
        RunJob(id, 1, millicores, run_ms, caller + i, "crash");
      else
        RunJob(id, tasks, millicores, run_ms, caller + i);
    }
  }

  void RunJob(const std::string& id,
              int tasks,
              int millicores,
              int run_ms,
              int first_entry,
              const std::string& outcome = "") {
    int refusals = 0;
    int attempts = 0;
    CallerAnswer answer;
    while (attempts < kMaxAttempts) {
      const int entry = (first_entry + attempts) % deployment_.entry_count();
      ++attempts;
      answer = deployment_.Submit(entry, id, tasks, millicores, run_ms,
                                  kCallerTimeout, outcome);
      const bool is_refused = answer.status == 429 || answer.status == 503;
      if (is_refused && answer.retry_after.empty())
        RecordFailure("refusal without Retry-After for job " + id);
      if (is_refused)
        ++refusals;
      if (answer.status == 200 || is_refused)
        break;
      std::this_thread::sleep_for(kResendDelay);
    }
    const std::lock_guard lock(mutex_);
    ++tally_.jobs;
    if (answer.status == 200)
      ++tally_.succeeded;
    else if (refusals > 0)
      ++tally_.refused;
    else
      ++tally_.unknown;
    if (refusals == attempts)
      refused_jobs_.push_back(id);
    if (!outcome.empty()) {
      crashing_jobs_.push_back(id);
      return;
    }
    if (answer.status == 200 && answer.body != R"({"state":"succeeded"})")
      failures_.push_back("unexpected body of an answer with status 200: " +
                          answer.body);
  }

  // Checks that most jobs succeed after all faults have ended.
  void CheckRecovery() {
    if (!deployment_.WaitUntilReady(kReadyTimeout))
      RecordFailure("not all entries are ready after the faults");
    std::this_thread::sleep_for(kReadyTimeout / 5);
    int served = 0;
    for (int i = 0; i < kRecoveryJobs; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "ffffffff%08x", i);
      const CallerAnswer answer = deployment_.Submit(
          i % deployment_.entry_count(), id, 1, 15'000, 30, kCallerTimeout);
      served += answer.status == 200 ? 1 : 0;
      if (answer.status != 200)
        std::ofstream(deployment_.folder() + "/metrics-" + id)
            << deployment_.Scrape(i % deployment_.entry_count());
    }
    if (served < kMinServedFraction * kRecoveryJobs)
      RecordFailure("only " + std::to_string(served) + " of " +
                    std::to_string(kRecoveryJobs) +
                    " jobs succeeded after the faults");
  }

  std::mt19937 random_;
  const milliseconds length_;
  LeaseDeployment deployment_;
  FiberThread thread_;
  const int caller_count_;
  std::vector<std::unique_ptr<LoopbackProxy>> store_proxies_;
  std::map<std::string, std::unique_ptr<LoopbackProxy>> worker_proxies_;
  std::multimap<Clock::time_point, std::function<void()>> fault_ends_;
  std::map<std::string, int> worker_faults_;  // number begun, by worker
  std::set<int> paused_while_stopping_;
  std::set<int> down_;  // entries between their stop and their restart
  std::atomic<bool> is_over_{false};
  mutable std::mutex mutex_;
  Tally tally_;
  std::vector<std::string> refused_jobs_;
  std::vector<std::string> crashing_jobs_;
  std::vector<std::string> failures_;
};

int Main(int argc, char** argv) {
  const std::map<std::string, docopt::value> arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, /*help=*/true);
  const auto number = [&](const char* name) {
    return static_cast<int>(arguments.at(name).asLong());
  };
  LeaseDeploymentOptions options{.entries = number("--entries"),
                                 .workers = number("--workers")};
  if (const docopt::value& mechanism = arguments.at("--break")) {
    if (mechanism.asString() == "clocks") {
      options.plan["clock_rate"] = 0.5;
    } else if (mechanism.asString() == "tokens") {
      options.plan["ignores_tokens"] = true;
    } else {
      std::cerr << "unknown mechanism: " << mechanism.asString() << '\n';
      return 64;
    }
  }
  if (const docopt::value& binary = arguments.at("--earlier"))
    options.earlier_binary = binary.asString();
  Soak soak(static_cast<unsigned>(number("--seed")),
            std::chrono::seconds(number("--seconds")), options,
            number("--callers"));
  const bool has_passed = soak.Run();
  json::object report = soak.Report();
  report["seed"] = number("--seed");
  std::cout << json::serialize(report) << std::endl;
  return has_passed ? 0 : 1;
}

}  // namespace

}  // namespace mustardbank

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::_Exit(mustardbank::Main(argc, argv));
}
