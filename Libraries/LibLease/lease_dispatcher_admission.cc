// Admission of LeaseDispatcher: whether a job is accepted, from the capacity of
// the workers and the work ahead of it.
#include <algorithm>

#include "LibLease/lease_dispatcher.h"

namespace mustardbank {

namespace {

// Share of the capacity that must stay free if a job is run although its answer
// is of little use: other jobs may arrive during the run.
constexpr double kAmpleShare = 0.5;
// While no worker can be used, for lack of answers or after failures. Most of
// them are tried again within this time.
constexpr Duration kNoWorkerRetryAfter = std::chrono::seconds(1);

}  // namespace

std::optional<JobResult> LeaseDispatcher::CheckAdmission(const Job& job,
                                                         Time now) {
  if (!CanEverFit(job)) {
    // Another owner may have workers outside that data centre.
    if (NeedsEvacuatedWorkers(job))
      return JobResult{.outcome = JobOutcome::kRefused,
                       .cause = JobCause::kEvacuated,
                       .retry_after = kNoWorkerRetryAfter};
    const bool has_workers =
        std::any_of(workers_.begin(), workers_.end(), [&](const auto& worker) {
          return worker.second.entry.service == job.request.policy.service &&
                 !worker.second.entry.leaving && !worker.second.releasing;
        });
    return JobResult{
        .outcome = JobOutcome::kRefused,
        .cause = has_workers ? JobCause::kNeverFits : JobCause::kNotOwner,
        .retry_after = kMostRetryAfter};
  }
  // Registrations may be confirmed again at any moment, but not predictably.
  if (!HasCapacityFor(job, now))
    return JobResult{.outcome = JobOutcome::kRefused,
                     .cause = JobCause::kNoRoom,
                     .retry_after = kNoWorkerRetryAfter};
  const Time earliest = EarliestRisk(job.request.policy.name, /*share=*/1, now);
  if (earliest > now)
    return JobResult{.outcome = JobOutcome::kRefused,
                     .cause = JobCause::kCrashLimit,
                     .retry_after = std::clamp(earliest - now, kLeastRetryAfter,
                                               kMostRetryAfter)};
  const AdmissionLoad load = LoadAhead(job, now);
  const Time end = PredictEnd(load, job.estimate, now);
  const Time latest = std::min(LatestStartOf(job) + job.estimate.longest_chain,
                               job.request.deadline);
  // Its answer is of little use by now, but the caller still waits, and the age
  // of a job is an estimate. Neither a wait nor another owner would help.
  if (now > LatestStartOf(job)) {
    if (load.fits_now &&
        load.free - job.estimate.peak_demand > kAmpleShare * load.capacity)
      return std::nullopt;
    return JobResult{.outcome = JobOutcome::kRefused,
                     .cause = JobCause::kWaitedTooLong,
                     .retry_after = kLeastRetryAfter};
  }
  // Expected run times may be far off: while there is room, the job is tried.
  if (end <= latest || load.fits_now)
    return limits_queues_ ? CheckShare(job, load, latest, now) : std::nullopt;
  const Duration overrun =
      end == Time::max() ? kNoWorkerRetryAfter : end - latest;
  return JobResult{
      .outcome = JobOutcome::kRefused,
      .cause = JobCause::kNoRoom,
      .retry_after = std::clamp(overrun, kLeastRetryAfter, kMostRetryAfter)};
}

// A job beyond the share of its queue starts once it leaves enough capacity to
// the other queues. It is refused if that would be too late.
std::optional<JobResult> LeaseDispatcher::CheckShare(const Job& job,
                                                     AdmissionLoad load,
                                                     Time latest_end,
                                                     Time now) {
  QueueUses uses = RunningByQueue();
  for (const QueueKey& key : queue_) {
    const Job& waiting = jobs_.at(key.job);
    uses[waiting.request.policy.name] +=
        waiting.estimate.peak_demand * static_cast<double>(waiting.waiting) /
        static_cast<double>(waiting.tasks.size());
  }
  const ShareDecision decision =
      shares_.Decide(job.request, job.estimate, load.capacity, uses);
  if (decision.is_allowed)
    return std::nullopt;
  load.fits_now = false;
  load.queued_demand += decision.reserved;
  const Time end = PredictEnd(load, job.estimate, now);
  if (end <= latest_end)
    return std::nullopt;
  counters_.CountOverShare(job.request.policy.name);
  return JobResult{.outcome = JobOutcome::kRefused,
                   .cause = JobCause::kOverShare,
                   .retry_after = std::clamp(end - latest_end, kLeastRetryAfter,
                                             kMostRetryAfter)};
}

bool LeaseDispatcher::MustLeaveCapacity(const Job& job,
                                        const QueueUses& running,
                                        Time now) const {
  return limits_queues_ && !job.was_started && !job.is_late &&
         !shares_
              .Decide(job.request, job.estimate, UsableCapacity(now), running)
              .is_allowed;
}

QueueUses LeaseDispatcher::RunningByQueue() const {
  QueueUses uses;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker.runs) {
      const auto job = jobs_.find(run.job);
      uses[job == jobs_.end() ? "" : job->second.request.policy.name] +=
          static_cast<double>(run.size.millicores);
    }
  }
  return uses;
}

