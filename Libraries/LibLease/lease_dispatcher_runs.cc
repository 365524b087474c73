// Runs of LeaseDispatcher: their ends, stops and progress.
#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

#include "LibLease/lease_dispatcher.h"

namespace mustardbank {

namespace {

// A run without progress for this long counts as stalled.
constexpr Duration kStallTime = std::chrono::milliseconds(350);
// A run is checked for straggling only after this share of its expected time.
constexpr double kStragglerCheckShare = 0.4;
// On healthy workers, 99.7% of runs stay below this multiple of the expected
// time (lognormal with a standard deviation of 0.45). An error of the worker's
// speed raises it.
constexpr double kStragglerFactor = 3.5;
// Runs below this multiple of the expected time show that nothing is wrong with
// their worker or job.
constexpr double kNormalFactor = 2;
// Time to stop a run and start it on another worker.
constexpr Duration kRestartCost = std::chrono::milliseconds(60);
// Restarts of a task, for any cause, before its job is given up.
constexpr std::uint32_t kMostRestarts = 6;

// The total duration of a run that continues at its average speed so far.
Duration ProjectTotal(const LeasedRun& run, Time now) {
  return (now - run.started) * 100 / std::max(1, run.percent);
}

std::optional<double> MedianOf(std::vector<double> values) {
  if (values.empty())
    return std::nullopt;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// The projected duration over the expected one.
double RatioOf(const LeasedRun& run, Time now) {
  return ToMilliseconds(ProjectTotal(run, now)) /
         std::max(1.0, ToMilliseconds(run.expected));
}

}  // namespace

void LeaseDispatcher::EndAllRuns(LeasedWorker& worker, RunEnd end, Time now) {
  while (!worker.runs.empty())
    EndRun(worker, worker.runs.begin()->first, end, now);
}

void LeaseDispatcher::LapseAllRuns(LeasedWorker& worker, Time now) {
  DidLoseWorker(worker,
                worker.phase == WorkerPhase::kDown
                    ? LossEvidence::kRefusedConnection
                    : LossEvidence::kSilent,
                now);
  for (const auto& [task, run] : worker.runs) {
    if (!run.was_seen)
      worker.unsettled_starts[task] = {
          .id = run.id, .started = run.started, .size = run.size};
  }
  EndAllRuns(worker, RunEnd::kLapsed, now);
}

// Stops unsettled starts. Once a worker has accepted a stop, it rejects a start
// of the same run that arrives later.
void LeaseDispatcher::SettleStarts(LeasedWorker& worker, Time now) {
  for (auto& [task, start] : worker.unsettled_starts) {
    if (start.stop_in_flight || start.conclusive_renewal ||
        now < start.stop_again)
      continue;
    start.stop_in_flight = true;
    actions_.emplace_back(StopCommand{.target = TargetOf(worker),
                                      .run = start.id,
                                      .timeout = answer_timeout_.Timeout()});
  }
}

void LeaseDispatcher::EndRun(LeasedWorker& worker,
                             const std::string& task_name,
                             RunEnd end,
                             Time now) {
  const auto it = worker.runs.find(task_name);
  const LeasedRun run = std::move(it->second);
  worker.runs.erase(it);
  schedule_due_ = true;
  ++counters_.ends[static_cast<std::size_t>(end)];
  Unblock(run);
  ReleaseWorker(run.id.task);
  if (end == RunEnd::kDone || end == RunEnd::kFailed)
    DidEndByItself(run, now);
  const auto job_it = jobs_.find(run.job);
  log_.Write(LogEvent::kTaskEnded, now)
      .Add(LogField::kJob, run.job)
      .Add(LogField::kTask, run.id.task)
      .Add(LogField::kRun, run.id.number)
      .Add(LogField::kWorker, worker.entry.id)
      .Add(LogField::kOutcome, kRunEndNames[end])
      .Add(LogField::kElapsedMs, now - run.started)
      .Add(LogField::kExpectedMs, run.expected);
  if (end == RunEnd::kFailed)
    ExcludeWorker(worker, now);
  if (end == RunEnd::kDone) {
    worker.outcome_health.DidSucceed();
    counters_.run_time.Observe(now - run.started);
  }
  if (job_it == jobs_.end())
    return;
  Job& job = job_it->second;
  Task& task = job.tasks[run.task];
  if (end == RunEnd::kDone) {
    task.state = TaskState::kDone;
    ++job.done;
    --job.unfinished[task.group];
    DidSucceed(worker, run, now);
    FinishIfDone(job, now);
    return;
  }
  task.avoided = worker.entry.id;
  if (end == RunEnd::kFailed &&
      ++task.failures >= job.request.policy.attempts) {
    Finish(run.job,
           {.outcome = JobOutcome::kFailed, .cause = JobCause::kTaskFailed},
           now);
    return;
  }
  if (crashes_.VerdictOf(run.id.task) == CrashHistory::Verdict::kCause) {
    Finish(run.job,
           {.outcome = JobOutcome::kFailed, .cause = JobCause::kCrashesWorkers},
           now);
    return;
  }
  if (++task.restarts > kMostRestarts) {
    Finish(run.job,
           {.outcome = JobOutcome::kGivenUp, .cause = JobCause::kRunsLost},
           now);
    return;
  }
  Requeue(job, run.task);
}

// The ended run may be from an earlier submission of its job. If so, its task
// may start now.
void LeaseDispatcher::Unblock(const LeasedRun& run) {
  const auto job = jobs_.find(std::string(JobOf(run.id.task)));
  if (job != jobs_.end() && run.job.empty() &&
      run.task < job->second.tasks.size())
    job->second.tasks[run.task].is_blocked = false;
}

void LeaseDispatcher::StopRun(LeasedWorker& worker, LeasedRun& run, Time now) {
  run.state = RunState::kStopping;
  run.conclusive_renewal.reset();
  run.stop_in_flight = true;
  ++counters_.stops;
  log_.Write(LogEvent::kTaskStopped, now)
      .Add(LogField::kTask, run.id.task)
      .Add(LogField::kRun, run.id.number)
      .Add(LogField::kWorker, worker.entry.id);
  actions_.emplace_back(StopCommand{.target = TargetOf(worker),
                                    .run = run.id,
                                    .timeout = answer_timeout_.Timeout()});
}

// Stops unanswered starts that are missing from the report of a renewal sent
// after their timeout, so that their tasks can start elsewhere soon. The worker
// may still carry them out late.
void LeaseDispatcher::StopMissingStarts(LeasedWorker& worker,
                                        std::uint64_t renewal,
                                        Time now) {
  for (auto& [task, run] : worker.runs) {
    if (run.state == RunState::kUnknown && !run.stop_in_flight &&
        renewal >= run.first_probe)
      StopRun(worker, run, now);
  }
}

bool LeaseDispatcher::IsStalled(const LeasedRun& run, Time made_at) const {
  return made_at - run.progressed > std::max(kStallTime, run.expected / 4);
}

void LeaseDispatcher::DidSucceed(LeasedWorker& worker,
                                 const LeasedRun& run,
                                 Time now) {
  Job& job = jobs_.at(run.job);
  Task& task = job.tasks[run.task];
  const Duration run_time = now - run.started;
  const double factor = speeds_.SpeedOf(worker.entry.id).factor();
  const Duration reference =
      FromMilliseconds(ToMilliseconds(run_time) / factor);
  task.ratio = ToMilliseconds(reference) /
               std::max(1.0, ToMilliseconds(job.run_times[task.group]));
  speeds_.DidRun(worker.entry.id, job.run_times[task.group], run_time,
                 job.deviation);
  durations_.DidRun(job.request.policy.name,
                    job.request.groups[task.group].declared_run_time,
                    reference);
}

std::optional<double> LeaseDispatcher::RatioOfSiblings(const LeasedRun& run,
                                                       Time now) const {
  const auto job = jobs_.find(run.job);
  if (job == jobs_.end())
    return std::nullopt;
  std::vector<double> ratios;
  for (const Task& task : job->second.tasks) {
    if (task.ratio > 0)
      ratios.push_back(task.ratio);
  }
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, sibling] : worker.runs) {
      if (sibling.job == run.job && sibling.id != run.id && sibling.percent > 0)
        ratios.push_back(RatioOf(sibling, now));
    }
  }
  return MedianOf(std::move(ratios));
}

