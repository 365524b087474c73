// Runs of LeaseDispatcher: their ends, stops and progress.
#include <algorithm>
#include <utility>

#include "LibLease/lease_dispatcher.h"

namespace mustardbank {

namespace {

// A run without progress for this long counts as stalled.
constexpr Duration kStallTime = std::chrono::milliseconds(350);
// A run is checked for straggling only after this share of its expected time.
constexpr double kStragglerCheckShare = 0.4;
// On healthy workers, 99.7% of runs stay below this multiple of the expected
// time (lognormal with a standard deviation of 0.45).
constexpr double kStragglerFactor = 3.5;
// Time to stop a run and start it on another worker.
constexpr Duration kRestartCost = std::chrono::milliseconds(60);
// Restarts of a task, for any cause, before its job is given up.
constexpr std::uint32_t kMostRestarts = 6;

// The total duration of a run that continues at its average speed so far.
Duration ProjectTotal(const LeasedRun& run, Time now) {
  return (now - run.started) * 100 / std::max(1, run.percent);
}

}  // namespace

void LeaseDispatcher::EndAllRuns(LeasedWorker& worker, RunEnd end, Time now) {
  while (!worker.runs.empty())
    EndRun(worker, worker.runs.begin()->first, end, now);
}

void LeaseDispatcher::LapseAllRuns(LeasedWorker& worker, Time now) {
  for (const auto& [task, run] : worker.runs) {
    if (!run.was_seen)
      worker.unsettled_starts[task] = {.id = run.id, .size = run.size};
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
    durations_.DidRun(job.request.policy.name,
                      job.request.groups[task.group].declared_run_time,
                      now - run.started);
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

bool LeaseDispatcher::IsStraggling(const LeasedRun& run, Time made_at) const {
  const Duration elapsed = made_at - run.started;
  if (elapsed < kStragglerCheckShare * run.expected || run.percent <= 0)
    return false;
  const Duration total = ProjectTotal(run, made_at);
  return total > kStragglerFactor * run.expected &&
         total - elapsed > run.expected + kRestartCost;
}

void LeaseDispatcher::StopStragglers(LeasedWorker& worker,
                                     Time made_at,
                                     Time now) {
  for (auto& [task, run] : worker.runs) {
    if (run.state != RunState::kRunning || run.job.empty())
      continue;
    const bool is_stalled = IsStalled(run, made_at);
    if (!is_stalled && !IsStraggling(run, made_at))
      continue;
    ++counters_.stragglers;
    if (const auto job = jobs_.find(run.job); job != jobs_.end() && !is_stalled)
      job->second.tasks[run.task].projected = ProjectTotal(run, made_at);
    ExcludeWorker(worker, now);
    StopRun(worker, run, now);
  }
}

}  // namespace mustardbank
