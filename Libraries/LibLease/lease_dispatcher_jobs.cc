// Jobs of LeaseDispatcher: admission, queueing, task starts and results.
#include <algorithm>
#include <cmath>
#include <utility>

#include "LibLease/lease_dispatcher.h"
#include "LibLease/placement.h"
#include "LibSchedule/placement_choice.h"

namespace mustardbank {

namespace {

// The remaining time of a run that has exceeded its expected time is assumed to
// be the expected time divided by this number.
constexpr int kOverdueRunDivisor = 10;
// Bounds of the retry delay of a refused job, which is the predicted overrun.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(250);
constexpr Duration kMostRetryAfter = std::chrono::seconds(5);
// Share of the capacity that must stay free if a job is run although its answer
// is of little use: other jobs may arrive during the run.
constexpr double kAmpleShare = 0.5;
// While no worker can be used, for lack of answers or after failures. Most of
// them are tried again within this time.
constexpr Duration kNoWorkerRetryAfter = std::chrono::seconds(1);

// Of that limit, for tasks that probably crash their worker again. The rest is
// for tasks that are not suspected yet.
constexpr double kTrialShare = 0.5;

// Tasks that wait are tried again at least this often.
constexpr Duration kScheduleInterval = std::chrono::milliseconds(20);

// Labels of a metric are kept for the life of the process; queues beyond
// this number share one.
constexpr std::size_t kMostQueueLabels = 32;
constexpr const char* kOtherQueues = "other";

void CountOverShare(LeaseCounters& counters, const std::string& queue) {
  auto& counts = counters.over_share;
  const bool has_label =
      counts.contains(queue) || counts.size() < kMostQueueLabels;
  ++counts[has_label ? queue : kOtherQueues];
}

// Whether the worker's capacity counts for admission.
bool IsUsable(const LeasedWorker& worker) {
  return worker.phase == WorkerPhase::kHeld && !worker.entry.leaving &&
         !worker.releasing && !worker.is_evacuated &&
         worker.outcome_health.strikes() <= 1;
}

// A run past its expected time still needs some more.
Duration TimeLeft(const LeasedRun& run, Time now) {
  return std::max(run.expected / kOverdueRunDivisor,
                  run.expected - (now - run.started));
}

}  // namespace

void LeaseDispatcher::Submit(JobRequest request, Time now) {
  const std::string id = request.id;
  if (const auto it = jobs_.find(id); it != jobs_.end()) {
    // The caller submitted the job again. If it came through another home, that
    // one answers the caller from now on.
    Job& job = it->second;
    job.request.deadline = request.deadline;
    if (job.request.home == request.home)
      return;
    actions_.emplace_back(
        FinishJob{.job = id,
                  .home = std::exchange(job.request.home, request.home),
                  .result = {JobOutcome::kGivenUp, JobCause::kCancelled, {}}});
    return;
  }
  Job job{.request = std::move(request)};
  job.payload =
      std::make_shared<const std::string>(std::move(job.request.payload));
  for (std::size_t group = 0; group < job.request.groups.size(); ++group) {
    const TaskGroup& tasks = job.request.groups[group];
    job.run_times.push_back(
        durations_.Expect(job.request.policy.name, tasks.declared_run_time));
    job.unfinished.push_back(tasks.count);
    job.tasks.insert(job.tasks.end(), tasks.count, Task{.group = group});
  }
  job.chains_after = ChainsAfter(job.request, job.run_times);
  job.waiting = job.tasks.size();
  const bool has_cause = HasCause(job);
  BlockTasksThatRun(job);
  Estimate(job, now);
  shares_.DidArrive(job.request, job.estimate, UsableCapacity(now), now);
  const std::optional<JobResult> refusal =
      has_cause ? JobResult{.outcome = JobOutcome::kFailed,
                            .cause = JobCause::kCrashesWorkers}
                : CheckAdmission(job, now);
  Job& added = jobs_.emplace(id, std::move(job)).first->second;
  if (refusal) {
    Finish(id, *refusal, now);
    return;
  }
  log_.Write(LogEvent::kJobAdmitted, now)
      .Add(LogField::kJob, id)
      .Add(LogField::kQueue, added.request.policy.name)
      .Add(LogField::kHome, added.request.home)
      .Add(LogField::kTasks, added.tasks.size())
      .Add(LogField::kExpectedMs, added.estimate.longest_chain)
      .Add(LogField::kLeftMs, added.request.deadline - now)
      .Add(LogField::kWaitedMs, added.request.age)
      .Add(LogField::kQueued, queue_.size());
  queue_.insert(KeyOf(added));
  schedule_due_ = true;
}

// Estimates the job, and from its timeout whether its caller has already
// waited.
void LeaseDispatcher::Estimate(Job& job, Time now) {
  job.estimate = EstimateJob(job.request, job.run_times);
  const std::string& queue = job.request.policy.name;
  const Duration timeout = job.request.deadline - job.request.arrived;
  job.request.age =
      caller_timeouts_.AgeOf(queue, job.estimate.longest_chain, timeout);
  caller_timeouts_.DidArrive(queue, job.estimate.longest_chain, timeout);
  if (job.request.age.count() > 0)
    job.estimate = EstimateJob(job.request, job.run_times);
  job.is_late = now > job.estimate.latest_start;
}

Time LeaseDispatcher::LatestStartOf(const Job& job) {
  return job.is_late ? job.estimate.latest_useful_start
                     : job.estimate.latest_start;
}

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
  CountOverShare(counters_, job.request.policy.name);
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
    if (IsUsable(worker))
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
    if (!IsUsable(worker))
      continue;
    load.capacity += static_cast<double>(worker.Capacity(now).millicores);
    // A cold worker gets no second task.
    if (worker.runs.empty() || !worker.IsCold(now))
      load.free += static_cast<double>(
          std::max<std::int64_t>(0, worker.FreeCapacity(now).millicores));
    for (const auto& [task, run] : worker.runs) {
      load.runs.push_back(
          {TimeLeft(run, now), static_cast<double>(run.size.millicores)});
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

// Blocks the tasks that still have a run from an earlier submission of the job.
// That run was told to stop, but is not known to have ended.
void LeaseDispatcher::BlockTasksThatRun(Job& job) const {
  for (const auto& [id, worker] : workers_) {
    for (const auto& [name, run] : worker.runs) {
      if (!run.job.empty() || JobOf(name) != job.request.id ||
          run.task >= job.tasks.size())
        continue;
      Task& task = job.tasks[run.task];
      task.is_blocked = true;
      task.next_run = std::max(task.next_run, run.id.number + 1);
    }
  }
}

bool LeaseDispatcher::IsReady(const Job& job, const Task& task) const {
  const TaskGroup& group = job.request.groups[task.group];
  return task.state == TaskState::kWaiting && !task.is_blocked &&
         std::all_of(group.after.begin(), group.after.end(),
                     [&](std::uint32_t g) { return job.unfinished[g] == 0; });
}

void LeaseDispatcher::Schedule(Time now) {
  if (are_starts_held_)
    return;
  schedule_due_ = false;
  ReleaseUnneededWorkers();
  blamed_queues_ = crash_limits_.Blamed(now);
  std::vector<QueueKey> emptied;
  std::vector<std::string> out_of_time;
  std::vector<std::string> crashing;
  std::optional<QueueUses> running;  // empty after a change
  for (const QueueKey& key : queue_) {
    Job& job = jobs_.at(key.job);
    if (limits_queues_) {
      if (!running)
        running = RunningByQueue();
      job.is_held = MustLeaveCapacity(job, *running, now);
      if (job.is_held)
        continue;
    }
    const std::size_t waiting = job.waiting;
    const bool is_waiting = StartWaiting(job, now);
    if (job.waiting < waiting)
      running.reset();
    if (!is_waiting)
      emptied.push_back(key);
    if (job.is_out_of_time)
      out_of_time.push_back(key.job);
    if (job.has_cause)
      crashing.push_back(key.job);
  }
  for (const QueueKey& key : emptied)
    queue_.erase(key);
  for (const std::string& job : out_of_time)
    Cancel(job, JobCause::kRunsLost, now);
  for (const std::string& job : crashing)
    Finish(job,
           {.outcome = JobOutcome::kFailed, .cause = JobCause::kCrashesWorkers},
           now);
}

// Returns whether tasks are still waiting.
bool LeaseDispatcher::StartWaiting(Job& job, Time now) {
  job.awaits_exclusive_worker = false;
  for (std::size_t i = 0; i < job.tasks.size() && job.waiting > 0; ++i) {
    const Task& task = job.tasks[i];
    if (!IsReady(job, task))
      continue;
    const TaskGroup& group = job.request.groups[task.group];
    const PlacementQuery query{
        .group = group,
        .service = job.request.policy.service,
        .job = job.request.id,
        .avoided = task.avoided,
        .timing = timing_,
        .speeds = speeds_,
        .run_time = LongestRun(job.run_times[task.group], group.count),
        .latest_run_time = LatestRunTime(job, task.group, now),
        .blamed_queues = &blamed_queues_,
        .queue = &job.request.policy.name,
        .is_job_started = job.was_started};
    const auto verdict = crashes_.empty()
                             ? CrashHistory::Verdict::kClear
                             : crashes_.VerdictOf(TaskNameOf(job, i));
    job.has_cause = verdict == CrashHistory::Verdict::kCause;
    if (job.has_cause)
      break;
    if (verdict == CrashHistory::Verdict::kSuspect) {
      job.is_out_of_time = !StartExclusively(job, i, query, now);
      if (job.is_out_of_time)
        break;
      continue;
    }
    LeasedWorker* worker = ChooseWorker(workers_, query, now);
    // The job's other tasks would wait as well. Judging each of them is too
    // dear for owners with a tenth of a core.
    if (!worker || IsWorthWaiting(job, task, *worker, now)) {
      job.awaits_exclusive_worker = false;
      break;
    }
    StartTask(job, i, *worker, now);
  }
  return job.waiting > 0;
}

bool LeaseDispatcher::StartExclusively(Job& job,
                                       std::size_t index,
                                       const PlacementQuery& query,
                                       Time now) {
  const Time earliest = EarliestRisk(job.request.policy.name, kTrialShare, now);
  if (earliest > now) {
    job.awaits_exclusive_worker = true;
    return earliest + query.run_time < job.request.deadline;
  }
  LeasedWorker* worker = ReserveWorker(TaskNameOf(job, index), query, now);
  if (worker && worker->IsIdle() && worker->unsettled_starts.empty()) {
    ++counters_.exclusive_starts;
    StartTask(job, index, *worker, now);
    return true;
  }
  job.awaits_exclusive_worker = true;
  return now + query.run_time < job.request.deadline;
}

std::string LeaseDispatcher::TaskNameOf(const Job& job, std::size_t index) {
  // The tasks of each group are numbered from zero.
  const std::size_t group = job.tasks[index].group;
  std::size_t first = 0;
  for (std::size_t g = 0; g < group; ++g)
    first += job.request.groups[g].count;
  return job.request.id + ".0." + std::to_string(group) + '.' +
         std::to_string(index - first);
}

bool LeaseDispatcher::HasCause(const Job& job) const {
  if (crashes_.empty())
    return false;
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (crashes_.VerdictOf(TaskNameOf(job, i)) == CrashHistory::Verdict::kCause)
      return true;
  }
  return false;
}

bool LeaseDispatcher::IsWorthWaiting(const Job& job,
                                     const Task& task,
                                     const LeasedWorker& here,
                                     Time now) const {
  // A job without a started task would be refused soon.
  if (!job.was_started && now + kScheduleInterval >= LatestStartOf(job))
    return false;
  const TaskGroup& group = job.request.groups[task.group];
  const double run_ms =
      ToMilliseconds(LongestRun(job.run_times[task.group], group.count));
  const double factor = speeds_.SpeedOf(here.entry.id).factor();
  const Duration run_time = FromMilliseconds(run_ms * factor);
  const Duration latest = LatestRunTime(job, task.group, now);
  if (!IsLate(run_time, latest))
    return false;
  std::vector<BusyPlace> places;
  for (const auto& [id, worker] : workers_) {
    const double factor_there = speeds_.SpeedOf(id).factor();
    if (factor_there >= factor || !worker.CanStart(timing_, now) ||
        worker.entry.service != here.entry.service || id == task.avoided)
      continue;
    const Resources free_capacity = worker.FreeCapacity(now);
    for (const auto& [name, run] : worker.runs) {
      Resources freed = free_capacity;
      freed += run.size;
      if (group.each.FitsIn(freed))
        places.push_back({.free_after = TimeLeft(run, now),
                          .run_time = FromMilliseconds(run_ms * factor_there)});
    }
  }
  return EndsSoonerByWaiting(places, run_time, latest);
}

std::int64_t LeaseDispatcher::FactorPercent(const LeasedWorker& worker) const {
  return std::lround(100 * speeds_.SpeedOf(worker.entry.id).factor());
}

Duration LeaseDispatcher::LatestRunTime(const Job& job,
                                        std::size_t group,
                                        Time now) {
  return job.estimate.latest_start + job.estimate.longest_chain -
         job.chains_after[group] - now;
}

void LeaseDispatcher::StartTask(Job& job,
                                std::size_t index,
                                LeasedWorker& worker,
                                Time now) {
  Task& task = job.tasks[index];
  const TaskGroup& group = job.request.groups[task.group];
  RunId run{.task = TaskNameOf(job, index), .number = task.next_run++};
  task.state = TaskState::kLive;
  if (!job.was_started)
    counters_.queue_time.Observe(now - job.request.arrived);
  job.was_started = true;
  --job.waiting;
  log_.Write(LogEvent::kTaskStarted, now)
      .Add(LogField::kJob, job.request.id)
      .Add(LogField::kTask, run.task)
      .Add(LogField::kRun, run.number)
      .Add(LogField::kWorker, worker.entry.id)
      .Add(LogField::kToken, worker.fencing_token)
      .Add(LogField::kRoom, worker.FreeCapacity(now).millicores)
      .Add(LogField::kSize, group.each.millicores)
      .Add(LogField::kAgeMs, now - worker.answered_at)
      .Add(LogField::kFactorPercent, FactorPercent(worker))
      .Add(LogField::kLostWorkers, task.lost_workers);
  if (task.lost_workers > 0)
    ++counters_.starts_after_loss;
  const double factor = speeds_.SpeedOf(worker.entry.id).factor();
  if (IsLate(FromMilliseconds(factor *
                              ToMilliseconds(LongestRun(
                                  job.run_times[task.group], group.count))),
             LatestRunTime(job, task.group, now)))
    ++counters_.late_starts;
  StartCommand command{.target = TargetOf(worker),
                       .run = run,
                       .payload = job.payload,
                       .lease_until_ms = worker.GrantLease(timing_, now),
                       .send_before = now + timing_.command_timeout,
                       .timeout = answer_timeout_.Timeout()};
  worker.runs.emplace(
      run.task, LeasedRun{.id = run,
                          .job = job.request.id,
                          .queue = job.request.policy.name,
                          .task = index,
                          .size = group.each,
                          .started = now,
                          .expected = FromMilliseconds(
                              ToMilliseconds(std::max(job.run_times[task.group],
                                                      task.projected)) *
                              factor),
                          .progressed = now});
  actions_.emplace_back(std::move(command));
  // Sends a renewal unless one is already waiting at the worker: the waiting
  // renewal reports the end of the run.
  worker.next_renewal_at = now;
  if (NeedsRenewal(worker, now))
    SendRenewal(worker, now);
}

void LeaseDispatcher::RefuseOverdue(Time now) {
  std::vector<std::string> overdue;
  std::vector<std::string> expired;
  for (const auto& [id, job] : jobs_) {
    if (now >= job.request.deadline)
      expired.push_back(id);
    else if (!job.was_started && now > LatestStartOf(job))
      overdue.push_back(id);
  }
  for (const std::string& id : expired) {
    const bool ran = jobs_.at(id).was_started;
    Finish(id,
           {.outcome = ran ? JobOutcome::kGivenUp : JobOutcome::kRefused,
            .cause = JobCause::kDeadline,
            .retry_after = kLeastRetryAfter},
           now);
  }
  for (const std::string& id : overdue) {
    const Job& job = jobs_.at(id);
    if (job.is_held)
      CountOverShare(counters_, job.request.policy.name);
    Finish(id,
           {.outcome = JobOutcome::kRefused,
            .cause = JobCause::kWaitedTooLong,
            .retry_after = kLeastRetryAfter},
           now);
  }
}

void LeaseDispatcher::FinishIfDone(Job& job, Time now) {
  if (job.done == job.tasks.size())
    Finish(job.request.id, {.outcome = JobOutcome::kSucceeded}, now);
}

void LeaseDispatcher::Finish(const std::string& id,
                             JobResult result,
                             Time now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end())
    return;
  Job& job = it->second;
  queue_.erase(KeyOf(job));
  ++counters_.jobs[static_cast<std::size_t>(result.outcome)];
  ++counters_.causes[static_cast<std::size_t>(result.cause)];
  log_.Write(result.outcome == JobOutcome::kRefused ? LogEvent::kJobRefused
                                                    : LogEvent::kJobEnded,
             now)
      .Add(LogField::kJob, id)
      .Add(LogField::kQueue, job.request.policy.name)
      .Add(LogField::kHome, job.request.home)
      .Add(LogField::kOutcome, kJobOutcomeNames[result.outcome])
      .Add(LogField::kCause, kJobCauseNames[result.cause])
      .Add(LogField::kElapsedMs, now - job.request.arrived)
      .Add(LogField::kExpectedMs, job.estimate.longest_chain)
      .Add(LogField::kWaitedMs, job.request.age)
      .Add(LogField::kRetryAfterMs, result.retry_after)
      .Add(LogField::kQueued, queue_.size());
  if (job.done + job.waiting < job.tasks.size()) {
    for (auto& [worker_id, worker] : workers_) {
      for (auto& [task, run] : worker.runs) {
        if (run.job != id)
          continue;
        run.job.clear();
        StopRun(worker, run, now);
      }
    }
  }
  actions_.emplace_back(
      FinishJob{.job = id, .home = job.request.home, .result = result});
  jobs_.erase(it);
  schedule_due_ = true;
}

