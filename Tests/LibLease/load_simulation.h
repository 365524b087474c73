// Simulates a load on a dispatcher and on workers that follow the lease
// protocol, in steps of one millisecond, and counts the outcomes for callers.
#pragma once

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Harness/worker_model.h"
#include "lease_fixture.h"

namespace mustardbank {

// A kind of job, as described in the users' site files.
struct LoadKind {
  std::string name;
  double per_second = 0;
  double run_ms = 0;  // mean; lognormal over jobs
  double tasks = 0;   // mean
  std::uint32_t most_tasks = 0;
  std::uint32_t priority = 0;
  double millicores = 27'000;  // mean
  // Jobs whose first task crashes each worker that starts it.
  double crashing_share = 0;
};

// No VM is up for some time, and no job is taken. Callers send their jobs again
// each `kResendAfter`.
struct Outage {
  Duration begin{};
  Duration length{};
};

// The workers from `kFirstEvacuated` on, a quarter of the processors, are in a
// data centre that is evacuated.
struct LoadEvacuation {
  Duration begin{};
  Duration length{};
};

// The workers of the data centre, and how their speeds differ.
struct LoadWorkers {
  int count = 12;
  // Multiplies the run times of tasks started on a worker, by its index and the
  // time since the begin.
  std::function<double(int, Duration)> factor;
  std::function<std::string(int)> label;
  double spread_within_job = 0;   // of logarithms of run times
  double share_of_long_jobs = 0;  // which take 7 times as long
};

struct LoadOutcome {
  int submitted = 0;
  int in_objective = 0;
  int late = 0;
  int refused = 0;
  // Refused although all tasks would have fitted into the free capacity.
  int refused_despite_capacity = 0;

  double served_share() const {
    return submitted == 0 ? 1 : static_cast<double>(in_objective) / submitted;
  }
};

class LoadSimulation {
 public:
  // Each answer of a worker is lost with probability `loss`, after the command
  // was carried out. Each start is carried out 1.5 s late, and not answered,
  // with probability `delay`.
  explicit LoadSimulation(unsigned seed,
                          double loss = 0,
                          double delay = 0,
                          LoadWorkers workers = {})
      : random_(seed),
        loss_(loss),
        delay_(delay),
        load_workers_(std::move(workers)) {
    // Sizes of a small site's data centre: two in three have 64 cores, the
    // others 96.
    for (int i = 0; i < load_workers_.count; ++i) {
      const std::string id = "w" + std::to_string(10 + i);
      const std::int64_t millicores = i % 3 == 2 ? 96'000 : 64'000;
      WorkerEntry entry = MakeWorker(id, millicores);
      if (i >= kFirstEvacuated)
        entry.data_center = kEvacuated;
      if (load_workers_.label)
        entry.labels = {load_workers_.label(i)};
      fixture_.dispatcher.Own(entry, kToken, fixture_.now);
      models_.emplace(id, WorkerModel({}, NowMs()));
    }
  }

  // The outcomes by kind. Those of callers that had to send their job again are
  // kept apart, under the kind's name with kReturned.
  std::map<std::string, LoadOutcome> Run(
      const std::vector<LoadKind>& kinds,
      int seconds,
      const Outage& outage = {},
      const LoadEvacuation& evacuation = {}) {
    evacuated_at_ = fixture_.now + evacuation.begin;
    withdrawn_at_ = evacuated_at_ + evacuation.length;
    const Time begin = fixture_.now + outage.begin;
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      fixture_.now += std::chrono::milliseconds(1);
      if (evacuation.length.count() > 0 && fixture_.now == evacuated_at_)
        fixture_.dispatcher.SetEvacuated(
            {{kEvacuated, fixture_.now + kLastStarts}}, fixture_.now);
      if (evacuation.length.count() > 0 && fixture_.now == withdrawn_at_)
        Withdraw();
      const bool is_out =
          fixture_.now >= begin && fixture_.now < begin + outage.length;
      for (const LoadKind& kind : kinds) {
        if (!std::bernoulli_distribution(kind.per_second / 1000)(random_))
          continue;
        const LoadJob job = MakeRandomJob(kind);
        if (is_out)
          returning_.emplace(fixture_.now + kResendAfter, job);
        else
          SubmitLoadJob(job);
      }
      while (!returning_.empty() && returning_.begin()->first <= fixture_.now) {
        LoadJob job = returning_.extract(returning_.begin()).mapped();
        job.kind += job.kind.ends_with(kReturned) ? "" : kReturned;
        if (is_out)
          returning_.emplace(fixture_.now + kResendAfter, job);
        else
          SubmitLoadJob(job);
      }
      if (ms % 10 == 0)
        fixture_.dispatcher.Tick(fixture_.now);
      TimeOut();
      Exchange();
    }
    return outcomes_;
  }

