// Predicts when a job would end on the owner's workers. Jobs that would end too
// late are refused on arrival, so that admitted jobs meet their objective.
//
// Designed for bursts of 1.2 to 1.8 times a base load of 0.5 to 0.66 of all
// processors, of which a fifth is lost to packing, and for callers that return
// all at once after a loss of power. Jobs that can only be late use the
// capacity that the others leave.
#pragma once

#include <vector>

#include "LibCore/boot_clock.h"
#include "LibSchedule/job.h"

namespace mustardbank {

// Capacity that a run is expected to free.
struct FreedCapacity {
  Duration after{};
  double millicores = 0;
};

// Work is in millicore-milliseconds; capacity and demand are in millicores.
struct AdmissionLoad {
  double capacity = 0;  // of the workers that can start tasks
  double free = 0;      // the part of it that no run uses
  std::vector<FreedCapacity> runs;
  double queued_demand = 0;  // of the waiting tasks ahead of the job
  double queued_work = 0;    // of the same tasks
  bool fits_now = false;     // all tasks of the job can start at once
};

struct JobEstimate {
  double work = 0;           // of all tasks
  double peak_demand = 0;    // of the tasks that can run side by side
  Duration longest_chain{};  // of task run times, group after group
  Duration objective{};      // from the caller's first try to the answer
  Time latest_start;         // to meet the objective
  Time latest_useful_start;  // to end while the answer is of use
};

// The share of a worker's capacity that tasks can use: a worker of 64,000
// millicores with two tasks of 27,000 has 10,000 left over.
inline constexpr double kPackedShare = 0.85;

// A late answer is of use to its caller until this many objectives have passed
// since the first try (RULES.md, Jobs).
inline constexpr int kUsefulObjectives = 3;

JobEstimate EstimateJob(const JobRequest& job,
                        const std::vector<Duration>& run_times);

// The expected longest of `count` runs of a job.
Duration LongestRun(Duration run_time, std::uint32_t count);

// Returns for each group how long the groups that wait for it take after it.
std::vector<Duration> ChainsAfter(const JobRequest& job,
                                  const std::vector<Duration>& run_times);

// Returns how long a job may wait until a restart or a claim gives the
// service's workers an owner, and still meet its objective.
Duration LongestOwnerWait(const JobRequest& job);

// Predicts the end of the job. It starts once runs have freed enough capacity
// for the tasks ahead of it and its own, and ends no sooner than the work ahead
// and its own can be done. Time::max() if there is no capacity.
Time PredictEnd(AdmissionLoad load, const JobEstimate& estimate, Time now);

}  // namespace mustardbank
