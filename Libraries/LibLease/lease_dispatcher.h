// Dispatches jobs to the workers that this VM owns: admits jobs, queues and
// places their tasks, and renews the leases of the workers. It does no I/O:
// events are calls with the current time, and the caller takes and carries out
// the resulting actions after each batch of events.
//
// A task has at most one live run. It is started again only once its previous
// run is known to have ended: a report lists its end, a report shows that the
// worker does not have it, its lease has lapsed, or its worker was replaced by
// a new incarnation.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibCore/event_log.h"
#include "LibLease/answer_timeout.h"
#include "LibLease/commands.h"
#include "LibLease/lease_counters.h"
#include "LibLease/lease_timing.h"
#include "LibLease/leased_worker.h"
#include "LibSchedule/admission.h"
#include "LibSchedule/caller_timeouts.h"
#include "LibSchedule/duration_estimator.h"
#include "LibSchedule/learned_queues.h"
#include "LibSchedule/owner_load.h"
#include "LibSchedule/queue_shares.h"

namespace mustardbank {

class LeaseDispatcher {
 public:
  LeaseDispatcher(LeaseTiming timing, EventLog& log)
      : timing_(timing),
        log_(log),
        answer_timeout_(timing.least_command_timeout, timing.command_timeout) {}

  // Workers. A worker whose token or address changes is verified again.
  void Own(const WorkerEntry& entry, std::uint64_t fencing_token, Time now);
  // The worker's registration was removed: starts no more tasks there and drops
  // the worker once it is idle or its leases have lapsed.
  void Unlist(const std::string& worker, Time now);
  // Starts no more tasks on the worker, so that it can be handed over.
  void Release(const std::string& worker);
  // Another VM owns the worker now.
  void Disown(const std::string& worker, Time now);

  // Jobs.
  void Submit(JobRequest job, Time now);
  void Cancel(const std::string& job, JobCause cause, Time now);
  // Cancels all jobs whose home, the entry VM that answers the caller, is
  // unreachable.
  void CancelJobsOf(const std::string& home, Time now);
  // Refuses jobs without a started task, so that their homes can try another
  // owner.
  void RefuseQueued(JobCause cause, Time now);
  // Cancels all jobs with waiting tasks, whether other tasks were started or
  // not.
  void CancelQueued(JobCause cause, Time now);
  bool HasJob(const std::string& job) const { return jobs_.contains(job); }

  // Answers of workers.
  void DidRenew(const RenewCommand& command,
                CommandAnswer answer,
                const RenewReport& report,
                Time now);
  // `clock_ms` is the worker's clock, or 0 if the answer does not carry it.
  void DidStart(const StartCommand& command,
                CommandAnswer answer,
                std::int64_t clock_ms,
                Time now);
  void DidStop(const StopCommand& command, CommandAnswer answer, Time now);

  void Tick(Time now);

  // Places all waiting tasks that fit and returns the actions since the last
  // call.
  std::vector<LeaseAction> TakeActions(Time now);
  // Returns the workers that refused a command as fenced since the last call.
  std::vector<std::string> TakeFenced();

  const std::map<std::string, LeasedWorker>& workers() const {
    return workers_;
  }
  std::set<std::string> Homes() const;
  std::size_t job_count() const { return jobs_.size(); }
  std::size_t queued_jobs() const { return queue_.size(); }
  OwnerLoad Load(Time now) const;
  const LeaseCounters& counters() const { return counters_; }

  // What the jobs so far have shown about their queues.
  LearnedQueues Learned() const;
  // Takes over what another process learned about queues of which this one
  // knows less.
  void Recall(const LearnedQueues& queues, Time now);

  // Load tests compare outcomes with and without the shares of queues.
  void set_limits_queues_for_testing(bool limits_queues) {
    limits_queues_ = limits_queues;
  }

 private:
  enum class TaskState { kWaiting, kLive, kDone };

  struct Task {
    std::size_t group = 0;
    TaskState state = TaskState::kWaiting;
    std::uint32_t next_run = 1;
    std::uint32_t failures = 0;
    std::uint32_t restarts = 0;
    std::string avoided;  // worker of the last run that did not succeed
    // Projected duration of the last run that was stopped as a straggler. If a
    // run on another worker is as slow, the task itself is long.
    Duration projected{};
    // A run from an earlier submission of the job may not have ended yet.
    bool is_blocked = false;
  };

  struct Job {
    JobRequest request;
    std::shared_ptr<const std::string> payload;
    JobEstimate estimate;
    std::vector<Duration> run_times;        // expected, by group
    std::vector<std::uint32_t> unfinished;  // tasks not done, by group
    std::vector<Task> tasks;
    std::size_t waiting = 0;
    std::size_t done = 0;
    bool was_started = false;  // a start command was issued
    bool is_late = false;      // could not meet its objective on arrival
    bool is_held = false;  // waits as it must leave capacity to other queues
  };

  // Late jobs come after all others.
  struct QueueKey {
    bool is_late = false;
    Time latest_start;
    std::string job;

    auto operator<=>(const QueueKey&) const = default;
  };

  // Queue.
  void Estimate(Job& job, Time now);
  std::optional<JobResult> CheckAdmission(const Job& job, Time now);
  std::optional<JobResult> CheckShare(const Job& job,
                                      AdmissionLoad load,
                                      Time latest_end,
                                      Time now);
  bool MustLeaveCapacity(const Job& job, const QueueUses& running) const;
  // Millicores that run, by queue. Runs whose job has ended have none.
  QueueUses RunningByQueue() const;
  double UsableCapacity() const;
  static Time LatestStartOf(const Job& job);
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
  void Requeue(Job& job, std::size_t index);
  QueueKey KeyOf(const Job& job) const {
    return {job.is_late, job.estimate.latest_start, job.request.id};
  }

  // Workers.
  void SetPhase(LeasedWorker& worker, WorkerPhase phase, Time now);
  void ReadReport(LeasedWorker& worker,
                  const RenewCommand& command,
                  const RenewReport& report,
                  Time now);
  void EndAllRuns(LeasedWorker& worker, RunEnd end, Time now);
  // Ends all runs, since their lease has lapsed. Keeps the capacity of those
  // that may still start.
  void LapseAllRuns(LeasedWorker& worker, Time now);
  void SettleStarts(LeasedWorker& worker, Time now);
  void Unblock(const LeasedRun& run);
  void EndRun(LeasedWorker& worker,
              const std::string& task,
              RunEnd end,
              Time now);
  void ExcludeWorker(LeasedWorker& worker, Time now);
  void StopRun(LeasedWorker& worker, LeasedRun& run, Time now);
  void StopMissingStarts(LeasedWorker& worker, std::uint64_t renewal, Time now);
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
  CallerTimeouts caller_timeouts_;
  QueueShares shares_;
  bool limits_queues_ = true;
  AnswerTimeout answer_timeout_;  // of starts and stops
  std::vector<LeaseAction> actions_;
  std::vector<std::string> fenced_;
  LeaseCounters counters_;
  bool schedule_due_ = false;
};

}  // namespace mustardbank
