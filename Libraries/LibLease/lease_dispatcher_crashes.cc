// Lost workers of LeaseDispatcher: which tasks crash them, and where such tasks
// are tried again.
#include <algorithm>
#include <string>
#include <utility>

#include "LibLease/lease_dispatcher.h"
#include "LibLease/placement.h"

namespace mustardbank {

namespace {

// Of the names of tasks in one line of the log.
constexpr std::size_t kMostLoggedTaskBytes = 200;
// One in this many usable workers may be kept for a single suspected task.
constexpr std::size_t kWorkersPerExclusiveTask = 4;
// Of all workers, that a queue may lose however great the load is.
constexpr double kLeastCrashShare = 1.0 / 8;
// Of other queues, in shares of all workers, that is worth protecting.
constexpr double kLeastDemand = 0.01;

}  // namespace

void LeaseDispatcher::DidLoseWorker(LeasedWorker& worker,
                                    LossEvidence evidence,
                                    Time now) {
  const bool is_certain = evidence == LossEvidence::kReplaced ||
                          evidence == LossEvidence::kRestarted ||
                          HasCrashed(worker);
  RecordLoss(worker, is_certain, now);
  if (worker.runs.empty())
    return;
  ++counters_.workers_lost[static_cast<std::size_t>(evidence)];
  counters_.runs_lost += worker.runs.size();
  std::string tasks;
  for (const auto& [task, run] : worker.runs) {
    if (const auto job = jobs_.find(run.job); job != jobs_.end())
      ++job->second.tasks[run.task].lost_workers;
    if (tasks.size() < kMostLoggedTaskBytes)
      tasks += (tasks.empty() ? "" : " ") + task;
  }
  log_.Write(LogEvent::kWorkerLost, now, LogBudget::kState)
      .Add(LogField::kWorker, worker.entry.id)
      .Add(LogField::kCause, kLossEvidenceNames[evidence])
      .Add(LogField::kAgeMs, now - worker.answered_at)
      .Add(LogField::kCount, worker.runs.size())
      .Add(LogField::kReason, tasks);
}

// A partition that resets connections looks the same, but for all workers of
// the data centre.
bool LeaseDispatcher::HasCrashed(const LeasedWorker& worker) const {
  return worker.phase == WorkerPhase::kDown &&
         std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
           const LeasedWorker& other = entry.second;
           return other.entry.data_center == worker.entry.data_center &&
                  other.phase == WorkerPhase::kHeld &&
                  other.answered_at > worker.down_since;
         });
}

void LeaseDispatcher::RecordLoss(LeasedWorker& worker,
                                 bool is_certain,
                                 Time now) {
  const IncarnationId incarnation = worker.IncarnationKey();
  if (worker.lost == incarnation) {
    if (is_certain)
      crashes_.Confirm(incarnation);
    return;
  }
  CrashHistory::Crash crash{.incarnation = incarnation,
                            .is_certain = is_certain};
  for (const auto& [task, run] : worker.runs)
    crash.runs.push_back({.task = task, .started = run.started});
  for (const auto& [task, start] : worker.unsettled_starts)
    crash.runs.push_back({.task = task, .started = start.started});
  // Of a former owner, so older than all others.
  for (const std::string& task : worker.foreign_tasks)
    crash.runs.push_back({.task = task, .started = Time::min()});
  if (crash.runs.empty())
    return;
  worker.lost = incarnation;
  const std::vector<std::string> blamed = crashes_.DidCrash(crash, now);
  if (is_certain)
    CountCrash(worker, blamed, now);
  for (const std::string& task : blamed) {
    ReleaseWorker(task);
    const auto verdict = crashes_.VerdictOf(task);
    log_.Write(LogEvent::kTaskBlamed, now, LogBudget::kState)
        .Add(LogField::kTask, task)
        .Add(LogField::kWorker, worker.entry.id)
        .Add(LogField::kCause, kCrashVerdictNames[verdict])
        .Add(LogField::kLostWorkers, crashes_.CrashesOf(task))
        .Add(LogField::kCount, crash.runs.size());
  }
}

