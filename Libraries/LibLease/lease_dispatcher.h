// The owner of some workers: admits jobs, queues and places their tasks, and
// holds the workers under leases. No input or output: events are calls with
// the present time, and actions are taken out after each batch.
//
// A task has at most one live run. A further run follows only once the former
// is known to have ended: its end is listed, a report settles that it is not
// there, its lease has lapsed, or the life of its worker is over.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibCore/event_log.h"
#include "LibLease/admission.h"
#include "LibLease/commands.h"
#include "LibLease/duration_estimator.h"
#include "LibLease/lease_counters.h"
#include "LibLease/lease_timing.h"
#include "LibLease/leased_worker.h"

namespace mustardbank {

// What other VMs are told of an owner's load.
struct OwnerLoad {
  std::int64_t free_millicores = 0;
  std::int64_t capacity_millicores = 0;
  std::int64_t queued_millicores = 0;  // of tasks that wait
};

class LeaseDispatcher {
 public:
  LeaseDispatcher(LeaseTiming timing, EventLog& log)
      : timing_(timing), log_(log) {}

  // Workers. A worker whose token rises, or whose address changes, is
  // verified anew.
  void Own(const WorkerEntry& entry, std::uint64_t fencing_token, Time now);
  // The registration is gone: no new starts; forgotten once it is idle.
  void Unlist(const std::string& worker, Time now);
  // Stops starting tasks there, for a hand-over.
  void Release(const std::string& worker);
  // Another VM owns the worker now.
  void Disown(const std::string& worker, Time now);

  // Jobs.
  void Submit(JobRequest job, Time now);
  void Cancel(const std::string& job, JobCause cause, Time now);
  // Cancels all jobs of a home that does not answer for them any more.
  void CancelJobsOf(const std::string& home, Time now);
  // Refuses jobs of which no task was started, so that they go elsewhere.
  void RefuseQueued(JobCause cause, Time now);
  // Ends all jobs with tasks that wait, started or not.
  void CancelQueued(JobCause cause, Time now);
  bool HasJob(const std::string& job) const { return jobs_.contains(job); }

  // Answers of workers.
  void DidRenew(const RenewCommand& command,
                CommandAnswer answer,
                const RenewReport& report,
                Time now);
  // `clock_ms` is 0 if the answer has none.
  void DidStart(const StartCommand& command,
                CommandAnswer answer,
                std::int64_t clock_ms,
                Time now);
  void DidStop(const StopCommand& command, CommandAnswer answer, Time now);

  void Tick(Time now);

  // Places what can be placed, and hands out all actions since the last call.
  std::vector<LeaseAction> TakeActions(Time now);
  // Workers that refused an order as fenced since the last call.
  std::vector<std::string> TakeFenced();

  const std::map<std::string, LeasedWorker>& workers() const {
    return workers_;
  }
  std::set<std::string> Homes() const;
  std::size_t job_count() const { return jobs_.size(); }
  std::size_t queued_jobs() const { return queue_.size(); }
  OwnerLoad Load(Time now) const;
  const LeaseCounters& counters() const { return counters_; }

 private:
  enum class TaskState { kWaiting, kLive, kDone };

  struct Task {
    std::size_t group = 0;
    TaskState state = TaskState::kWaiting;
    std::uint32_t next_run = 1;
    std::uint32_t failures = 0;
    std::uint32_t restarts = 0;
    std::string avoided;  // worker of the last run that failed
    // What a run that was stopped for being slow would have taken. One as slow
    // elsewhere shows that it is the task that is long.
    Duration projected{};
    // A run of it in an earlier try of the job may still be there.
    bool is_blocked = false;
  };

  struct Job {
    JobRequest request;
    std::shared_ptr<const std::string> payload;
    JobEstimate estimate;
    std::vector<Duration> run_times;    // expected, by group
    std::vector<std::uint32_t> undone;  // tasks by group
    std::vector<Task> tasks;
    std::size_t waiting = 0;
    std::size_t done = 0;
    bool was_started = false;  // a start order was made
  };

  using QueueKey = std::pair<Time, std::string>;  // latest start, job

  // Queue.
  std::optional<JobResult> CheckAdmission(const Job& job, Time now);
  bool FitsNow(const Job& job, Time now) const;
  bool CanEverFit(const Job& job) const;
  AdmissionLoad LoadAhead(const Job& job, Time now) const;
  void Schedule(Time now);
  bool StartWaiting(Job& job, Time now);
  void BlockTasksThatRun(Job& job) const;
  bool IsReady(const Job& job, const Task& task) const;
  void StartTask(Job& job, std::size_t index, LeasedWorker& worker, Time now);
  void RefuseOverdue(Time now);
  template <typename Predicate>
  void CancelIf(Predicate predicate, JobCause cause, Time now);
  void FinishIfDone(Job& job, Time now);
  void Finish(const std::string& job, JobResult result, Time now);
  void PutBack(Job& job, std::size_t index);
  QueueKey KeyOf(const Job& job) const {
    return {job.estimate.latest_start, job.request.id};
  }

  // Workers.
  void SetPhase(LeasedWorker& worker, WorkerPhase phase, Time now);
  void ReadReport(LeasedWorker& worker,
                  const RenewCommand& command,
                  const RenewReport& report,
                  Time now);
  void ForgetRuns(LeasedWorker& worker, RunEnd end, Time now);
  void Unblock(const LeasedRun& run);
  void EndRun(LeasedWorker& worker,
              const std::string& task,
              RunEnd end,
              Time now);
  void DidFailOn(LeasedWorker& worker, Time now);
  void StopRun(LeasedWorker& worker, LeasedRun& run, Time now);
  void StopStragglers(LeasedWorker& worker, Time now);
  bool IsStalled(const LeasedRun& run, Time now) const;
  bool IsStraggling(const LeasedRun& run, Time now) const;
  void ProbeNow(LeasedWorker& worker, Time now);
  void SendRenewal(LeasedWorker& worker, Time now);
  bool NeedsRenewal(const LeasedWorker& worker, Time now) const;
  void DidFindFenced(LeasedWorker& worker, Time now);
  void DidFindDown(LeasedWorker& worker, Time now);
  void DidFindReplaced(LeasedWorker& worker, Time now);
  CommandTarget TargetOf(const LeasedWorker& worker) const;

  const LeaseTiming timing_;
  EventLog& log_;
  std::map<std::string, LeasedWorker> workers_;
  std::map<std::string, Job> jobs_;
  std::set<QueueKey> queue_;  // jobs with waiting tasks
  DurationEstimator durations_;
  std::vector<LeaseAction> actions_;
  std::vector<std::string> fenced_;
  LeaseCounters counters_;
  bool schedule_due_ = false;
};

}  // namespace mustardbank
