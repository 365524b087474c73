// Jobs that run under leases: the request of a caller and the result.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/enum_names.h"
#include "LibSchedule/resources.h"

namespace mustardbank {

// How a queue treats its jobs, from the configuration in force.
struct QueuePolicy {
  std::string name;
  std::string service;
  std::uint32_t priority = 0;  // 0 is the most urgent
  std::uint32_t attempts = 1;  // a task fails after this many failed runs
  // Latency objective of a job: `stretch` times its run time plus
  // `target_latency`.
  double stretch = 1;
  Duration target_latency{};
  Duration timeout{};  // of a request that sets no timeout

  bool operator==(const QueuePolicy&) const = default;
};

// Tasks with the same requirements. They start once all tasks of the groups in
// `after` are done.
struct TaskGroup {
  std::uint32_t count = 0;
  Resources each;
  Duration declared_run_time{};
  std::vector<std::uint32_t> after;   // indices of earlier groups
  std::string required_label;         // label a worker must have, or ""
  std::string preferred_rack;         // label of the rack near the data, or ""
  std::uint32_t most_per_worker = 0;  // tasks at a time; 0: no limit
};

struct JobRequest {
  std::string id;
  std::string payload;  // passed to each task without being interpreted
  std::vector<TaskGroup> groups;
  QueuePolicy policy;
  Time arrived;
  // For how long the caller had been waiting by then, since its first try.
  Duration age{};
  Time deadline;  // the caller does not wait longer than this
  // The entry VM that keeps the job's state and answers its caller.
  std::string home;
};

// The declared run time of the job if its groups run one after the other.
inline Duration DeclaredRunTime(const JobRequest& job) {
  Duration run_time{};
  for (const TaskGroup& group : job.groups)
    run_time += group.declared_run_time;
  return run_time;
}

enum class JobOutcome {
  kSucceeded,
  kFailed,   // a task used up its attempts
  kRefused,  // no task was started
  kGivenUp,  // ended without a result; tasks may have run
};

inline constexpr EnumNames<JobOutcome, 4> kJobOutcomeNames{
    {"succeeded", "failed", "refused", "given_up"}};

enum class JobCause {
  kNone,
  kTaskFailed,
  kRunsLost,       // a task's runs were stopped or lost too often
  kNoRoom,         // no capacity would be free in time for the job
  kWaitedTooLong,  // queued past its latest useful start
  kNeverFits,      // no worker is large enough
  kNotOwner,       // this VM owns no workers of the service
  kHandedOver,     // the workers are being handed over to another VM
  kDeadline,
  kCancelled,
  kOwnershipLost,
  kHomeSilent,   // the job's home is unreachable
  kUnsupported,  // the request uses a feature that is not supported
  kNoConfiguration,
  kNoQueue,
  kOwnerSilent,     // the VM that ran the job stopped answering
  kNoOwner,         // no VM that owns workers can be reached
  kLeaving,         // this VM stops before the job would end
  kEvacuated,       // the operator evacuates the data centre of the workers
  kOverShare,       // a burst of its queue must leave other queues their shares
  kCrashesWorkers,  // workers crashed under one of its tasks
  kCrashLimit,      // tasks of its queue have crashed too many workers
  kStaleRequest,    // the request may have been sent too long ago
};

inline constexpr EnumNames<JobCause, 23> kJobCauseNames{
    {"none",         "task_failed",      "runs_lost",
     "no_room",      "waited_too_long",  "never_fits",
     "not_owner",    "handed_over",      "deadline",
     "cancelled",    "ownership_lost",   "home_silent",
     "unsupported",  "no_configuration", "no_queue",
     "owner_silent", "no_owner",         "leaving",
     "evacuated",    "over_share",       "crashes_workers",
     "crash_limit",  "stale_request"}};

struct JobResult {
  JobOutcome outcome = JobOutcome::kRefused;
  JobCause cause = JobCause::kNone;
  Duration retry_after{};  // of a refusal: until capacity should be free
};

}  // namespace mustardbank
