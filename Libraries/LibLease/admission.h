// Decides at once whether a job can be done in time on the owner's workers.
//
// The load it answers: bursts of 1.2 to 1.8 times a base load of 0.5 to 0.66
// of all processors, of which packing loses a fifth. Jobs that would come too
// late are refused on arrival, so that those that are admitted are in time.
#pragma once

#include <vector>

#include "LibCore/boot_clock.h"
#include "LibLease/job.h"

namespace mustardbank {

// Room that a run is expected to leave.
struct FreedCapacity {
  Duration after{};
  double millicores = 0;
};

// Work in millicore-milliseconds, room in millicores.
struct AdmissionLoad {
  double capacity = 0;  // of the workers that can start tasks
  double free = 0;      // of it, not taken by runs
  std::vector<FreedCapacity> runs;
  double queued_demand = 0;  // that waiting tasks ahead of the job need
  double queued_work = 0;    // of these tasks
  bool fits_now = false;     // all tasks can start at once
};

struct JobEstimate {
  double work = 0;           // of all tasks
  double peak_demand = 0;    // of the tasks that can run side by side
  Duration longest_chain{};  // of task run times, group after group
  Duration objective{};      // from arrival to answer
  Time latest_start;         // that keeps the objective
};

// The share of a worker's room that tasks can use: a worker of 64,000
// millicores with two tasks of 27,000 has 10,000 left over.
inline constexpr double kPackedShare = 0.85;

JobEstimate EstimateJob(const JobRequest& job,
                        const std::vector<Duration>& run_times);

// How long a job may wait for an owner of workers, while a restart or a claim
// is under way, and still keep its objective.
Duration LongestOwnerWait(const JobRequest& job);

// When the job is expected to end: once runs have left room for the tasks ahead
// of it and for its own, and no sooner than the work ahead can be done.
Time PredictEnd(AdmissionLoad load, const JobEstimate& estimate, Time now);

}  // namespace mustardbank
