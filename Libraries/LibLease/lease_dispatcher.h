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
#include "LibSchedule/crash_history.h"
#include "LibSchedule/crash_limits.h"
#include "LibSchedule/duration_estimator.h"
#include "LibSchedule/learned_queues.h"
#include "LibSchedule/owner_load.h"
#include "LibSchedule/queue_shares.h"
#include "LibSchedule/worker_speeds.h"

namespace mustardbank {

struct PlacementQuery;

class LeaseDispatcher {
 public:
  LeaseDispatcher(LeaseTiming timing, EventLog& log)
      : timing_(timing),
        log_(log),
        unconfirmed_capacity_(timing.capacity),
        answer_timeout_(timing.least_command_timeout, timing.command_timeout) {}

  // From now on. Leases granted before end as they were granted.
  void SetTiming(const LeaseTiming& timing) {
    timing_ = timing;
    unconfirmed_capacity_.SetConfirmation(timing.capacity);
  }

  // Workers. A worker whose token or address changes is verified again. A
  // registration that is older than the one known, by the worker's own clock,
  // only lowers its capacity.
  void Own(const WorkerEntry& listed, std::uint64_t fencing_token, Time now);
  // An owned worker has registered again, without a change.
  void Confirm(const WorkerEntry& entry, Time now);
  // The worker's registration was removed: starts no more tasks there and drops
  // the worker once it is idle or its leases have lapsed.
  void Unlist(const std::string& worker, Time now);
  // Starts no more tasks on the worker, so that it can be handed over.
  void Release(const std::string& worker);
  // Another VM owns the worker now.
  void Disown(const std::string& worker, Time now);
  // Starts no more tasks on the workers of these data centres, and refuses
  // queued jobs that only they could serve. Jobs that have started may start
  // their remaining tasks there until the time given.
  void SetEvacuated(std::map<std::string, Time> last_starts_until, Time now);
  // While starts are held, jobs are admitted and queued as usual, but no task
  // is started and no capacity reported.
  void HoldStarts(bool is_held);
  bool are_starts_held() const { return are_starts_held_; }
  // Whether a start command issued before may still be sent to the worker.
  bool MaySend(const StartCommand& command, Time now) const;

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
  // Workers whose capacity may have changed since they registered.
  std::size_t UnconfirmedWorkers(Time now) const;
  // Workers that have restarted and whose registration is not known yet.
  std::size_t UnregisteredWorkers() const;
  // The ids of those whose registration should be looked up now, each at
  // intervals that grow.
  std::vector<std::string> TakeLookups(Time now);
  const LeaseCounters& counters() const { return counters_; }
  const WorkerSpeeds& speeds() const { return speeds_; }
  CrashHistory& crashes() { return crashes_; }
  const CrashHistory& crashes() const { return crashes_; }

  // What the runs so far have shown about classes of workers.
  LearnedClasses LearnedWorkers() const { return speeds_.Learned(); }
  void Recall(const LearnedClasses& classes) { speeds_.Recall(classes); }

  // What the jobs so far have shown about their queues.
  LearnedQueues Learned() const;
  // Takes over what another process learned about queues of which this one
  // knows less.
  void Recall(const LearnedQueues& queues, Time now);

  // Whether a burst of one queue must leave other queues their shares.
  void set_limits_queues(bool limits_queues) { limits_queues_ = limits_queues; }

 private:
  // Bounds of the retry delay of a refused job, which is the predicted overrun.
  static constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(250);
  static constexpr Duration kMostRetryAfter = std::chrono::seconds(5);

  enum class TaskState { kWaiting, kLive, kDone };

  struct Task {
    std::size_t group = 0;
    TaskState state = TaskState::kWaiting;
    std::uint32_t next_run = 1;
    std::uint32_t failures = 0;
    std::uint32_t restarts = 0;
    std::uint32_t lost_workers = 0;  // while they ran the task
    std::string avoided;  // worker of the last run that did not succeed
    // Projected duration of the last run that was stopped as a straggler. If a
    // run on another worker is as slow, the task itself is long.
    Duration projected{};
    // A run from an earlier submission of the job may not have ended yet.
    bool is_blocked = false;
    // Run time of the successful run, relative to the expected time on its
    // worker. 0: none yet.
    double ratio = 0;
  };