void LeaseDispatcher::Requeue(Job& job, std::size_t index) {
  job.tasks[index].state = TaskState::kWaiting;
  ++job.waiting;
  queue_.insert(KeyOf(job));
  schedule_due_ = true;
}

void LeaseDispatcher::Cancel(const std::string& job, JobCause cause, Time now) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end())
    return;
  Finish(job,
         {.outcome = it->second.was_started ? JobOutcome::kGivenUp
                                            : JobOutcome::kRefused,
          .cause = cause,
          .retry_after = kLeastRetryAfter},
         now);
}

template <typename Predicate>
void LeaseDispatcher::CancelIf(Predicate predicate, JobCause cause, Time now) {
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    if (predicate(job))
      ids.push_back(id);
  }
  for (const std::string& id : ids)
    Cancel(id, cause, now);
}

void LeaseDispatcher::CancelJobsOf(const std::string& home, Time now) {
  CancelIf([&](const Job& job) { return job.request.home == home; },
           JobCause::kHomeSilent, now);
}

void LeaseDispatcher::RefuseQueued(JobCause cause, Time now) {
  CancelIf([](const Job& job) { return !job.was_started; }, cause, now);
}

void LeaseDispatcher::CancelQueued(JobCause cause, Time now) {
  const std::set<QueueKey> queued = queue_;
  for (const QueueKey& key : queued)
    Cancel(key.job, cause, now);
}

