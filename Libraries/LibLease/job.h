// Jobs that run under leases: what a caller asks for, and how a job ends.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/enum_names.h"
#include "LibLease/resources.h"

namespace mustardbank {

// How a queue treats its jobs, from the configuration in force.
struct QueuePolicy {
  std::string name;
  std::string service;
  std::uint32_t priority = 0;  // 0 is the most urgent
  std::uint32_t attempts = 1;  // failed runs that fail a task
  // Latency objective of a job: `stretch` times its run time, and
  // `target_latency` more.
  double stretch = 1;
  Duration target_latency{};
  Duration timeout{};  // of a request that names none

  bool operator==(const QueuePolicy&) const = default;
};

// Tasks of one kind, which start once the groups in `after` are done.
struct TaskGroup {
  std::uint32_t count = 0;
  Resources each;
  Duration declared_run_time{};
  std::vector<std::uint32_t> after;   // indexes of earlier groups
  std::string required_label;         // "" for none
  std::string preferred_rack;         // label of the rack near the data, or ""
  std::uint32_t most_per_worker = 0;  // 0 for no limit
};

struct JobRequest {
  std::string id;
  std::string payload;  // handed to each task unread
  std::vector<TaskGroup> groups;
  QueuePolicy policy;
  Time arrived;
  Time deadline;     // the caller waits no longer
  std::string home;  // the entry VM that answers the caller
};

// Of all groups one after the other, as declared.
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
  kGivenUp,  // tasks may have run
};

inline constexpr EnumNames<JobOutcome, 4> kJobOutcomeNames{
    {"succeeded", "failed", "refused", "given_up"}};

enum class JobCause {
  kNone,
  kTaskFailed,
  kRunsLost,       // runs of a task were stopped or lost too often
  kNoRoom,         // the queue is longer than the job can wait
  kWaitedTooLong,  // queued past its latest useful start
  kNeverFits,      // no worker is large enough
  kNotOwner,       // this VM owns no workers of the service
  kHandedOver,     // the workers go to another VM
  kDeadline,
  kCancelled,
  kOwnershipLost,
  kHomeSilent,
  kUnsupported,  // asks for what is not offered
  kNoConfiguration,
  kNoQueue,
  kOwnerSilent,  // the VM that ran the job stopped answering
  kNoOwner,      // no VM that owns workers can be reached
  kLeaving,      // this VM stops before the job could end
};

inline constexpr EnumNames<JobCause, 18> kJobCauseNames{
    {"none", "task_failed", "runs_lost", "no_room", "waited_too_long",
     "never_fits", "not_owner", "handed_over", "deadline", "cancelled",
     "ownership_lost", "home_silent", "unsupported", "no_configuration",
     "no_queue", "owner_silent", "no_owner", "leaving"}};

struct JobResult {
  JobOutcome outcome = JobOutcome::kRefused;
  JobCause cause = JobCause::kNone;
  Duration retry_after{};  // for a refusal: when room is expected
};

}  // namespace mustardbank