  struct Job {
    JobRequest request;
    std::shared_ptr<const std::string> payload;
    JobEstimate estimate;
    std::vector<Duration>
        run_times;  // expected on a reference worker, by group
    std::vector<Duration> chains_after;     // of run times after each group
    JobDeviation deviation;                 // of its ended runs
    std::vector<std::uint32_t> unfinished;  // tasks not done, by group
    std::vector<Task> tasks;
    std::size_t waiting = 0;
    std::size_t done = 0;
    bool was_started = false;  // a start command was issued
    bool is_late = false;      // could not meet its objective on arrival
    bool is_held = false;  // waits as it must leave capacity to other queues
    bool awaits_exclusive_worker = false;  // only for tasks that must run alone
    bool is_out_of_time = false;  // such a task can't end before the deadline
    bool has_cause = false;       // a task that crashes its workers
  };

  // Late jobs come after all others.
  struct QueueKey {
    bool is_late = false;
    Time latest_start;
    std::string job;

    auto operator<=>(const QueueKey&) const = default;
  };

  // Admission and queue.
  void Estimate(Job& job, Time now);
  std::optional<JobResult> CheckAdmission(const Job& job, Time now);
  std::optional<JobResult> CheckShare(const Job& job,
                                      AdmissionLoad load,
                                      Time latest_end,
                                      Time now);
  bool MustLeaveCapacity(const Job& job,
                         const QueueUses& running,
                         Time now) const;
  // Millicores that run, by queue. Runs whose job has ended have none.
  QueueUses RunningByQueue() const;
  double UsableCapacity(Time now) const;
  static Time LatestStartOf(const Job& job);
  bool FitsNow(const Job& job, Time now) const;
  bool CanEverFit(const Job& job) const;
  // Whether a worker of sufficient capacity could be given tasks of the group.
  bool HasWorkerFor(const Job& job,
                    const TaskGroup& group,
                    bool is_evacuated) const;
  // Whether the capacity that starts may count on has room for each task.
  bool HasCapacityFor(const Job& job, Time now) const;
  // Whether a waiting task of the job could be served only by evacuated
  // workers.
  bool NeedsEvacuatedWorkers(const Job& job) const;
  // Ends jobs with tasks that only evacuated workers could serve.
  void EndEvacuatedJobs(Time now);
  AdmissionLoad LoadAhead(const Job& job, Time now) const;
  void Schedule(Time now);
  bool StartWaiting(Job& job, Time now);
  // Starts a task that must not share a worker, if one is free for it. Returns
  // whether there is still time for it.
  bool StartExclusively(Job& job,
                        std::size_t index,
                        const PlacementQuery& query,
                        Time now);
  static std::string TaskNameOf(const Job& job, std::size_t index);
  bool HasCause(const Job& job) const;
  void BlockTasksThatRun(Job& job) const;
  bool IsReady(const Job& job, const Task& task) const;
  // Of the worker's speed, for the log.
  std::int64_t FactorPercent(const LeasedWorker& worker) const;
  // Whether the task would be late on `here`, the best worker that is free, and
  // end in time and sooner on a faster one that is busy.
  bool IsWorthWaiting(const Job& job,
                      const Task& task,
                      const LeasedWorker& here,
                      Time now) const;
  // The longest run time of a task of the group that meets the objective.
  static Duration LatestRunTime(const Job& job, std::size_t group, Time now);
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
  // Nothing starts on a worker that has restarted until its registration is
  // known.
  void AwaitRegistration(LeasedWorker& worker, Time now);
  void ReadCapacity(LeasedWorker& worker, const RenewReport& report, Time now);
  void ReadClock(LeasedWorker& worker, std::int64_t clock_ms, Time now);
  // Takes over a registration that is not older than the last.
  void ReadRegistration(LeasedWorker& worker,
                        const WorkerEntry& entry,
                        Time now);
  void UpdateConfirmation(LeasedWorker& worker, Time now);
  void LogUnconfirmed(Time now);
  void EndAllRuns(LeasedWorker& worker, RunEnd end, Time now);
  // Logs and records that the worker was lost with all its runs.
  void DidLoseWorker(LeasedWorker& worker, LossEvidence evidence, Time now);
  // Whether the worker's process is gone, as opposed to unreachable.
  bool HasCrashed(const LeasedWorker& worker) const;
  void RecordLoss(LeasedWorker& worker, bool is_certain, Time now);
  // Records crashes before the leases of the runs have lapsed, so that other
  // processes know of them by then.
  void RecordCrashes(Time now);
  void DidEndByItself(const LeasedRun& run, Time now);
  void CountCrash(const LeasedWorker& worker,
                  const std::vector<std::string>& blamed,
                  Time now);
  // Workers that tasks of the queue may crash at a time: those that the other
  // queues can spare.
  double CrashLimitOf(const std::string& queue, Time now) const;
  // When a task of the queue that may crash its worker may be started, if the
  // queue may use `share` of its limit.
  Time EarliestRisk(const std::string& queue, double share, Time now) const;
  // The worker that is kept for the task, which may still have other runs. Null
  // if no worker can be kept now.
  LeasedWorker* ReserveWorker(const std::string& task,
                              const PlacementQuery& query,
                              Time now);
  void ReleaseWorker(const std::string& task);
  // Releases workers that are kept for tasks that no longer wait for them.
  void ReleaseUnneededWorkers();
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
  // `made_at`: when the report was made that shows the progress of the runs.
  void StopStragglers(LeasedWorker& worker, Time made_at, Time now);
  bool IsStalled(const LeasedRun& run, Time made_at) const;
  // Whether the run takes far longer than its job, its worker and their errors
  // explain, and its task would end sooner elsewhere.
  bool IsStraggling(const LeasedWorker& worker,
                    const LeasedRun& run,
                    Time made_at) const;
  // Duration of the job's other runs over their expected time, or nothing if
  // none has progressed.
  std::optional<double> RatioOfSiblings(const LeasedRun& run, Time now) const;
  std::optional<double> RatioOfNeighbours(const LeasedWorker& worker,
                                          const LeasedRun& run,
                                          Time now) const;
  // Of the fastest worker that can take the task now; 1 if there is none.
  double BestFactor(const LeasedWorker& except,
                    const LeasedRun& run,
                    Time now) const;
  // Whether the job has runs on other workers.
  bool HasOtherRuns(const LeasedWorker& except, const LeasedRun& run) const;
  // Whether an earlier run of the task was stopped as a straggler.
  bool WasMoved(const LeasedRun& run) const;
  void DidSucceed(LeasedWorker& worker, const LeasedRun& run, Time now);
  void ProbeNow(LeasedWorker& worker, Time now);
  void SendRenewal(LeasedWorker& worker, Time now);
  bool NeedsRenewal(const LeasedWorker& worker, Time now) const;
  void DidFindFenced(LeasedWorker& worker, Time now);
  void DidFindDown(LeasedWorker& worker, Time now);
  void DidFindReplaced(LeasedWorker& worker, Time now);
  CommandTarget TargetOf(const LeasedWorker& worker) const;

  LeaseTiming timing_;
  EventLog& log_;
  std::map<std::string, LeasedWorker> workers_;
  std::map<std::string, Job> jobs_;
  std::set<QueueKey> queue_;  // jobs with waiting tasks
  DurationEstimator durations_;
  CallerTimeouts caller_timeouts_;
  WorkerSpeeds speeds_;
  UnconfirmedCapacity unconfirmed_capacity_;
  // Since when some capacity is unconfirmed, for the log.
  std::optional<Time> unconfirmed_since_;
  Time speeds_fitted_at_;
  CrashHistory crashes_;
  CrashLimits crash_limits_;
  std::set<std::string> blamed_queues_;
  std::map<std::string, std::string> reserved_workers_;  // by task
  QueueShares shares_;
  bool limits_queues_ = true;
  AnswerTimeout answer_timeout_;  // of starts and stops
  std::vector<LeaseAction> actions_;
  std::vector<std::string> fenced_;
  LeaseCounters counters_;
  bool schedule_due_ = false;
  std::map<std::string, Time> evacuated_;  // last starts by data centre
  bool are_starts_held_ = false;
};

}  // namespace mustardbank
