// Randomized soak: lease entries as real processes on the stand-in of the
// users' platform, with faults from outside them, checked from what callers
// and workers see.
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

constexpr const char* kUsage = R"(soak - faults against real lease entries

Usage:
  soak [--seed=N] [--seconds=S] [--entries=N] [--workers=N] [--callers=N]
       [--break=NAME]

Options:
  --seed=N      Seed of the schedule [default: 1].
  --seconds=S   Length of the time with faults [default: 20].
  --entries=N   Entry processes [default: 4].
  --workers=N   Workers, all in one stand-in process [default: 12].
  --callers=N   Callers, one job at a time each [default: 12].
  --break=NAME  Take a mechanism out, to show that the checks see it: clocks
                (workers' clocks run at half speed) or tokens.

Prints a JSON object; exits 1 if a promise was broken.
)";

constexpr milliseconds kReadyTimeout{15'000};
constexpr milliseconds kPatience{2500};
constexpr milliseconds kResendDelay{1300};
constexpr milliseconds kLongestFault{2500};
// After which peers take an entry's workers over (OwnershipTiming).
constexpr milliseconds kOwnerSilence{800};
constexpr int kMostTries = 4;
constexpr double kServedAtEnd = 0.8;
constexpr int kJobsAtEnd = 20;

struct Tally {
  int jobs = 0;
  int succeeded = 0;
  int refused = 0;
  int unknown = 0;  // given up, or no answer, to the last
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

  // Returns whether all promises were kept.
  bool Run() {
    if (!deployment_.WaitUntilReady(kReadyTimeout)) {
      Break("the entries did not become ready");
      return false;
    }
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(caller_count_));
    for (int i = 0; i < caller_count_; ++i)
      callers.emplace_back([this, i] { CallUntilEnd(i); });
    const Clock::time_point end = Clock::now() + length_;
    while (Clock::now() < end)
      BeginFault();
    while (!heals_.empty())
      HealDue(Clock::time_point::max());
    is_over_ = true;
    for (std::thread& caller : callers)
      caller.join();
    CheckRecovery();
    for (const std::string& line : deployment_.Violations())
      Break(line);
    for (const std::string& job : refused_jobs_) {
      if (deployment_.StartsOf(job) > 0)
        Break("refused, but started: " + job);
    }
    return broken_.empty();
  }

  json::object Report() const {
    json::array broken;
    for (const std::string& line : broken_)
      broken.emplace_back(line);
    return {{"jobs", tally_.jobs},           {"succeeded", tally_.succeeded},
            {"refused", tally_.refused},     {"unknown", tally_.unknown},
            {"faults", tally_.faults},       {"broken", std::move(broken)},
            {"folder", deployment_.folder()}};
  }

 private:
  int Draw(int least, int beyond) {
    return std::uniform_int_distribution<int>(least, beyond - 1)(random_);
  }

  void Break(const std::string& what) {
    const std::lock_guard lock(mutex_);
    broken_.push_back(what);
  }

  void HealAfter(milliseconds delay, std::function<void()> heal) {
    heals_.emplace(Clock::now() + delay, std::move(heal));
  }

  void HealDue(Clock::time_point now) {
    while (!heals_.empty() && heals_.begin()->first <= now) {
      std::this_thread::sleep_until(heals_.begin()->first);
      const auto heal = std::move(heals_.begin()->second);
      heals_.erase(heals_.begin());
      heal();
    }
  }

  // Faults come in series and overlap.
  void BeginFault() {
    std::this_thread::sleep_for(milliseconds(Draw(50, 600)));
    HealDue(Clock::now());
    ++tally_.faults;
    const milliseconds time(Draw(100, static_cast<int>(kLongestFault.count())));
    const int entry = Draw(0, deployment_.entry_count());
    const int kind = Draw(0, 8);
    std::ofstream(deployment_.folder() + "/faults", std::ios::app)
        << "ts_ms=" << ClockReading::Now().wall.count() << " fault=" << kind
        << " entry=" << entry << " for_ms=" << time.count() << '\n';
    switch (kind) {
      case 0:
        StopEntry(entry, SIGKILL, time);
        return;
      case 1:
        StopEntry(entry, SIGTERM, time);
        return;
      case 2:
        Pause(entry, time);
        return;
      case 3:
        deployment_.entry(entry).Signal(SIGHUP);
        return;
      case 4:
        Disturb(*store_proxies_[entry], time);
        return;
      case 5:
        Disturb(*std::next(worker_proxies_.begin(),
                           Draw(0, static_cast<int>(worker_proxies_.size())))
                     ->second,
                time);
        return;
      case 6: {
        constexpr const char* kModes[] = {"refuse", "hang", "lose"};
        deployment_.Admin({{"store", kModes[Draw(0, 3)]}});
        HealAfter(time, [this] { deployment_.Admin({{"store", "up"}}); });
        return;
      }
      default: {
        constexpr const char* kModes[] = {"down", "mute", "late"};
        const std::string worker =
            "w" +
            std::to_string(Draw(0, static_cast<int>(worker_proxies_.size())));
        const std::string mode = kModes[Draw(0, 3)];
        deployment_.Admin({{"worker", worker}, {"mode", mode}});
        // A worker that was down is back no sooner than its owner can know.
        const milliseconds back =
            mode == "down" ? std::max(time, milliseconds(1700)) : time;
        HealAfter(back, [this, worker] {
          deployment_.Admin({{"worker", worker}, {"mode", "normal"}});
        });
      }
    }
  }

  // An entry that was paused for long learns last from the store that others
  // own its workers: only fencing keeps its orders out.
  void Pause(int entry, milliseconds time) {
    deployment_.entry(entry).Signal(SIGSTOP);
    HealAfter(time,
              [this, entry] { deployment_.entry(entry).Signal(SIGCONT); });
    if (time < kOwnerSilence)
      return;
    LoopbackProxy& store = *store_proxies_[entry];
    store.SetFault(ProxyFault::kSilent);
    HealAfter(time + kResendDelay,
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
    HealAfter(wait + down, [this, entry, signal] {
      const auto code = deployment_.entry(entry).Wait(milliseconds(200));
      if (signal == SIGTERM && code != 0)
        Break("a graceful stop of entry " + std::to_string(entry) +
              " ended with " + std::to_string(code.value_or(-1)));
      deployment_.StartEntry(entry);
      down_.erase(entry);
    });
  }

  void Disturb(LoopbackProxy& proxy, milliseconds time) {
    proxy.SetFault(static_cast<ProxyFault>(Draw(1, 6)));
    HealAfter(time, [&proxy] { proxy.SetFault(ProxyFault::kNone); });
  }

  void CallUntilEnd(int caller) {
    std::mt19937 random(static_cast<unsigned>(caller) + 1000);
    for (int i = 0; !is_over_; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "%08x%08x", caller + 1, i);
      const int tasks = 1 + static_cast<int>(random() % 4);
      // One in four outlasts a lease.
      const int run_ms = random() % 4 == 0
                             ? 900 + static_cast<int>(random() % 900)
                             : 20 + static_cast<int>(random() % 300);
      const int millicores = 15'000 + static_cast<int>(random() % 20'000);
      RunJob(id, tasks, millicores, run_ms, caller + i);
    }
  }

  void RunJob(const std::string& id,
              int tasks,
              int millicores,
              int run_ms,
              int first_entry) {
    int refusals = 0;
    int tries = 0;
    CallerAnswer answer;
    while (tries < kMostTries) {
      const int entry = (first_entry + tries) % deployment_.entry_count();
      ++tries;
      answer =
          deployment_.Submit(entry, id, tasks, millicores, run_ms, kPatience);
      const bool is_refused = answer.status == 429 || answer.status == 503;
      if (is_refused && answer.retry_after.empty())
        Break("a refusal without a time to come back: " + id);
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
    if (refusals == tries)
      refused_jobs_.push_back(id);
    if (answer.status == 200 && answer.body != R"({"state":"succeeded"})")
      broken_.push_back("an answer that is not whole: " + answer.body);
  }

  // All faults are over: most jobs are served again.
  void CheckRecovery() {
    if (!deployment_.WaitUntilReady(kReadyTimeout))
      Break("not all entries are ready after the faults");
    std::this_thread::sleep_for(kReadyTimeout / 5);
    int served = 0;
    for (int i = 0; i < kJobsAtEnd; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "ffffffff%08x", i);
      const CallerAnswer answer = deployment_.Submit(
          i % deployment_.entry_count(), id, 1, 15'000, 30, kPatience);
      served += answer.status == 200 ? 1 : 0;
      if (answer.status != 200)
        std::ofstream(deployment_.folder() + "/metrics-" + id)
            << deployment_.Scrape(i % deployment_.entry_count());
    }
    if (served < kServedAtEnd * kJobsAtEnd)
      Break("only " + std::to_string(served) + " of " +
            std::to_string(kJobsAtEnd) + " jobs are served after the faults");
  }

  std::mt19937 random_;
  const milliseconds length_;
  LeaseDeployment deployment_;
  FiberThread thread_;
  const int caller_count_;
  std::vector<std::unique_ptr<LoopbackProxy>> store_proxies_;
  std::map<std::string, std::unique_ptr<LoopbackProxy>> worker_proxies_;
  std::multimap<Clock::time_point, std::function<void()>> heals_;
  std::set<int> down_;  // entries that are being stopped and started
  std::atomic<bool> is_over_{false};
  mutable std::mutex mutex_;
  Tally tally_;
  std::vector<std::string> refused_jobs_;
  std::vector<std::string> broken_;
};

int Main(int argc, char** argv) {
  const std::map<std::string, docopt::value> arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, /*help=*/true);
  const auto number = [&](const char* name) {
    return static_cast<int>(arguments.at(name).asLong());
  };
  LeaseDeploymentOptions options{.entries = number("--entries"),
                                 .workers = number("--workers")};
  if (const docopt::value& broken = arguments.at("--break")) {
    if (broken.asString() == "clocks") {
      options.plan["clock_rate"] = 0.5;
    } else if (broken.asString() == "tokens") {
      options.plan["ignores_tokens"] = true;
    } else {
      std::cerr << "unknown mechanism: " << broken.asString() << '\n';
      return 64;
    }
  }
  Soak soak(static_cast<unsigned>(number("--seed")),
            std::chrono::seconds(number("--seconds")), options,
            number("--callers"));
  const bool is_kept = soak.Run();
  json::object report = soak.Report();
  report["seed"] = number("--seed");
  std::cout << json::serialize(report) << std::endl;
  return is_kept ? 0 : 1;
}

}  // namespace

}  // namespace mustardbank

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::_Exit(mustardbank::Main(argc, argv));
}