std::optional<double> LeaseDispatcher::RatioOfNeighbours(
    const LeasedWorker& worker,
    const LeasedRun& run,
    Time now) const {
  std::vector<double> ratios;
  for (const auto& [task, neighbour] : worker.runs) {
    if (neighbour.job != run.job && neighbour.percent > 0)
      ratios.push_back(RatioOf(neighbour, now));
  }
  return MedianOf(std::move(ratios));
}

double LeaseDispatcher::BestFactor(const LeasedWorker& except,
                                   const LeasedRun& run,
                                   Time now) const {
  std::optional<double> best;
  for (const auto& [id, worker] : workers_) {
    if (&worker == &except || worker.entry.service != except.entry.service ||
        !worker.CanStart(timing_, now) ||
        !run.size.FitsIn(worker.FreeCapacity(now)))
      continue;
    const double factor = speeds_.SpeedOf(id).factor();
    best = std::min(factor, best.value_or(factor));
  }
  return best.value_or(1);
}

bool LeaseDispatcher::HasOtherRuns(const LeasedWorker& except,
                                   const LeasedRun& run) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const LeasedWorker& worker = entry.second;
    return &worker != &except &&
           std::any_of(
               worker.runs.begin(), worker.runs.end(),
               [&](const auto& other) { return other.second.job == run.job; });
  });
}