double LeaseDispatcher::UsableCapacity(Time now) const {
  double capacity = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.CountsForAdmission())
      capacity += static_cast<double>(worker.Capacity(now).millicores);
  }
  return capacity;
}

bool LeaseDispatcher::CanEverFit(const Job& job) const {
  return std::all_of(job.request.groups.begin(), job.request.groups.end(),
                     [&](const TaskGroup& group) {
                       return HasWorkerFor(job, group, /*is_evacuated=*/false);
                     });
}

bool LeaseDispatcher::HasWorkerFor(const Job& job,
                                   const TaskGroup& group,
                                   bool is_evacuated) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const LeasedWorker& worker = entry.second;
    return worker.is_evacuated == is_evacuated &&
           worker.entry.service == job.request.policy.service &&
           !worker.entry.leaving && !worker.releasing &&
           group.each.FitsIn(worker.LastCapacity());
  });
}

bool LeaseDispatcher::HasCapacityFor(const Job& job, Time now) const {
  const auto fits = [&](const TaskGroup& group) {
    return std::any_of(
        workers_.begin(), workers_.end(), [&](const auto& entry) {
          return entry.second.entry.service == job.request.policy.service &&
                 group.each.FitsIn(entry.second.Capacity(now));
        });
  };
  return std::all_of(job.request.groups.begin(), job.request.groups.end(),
                     fits);
}

bool LeaseDispatcher::NeedsEvacuatedWorkers(const Job& job) const {
  if (evacuated_.empty())
    return false;
  std::set<std::size_t> waiting;  // groups
  for (const Task& task : job.tasks) {
    if (task.state == TaskState::kWaiting)
      waiting.insert(task.group);
  }
  return std::any_of(waiting.begin(), waiting.end(), [&](std::size_t index) {
    const TaskGroup& group = job.request.groups[index];
    return !HasWorkerFor(job, group, /*is_evacuated=*/false) &&
           HasWorkerFor(job, group, /*is_evacuated=*/true);
  });
}

void LeaseDispatcher::EndEvacuatedJobs(Time now) {
  if (evacuated_.empty())
    return;
  const bool may_start =
      std::any_of(evacuated_.begin(), evacuated_.end(),
                  [now](const auto& entry) { return now < entry.second; });
  const std::set<QueueKey> queued = queue_;
  for (const QueueKey& key : queued) {
    const Job& job = jobs_.at(key.job);
    if ((!job.was_started || !may_start) && NeedsEvacuatedWorkers(job))
      Cancel(key.job, JobCause::kEvacuated, now);
  }
}

bool LeaseDispatcher::FitsNow(const Job& job, Time now) const {
  if (std::any_of(queue_.begin(), queue_.end(), [&](const QueueKey& key) {
        const Job& queued = jobs_.at(key.job);
        return !queued.is_held && !queued.awaits_exclusive_worker;
      }))
    return false;
  // Only the first group is checked: it starts now, and most jobs have groups
  // of similar size.
  const TaskGroup& group = job.request.groups.front();
  std::int64_t places = 0;
  for (const auto& [id, worker] : workers_) {
    if (!worker.CanStart(timing_, now))
      continue;
    const Resources free_capacity = worker.FreeCapacity(now);
    if (group.each.FitsIn(free_capacity))
      places += worker.IsCold(now)
                    ? 1
                    : free_capacity.millicores /
                          std::max<std::int64_t>(1, group.each.millicores);
  }
  return places >= group.count;
}

AdmissionLoad LeaseDispatcher::LoadAhead(const Job& job, Time now) const {
  AdmissionLoad load{.fits_now = FitsNow(job, now)};
  for (const auto& [id, worker] : workers_) {
    if (!worker.CountsForAdmission())
      continue;
    load.capacity += static_cast<double>(worker.Capacity(now).millicores);
    // A cold worker gets no second task.
    if (worker.runs.empty() || !worker.IsCold(now))
      load.free += static_cast<double>(
          std::max<std::int64_t>(0, worker.FreeCapacity(now).millicores));
    for (const auto& [task, run] : worker.runs) {
      load.runs.push_back(
          {run.TimeLeft(now), static_cast<double>(run.size.millicores)});
    }
  }
  for (const QueueKey& key : queue_) {
    if (key > KeyOf(job))
      break;
    const Job& ahead = jobs_.at(key.job);
    if (ahead.awaits_exclusive_worker)
      continue;
    const double share = static_cast<double>(ahead.waiting) /
                         static_cast<double>(ahead.tasks.size());
    load.queued_work += ahead.estimate.work * share;
    load.queued_demand += ahead.estimate.peak_demand * share;
  }
  return load;
}

}  // namespace mustardbank
