// Jobs of LeaseDispatcher: arrival, queueing, task starts and results.
// Admission is in lease_dispatcher_admission.cc.
#include <algorithm>
#include <cmath>
#include <utility>

#include "LibLease/lease_dispatcher.h"
#include "LibLease/placement.h"
#include "LibSchedule/placement_choice.h"

namespace mustardbank {

namespace {

// The share of a queue's limit of crashes for tasks that probably crash their
// worker again. The rest is for tasks that are not suspected yet.
constexpr double kTrialShare = 0.5;

// Tasks that wait are tried again at least this often.
constexpr Duration kScheduleInterval = std::chrono::milliseconds(20);

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
        places.push_back({.free_after = run.TimeLeft(now),
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
                       .incarnation = worker.incarnation,
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
      counters_.CountOverShare(job.request.policy.name);
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