bool LeaseDispatcher::WasMoved(const LeasedRun& run) const {
  const auto job = jobs_.find(run.job);
  return job != jobs_.end() &&
         job->second.tasks[run.task].projected.count() > 0;
}

bool LeaseDispatcher::IsStraggling(const LeasedWorker& worker,
                                   const LeasedRun& run,
                                   Time made_at) const {
  const Duration elapsed = made_at - run.started;
  if (elapsed < kStragglerCheckShare * run.expected || run.percent <= 0)
    return false;
  const Duration total = ProjectTotal(run, made_at);
  const WorkerSpeed speed = speeds_.SpeedOf(worker.entry.id);
  // A task that was as slow elsewhere is long, whatever the worker's speed.
  const double threshold =
      kStragglerFactor * (WasMoved(run) ? 1 : std::exp(speed.error));
  if (total <= threshold * run.expected)
    return false;
  const std::optional<double> siblings = RatioOfSiblings(run, made_at);
  if (!siblings && HasOtherRuns(worker, run))
    return false;  // their first progress will show whether the job is long
  // Without siblings, a long job is likelier than a fault of a worker whose
  // other runs are as expected.
  if (!siblings && RatioOfNeighbours(worker, run, made_at).value_or(threshold) <
                       kNormalFactor)
    return false;
  const double of_job = std::max(1.0, siblings.value_or(1));
  if (total <= threshold * of_job * run.expected)
    return false;
  const double elsewhere_ms = ToMilliseconds(run.expected) * of_job *
                              BestFactor(worker, run, made_at) / speed.factor();
  return total - elapsed > FromMilliseconds(elsewhere_ms) + kRestartCost;
}

void LeaseDispatcher::StopStragglers(LeasedWorker& worker,
                                     Time made_at,
                                     Time now) {
  // A run that is stopped there may have no other worker to start again on.
  if (worker.is_evacuated)
    return;
  for (auto& [task, run] : worker.runs) {
    if (run.state != RunState::kRunning || run.job.empty())
      continue;
    const bool is_stalled = IsStalled(run, made_at);
    if (!is_stalled && !IsStraggling(worker, run, made_at))
      continue;
    ++counters_.stragglers;
    if (const auto job = jobs_.find(run.job); job != jobs_.end() && !is_stalled)
      job->second.tasks[run.task].projected =
          FromMilliseconds(ToMilliseconds(ProjectTotal(run, made_at)) /
                           speeds_.SpeedOf(worker.entry.id).factor());
    // Only siblings that run as expected show that the worker is at fault, and
    // not a long job.
    StragglerKind kind = StragglerKind::kStalled;
    if (!is_stalled)
      kind = RatioOfSiblings(run, made_at) ? StragglerKind::kFaultyWorker
                                           : StragglerKind::kUnexplained;
    ++counters_.straggler_kinds[static_cast<std::size_t>(kind)];
    if (kind != StragglerKind::kUnexplained)
      ExcludeWorker(worker, now);
    StopRun(worker, run, now);
  }
}

}  // namespace mustardbank