  // Starts in the evacuated data centre after its last starts, and after the
  // withdrawal.
  int evacuated_starts() const { return evacuated_starts_; }
  int resumed_starts() const { return resumed_starts_; }
  // The capacity reported by the withdrawal, in millicores.
  std::int64_t resumed_capacity() const { return resumed_capacity_; }

  static constexpr int kFirstEvacuated = 9;
  static constexpr Duration kLastStarts = std::chrono::milliseconds(300);

  LeaseDispatcher& dispatcher() { return fixture_.dispatcher; }
  Time now() const { return fixture_.now; }

  // Crashes of workers. Each is back after kDownTime, in a new incarnation.
  int crashes() const { return crashes_; }

  // Counts from now on only.
  void ForgetOutcomes() { outcomes_.clear(); }

  static constexpr const char* kReturned = " returned";
  static constexpr const char* kCrashing = " crashing";

 private:
  static constexpr Duration kResendAfter = std::chrono::milliseconds(1300);
  static constexpr Duration kDownTime = std::chrono::milliseconds(3500);
  static constexpr Duration kLateBy = std::chrono::milliseconds(1500);

  struct LoadJob {
    std::string kind;
    Time first_sent;
    Duration timeout{};  // counted from the first try
    Duration declared{};
    Duration objective{};
    std::int64_t run_ms = 0;
    std::int64_t millicores = 0;
    std::uint32_t priority = 0;
    std::uint32_t tasks = 0;
    bool crashes = false;
  };

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               fixture_.now.time_since_epoch())
        .count();
  }

  double Lognormal(double mean, double sigma) {
    return mean * std::exp(std::normal_distribution<>(-sigma * sigma / 2,
                                                      sigma)(random_));
  }

  LoadJob MakeRandomJob(const LoadKind& kind) {
    double run_ms = std::max(5.0, Lognormal(kind.run_ms, 0.4));
    if (load_workers_.share_of_long_jobs > 0 &&
        std::bernoulli_distribution(load_workers_.share_of_long_jobs)(random_))
      run_ms *= 7;
    const bool crashes =
        kind.crashing_share > 0 &&
        std::bernoulli_distribution(kind.crashing_share)(random_);
    return {
        .kind = kind.name + (crashes ? kCrashing : ""),
        .first_sent = fixture_.now,
        .timeout = FromMilliseconds(2000 + 3 * kind.run_ms),
        .declared = FromMilliseconds(Lognormal(run_ms, 0.4)),
        .objective = FromMilliseconds(1.6 * run_ms + 60),
        .run_ms = static_cast<std::int64_t>(run_ms),
        .millicores = static_cast<std::int64_t>(std::min(
            41.0 / 27 * kind.millicores, Lognormal(kind.millicores, 0.2))),
        .priority = kind.priority,
        .tasks = std::clamp<std::uint32_t>(
            static_cast<std::uint32_t>(std::lround(Lognormal(kind.tasks, 0.4))),
            1, kind.most_tasks),
        .crashes = crashes};
  }

  void SubmitLoadJob(const LoadJob& load_job) {
    const std::string id = "job" + std::to_string(next_job_++);
    ++outcomes_[load_job.kind].submitted;
    JobRequest job = MakeJob(id, fixture_.now,
                             {.tasks = load_job.tasks,
                              .millicores = load_job.millicores,
                              .run_time = load_job.declared,
                              .longest_wait = load_job.first_sent +
                                              load_job.timeout - fixture_.now});
    job.policy.name = load_job.kind.substr(0, load_job.kind.find(' '));
    job.policy.priority = load_job.priority;
    const bool has_capacity = Places(load_job.millicores) >= load_job.tasks &&
                              fixture_.dispatcher.queued_jobs() == 0;
    jobs_[id] = load_job;
    fixture_.dispatcher.Submit(std::move(job), fixture_.now);
    fixture_.Pump();
    if (has_capacity && !fixture_.finished.empty() &&
        fixture_.finished.back().job == id &&
        fixture_.finished.back().result.outcome == JobOutcome::kRefused)
      ++outcomes_[load_job.kind].refused_despite_capacity;
  }

  std::int64_t RunMs(const StartCommand& start, const LoadJob& job) {
    double run_ms = static_cast<double>(job.run_ms);
    if (load_workers_.spread_within_job > 0)
      run_ms = Lognormal(run_ms, load_workers_.spread_within_job);
    if (load_workers_.factor)
      run_ms *= load_workers_.factor(
          std::stoi(start.target.worker.substr(1)) - 10, fixture_.now - begin_);
    return static_cast<std::int64_t>(run_ms);
  }

  std::uint32_t Places(std::int64_t millicores) const {
    std::int64_t places = 0;
    for (const auto& [id, worker] : fixture_.dispatcher.workers()) {
      if (worker.CanStart(LeaseTiming{}, fixture_.now))
        places += worker.FreeCapacity(fixture_.now).millicores / millicores;
    }
    return static_cast<std::uint32_t>(places);
  }

  // Carries out starts and stops at once. Renewals are answered at the end of a
  // run or after their wait.
  void Exchange() {
    fixture_.Pump();
    for (int round = 0; round < 3; ++round) {
      for (const StartCommand& start : std::exchange(fixture_.starts, {})) {
        if (IsDown(start.target.worker)) {
          fixture_.dispatcher.DidStart(start, CommandAnswer::kRefusedConnection,
                                       0, fixture_.now);
          continue;
        }
        WorkerModel& model = models_.at(start.target.worker);
        CountStart(start.target.worker);
        const LoadJob& load_job =
            jobs_.at(start.run.task.substr(0, start.run.task.find('.')));
        const std::int64_t run_ms = RunMs(start, load_job);
        if (load_job.crashes && start.run.task.ends_with(".0.0")) {
          fixture_.dispatcher.DidStart(start, CommandAnswer::kAccepted,
                                       model.ClockAt(NowMs()), fixture_.now);
          Crash(start.target.worker);
          continue;
        }
        if (IsDelayed()) {
          lost_.emplace_back(fixture_.now + start.timeout, [this, start] {
            fixture_.dispatcher.DidStart(start, CommandAnswer::kNoAnswer, 0,
                                         fixture_.now);
          });
          lost_.emplace_back(fixture_.now + kLateBy, [this, start, &model,
                                                      &load_job, run_ms] {
            model.Start(start.run, kToken, start.lease_until_ms,
                        {.millicores = load_job.millicores, .run_ms = run_ms},
                        NowMs());
          });
          continue;
        }
        const CommandAnswer answer = model.Start(
            start.run, kToken, start.lease_until_ms,
            {.millicores = load_job.millicores, .run_ms = run_ms}, NowMs());
        if (LosesAnswer())
          lost_.emplace_back(fixture_.now + start.timeout, [this, start] {
            fixture_.dispatcher.DidStart(start, CommandAnswer::kNoAnswer, 0,
                                         fixture_.now);
          });
        else
          fixture_.dispatcher.DidStart(start, answer, model.ClockAt(NowMs()),
                                       fixture_.now);
      }
      for (const StopCommand& stop : std::exchange(fixture_.stops, {}))
        fixture_.dispatcher.DidStop(stop,
                                    IsDown(stop.target.worker)
                                        ? CommandAnswer::kRefusedConnection
                                        : models_.at(stop.target.worker)
                                              .Stop(stop.run, kToken, NowMs()),
                                    fixture_.now);
      AnswerRenewals();
      fixture_.Pump();
    }
    for (const FinishJob& finish : std::exchange(fixture_.finished, {}))
      Count(finish);
  }

  void Withdraw() {
    const std::int64_t before =
        fixture_.dispatcher.Load(fixture_.now).capacity_millicores;
    fixture_.dispatcher.SetEvacuated({}, fixture_.now);
    resumed_capacity_ =
        fixture_.dispatcher.Load(fixture_.now).capacity_millicores - before;
  }

  void CountStart(const std::string& worker) {
    const std::string& data_center =
        fixture_.dispatcher.workers().at(worker).entry.data_center;
    if (data_center != kEvacuated || fixture_.now < evacuated_at_)
      return;
    if (fixture_.now >= withdrawn_at_)
      ++resumed_starts_;
    else if (fixture_.now >= evacuated_at_ + kLastStarts)
      ++evacuated_starts_;
  }

  void AnswerRenewals() {
    for (const RenewCommand& renewal : std::exchange(fixture_.renewals, {}))
      waiting_.emplace_back(NowMs(), renewal);
    std::vector<std::pair<std::int64_t, RenewCommand>> still_waiting;
    for (auto& [since, renewal] : waiting_) {
      if (IsDown(renewal.target.worker)) {
        fixture_.dispatcher.DidRenew(renewal, CommandAnswer::kRefusedConnection,
                                     {}, fixture_.now);
        continue;
      }
      WorkerModel& model = models_.at(renewal.target.worker);
      model.Renew(kToken, since == NowMs() ? renewal.lease_until_ms : 0,
                  renewal.acknowledged, NowMs());
      if (!model.HasEndsAfter(renewal.acknowledged) &&
          NowMs() < since + renewal.wait.count() / 1'000'000) {
        still_waiting.emplace_back(since, renewal);
        continue;
      }
      if (LosesAnswer()) {
        const Duration waited = std::chrono::milliseconds(NowMs() - since);
        lost_.emplace_back(
            fixture_.now + renewal.timeout - waited, [this, renewal = renewal] {
              fixture_.dispatcher.DidRenew(renewal, CommandAnswer::kNoAnswer,
                                           {}, fixture_.now);
            });
      } else {
        fixture_.dispatcher.DidRenew(renewal, CommandAnswer::kAccepted,
                                     model.Report(NowMs()), fixture_.now);
      }
    }
    waiting_ = std::move(still_waiting);
  }

  void Crash(const std::string& worker) {
    ++crashes_;
    down_until_[worker] = fixture_.now + kDownTime;
    models_.erase(worker);
  }

  bool IsDown(const std::string& worker) {
    const auto it = down_until_.find(worker);
    if (it == down_until_.end())
      return false;
    if (fixture_.now < it->second)
      return true;
    down_until_.erase(it);
    models_.emplace(worker, WorkerModel({}, NowMs()));
    return false;
  }

  bool IsDelayed() {
    return delay_ > 0 && std::bernoulli_distribution(delay_)(random_);
  }

  bool LosesAnswer() {
    return loss_ > 0 && std::bernoulli_distribution(loss_)(random_);
  }

  // Reports lost answers to the dispatcher once their timeout has passed.
  void TimeOut() {
    std::vector<std::pair<Time, std::function<void()>>> later;
    for (auto& [due, report_loss] : std::exchange(lost_, {})) {
      if (due <= fixture_.now)
        report_loss();
      else
        later.emplace_back(due, std::move(report_loss));
    }
    for (auto& loss : lost_)
      later.push_back(std::move(loss));
    lost_ = std::move(later);
  }

  void Count(const FinishJob& finish) {
    const LoadJob& load_job = jobs_.at(finish.job);
    LoadOutcome& outcome = outcomes_[load_job.kind];
    if (finish.result.outcome == JobOutcome::kRefused)
      ++outcome.refused;
    else if (finish.result.outcome == JobOutcome::kSucceeded &&
             fixture_.now - load_job.first_sent <= load_job.objective)
      ++outcome.in_objective;
    else
      ++outcome.late;
  }

  std::mt19937 random_;
  const double loss_;
  const double delay_;
  const LoadWorkers load_workers_;
  LeaseFixture fixture_;
  const Time begin_ = fixture_.now;
  std::map<std::string, WorkerModel> models_;
  std::vector<std::pair<std::int64_t, RenewCommand>> waiting_;
  std::vector<std::pair<Time, std::function<void()>>> lost_;
  std::map<std::string, LoadJob> jobs_;
  std::multimap<Time, LoadJob> returning_;  // by the time of the next try
  std::map<std::string, LoadOutcome> outcomes_;
  int next_job_ = 0;
  std::map<std::string, Time> down_until_;
  int crashes_ = 0;
  static constexpr const char* kEvacuated = "tanger";
  Time evacuated_at_;
  Time withdrawn_at_;
  int evacuated_starts_ = 0;
  int resumed_starts_ = 0;
  std::int64_t resumed_capacity_ = 0;
};

}  // namespace mustardbank