void LeaseDispatcher::RecordCrashes(Time now) {
  for (auto& [id, worker] : workers_) {
    if (worker.phase == WorkerPhase::kDown && !worker.IsIdle() &&
        worker.lost != worker.IncarnationKey() && HasCrashed(worker))
      RecordLoss(worker, /*is_certain=*/true, now);
  }
}

void LeaseDispatcher::DidEndByItself(const LeasedRun& run, Time now) {
  if (crashes_.VerdictOf(run.id.task) != CrashHistory::Verdict::kClear) {
    ++counters_.exclusive_starts_ended;
    crash_limits_.DidTry(run.queue, /*has_crashed=*/false, now);
  }
  crashes_.DidEnd(run.id.task);
}

void LeaseDispatcher::CountCrash(const LeasedWorker& worker,
                                 const std::vector<std::string>& blamed,
                                 Time now) {
  for (const std::string& task : blamed) {
    const auto run = worker.runs.find(task);
    if (run == worker.runs.end())
      continue;
    const std::string& queue = run->second.queue;
    crash_limits_.DidCrash(queue, worker.entry.id,
                           1.0 / static_cast<double>(blamed.size()), now);
    if (crashes_.CrashesOf(task) > 1)
      crash_limits_.DidTry(queue, /*has_crashed=*/true, now);
  }
}

double LeaseDispatcher::CrashLimitOf(const std::string& queue, Time now) const {
  double workers = crash_limits_.Lost(now);
  for (const auto& [id, worker] : workers_)
    workers += worker.phase == WorkerPhase::kHeld ? 1 : 0;
  double own = 0;  // shares of all workers
  double others = 0;
  for (const auto& [name, demand] : shares_.Learned())
    (name == queue ? own : others) += demand.load;
  if (others < kLeastDemand)
    return workers;
  // The queue itself is served less while it is limited.
  return workers * std::max(kLeastCrashShare, kPackedShare - others - own / 2);
}

Time LeaseDispatcher::EarliestRisk(const std::string& queue,
                                   double share,
                                   Time now) const {
  if (!crash_limits_.IsBlamed(queue, now))
    return now;
  return crash_limits_.EarliestRisk(queue, share * CrashLimitOf(queue, now),
                                    now);
}

LeasedWorker* LeaseDispatcher::ReserveWorker(const std::string& task,
                                             const PlacementQuery& query,
                                             Time now) {
  if (const auto it = reserved_workers_.find(task);
      it != reserved_workers_.end()) {
    const auto worker = workers_.find(it->second);
    if (worker != workers_.end() && worker->second.reserved_for == task &&
        worker->second.IsAvailable(timing_, now, query.is_job_started))
      return &worker->second;
    ReleaseWorker(task);
  }
  const auto usable = static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.second.IsAvailable(timing_, now, false);
      }));
  if (reserved_workers_.size() >=
      std::max<std::size_t>(1, usable / kWorkersPerExclusiveTask))
    return nullptr;
  LeasedWorker* worker = ChooseExclusiveWorker(workers_, query, now);
  if (!worker)
    return nullptr;
  worker->reserved_for = task;
  reserved_workers_[task] = worker->entry.id;
  return worker;
}

void LeaseDispatcher::ReleaseWorker(const std::string& task) {
  const auto it = reserved_workers_.find(task);
  if (it == reserved_workers_.end())
    return;
  const auto worker = workers_.find(it->second);
  if (worker != workers_.end() && worker->second.reserved_for == task)
    worker->second.reserved_for.clear();
  reserved_workers_.erase(it);
  schedule_due_ = true;
}

void LeaseDispatcher::ReleaseUnneededWorkers() {
  std::vector<std::string> released;
  for (const auto& [task, worker] : reserved_workers_) {
    const auto job = jobs_.find(std::string(JobOf(task)));
    const auto it = workers_.find(worker);
    const bool runs = it != workers_.end() && it->second.runs.contains(task);
    if (!runs && (job == jobs_.end() || job->second.waiting == 0 ||
                  crashes_.VerdictOf(task) != CrashHistory::Verdict::kSuspect))
      released.push_back(task);
  }
  for (const std::string& task : released)
    ReleaseWorker(task);
}

}  // namespace mustardbank