LearnedQueues LeaseDispatcher::Learned() const {
  LearnedQueues queues;
  for (const auto& [queue, run_times] : durations_.statistics())
    queues[queue].run_times = run_times;
  for (const auto& [queue, timeouts] : caller_timeouts_.statistics())
    queues[queue].timeouts = timeouts;
  for (const auto& [queue, demand] : shares_.Learned())
    queues[queue].demand = demand;
  return queues;
}

void LeaseDispatcher::Recall(const LearnedQueues& queues, Time now) {
  for (const auto& [queue, statistics] : queues) {
    durations_.Recall(queue, statistics.run_times);
    caller_timeouts_.Recall(queue, statistics.timeouts);
    if (!shares_.Recall(queue, statistics.demand))
      log_.Write(LogEvent::kStoreRowUnreadable, now, LogBudget::kState)
          .Add(LogField::kQueue, queue)
          .Add(LogField::kReason, "demand");
  }
}

std::set<std::string> LeaseDispatcher::Homes() const {
  std::set<std::string> homes;
  for (const auto& [id, job] : jobs_)
    homes.insert(job.request.home);
  return homes;
}

OwnerLoad LeaseDispatcher::Load(Time now) const {
  OwnerLoad load;
  for (const auto& [id, worker] : workers_) {
    if (are_starts_held_ || !worker.CanStart(timing_, now))
      continue;
    load.capacity_millicores += worker.Capacity(now).millicores;
    load.free_millicores +=
        std::max<std::int64_t>(0, worker.FreeCapacity(now).millicores);
  }
  for (const QueueKey& key : queue_) {
    const Job& job = jobs_.at(key.job);
    load.queued_millicores += static_cast<std::int64_t>(job.waiting) *
                              job.request.groups.front().each.millicores;
  }
  return load;
}

std::vector<LeaseAction> LeaseDispatcher::TakeActions(Time now) {
  if (schedule_due_)
    Schedule(now);
  return std::exchange(actions_, {});
}

}  // namespace mustardbank
