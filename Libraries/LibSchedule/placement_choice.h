// Chooses among the workers that can start a task now.
//
// A job is in time only if its slowest task is, so a worker where the task
// would be late comes after all where it is in time. Among these the best fit
// by processors is chosen: most workers run two or three tasks, and fragmented
// free capacity is lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "LibCore/boot_clock.h"

namespace mustardbank {

// What a crash of the worker would cost, while tasks of some queues crash
// workers.
enum class CrashRisk {
  kNone,    // only such tasks would share the worker, or only others
  kSingle,  // a task that may crash the worker has it to itself
  kShared,  // tasks of other queues would be lost with it
};

struct PlacementCandidate {
  std::int64_t leftover_millicores = 0;  // free beside the task
  Duration run_time{};                   // predicted for the task there
  bool is_avoided = false;  // the task failed there or was stopped there
  bool is_reserve = false;  // evacuated or cold: only if no other can start it
  bool is_far = false;      // from the task's data
  CrashRisk crash_risk = CrashRisk::kNone;

  bool operator==(const PlacementCandidate&) const = default;
};

// Where a task could run once a run there has ended.
struct BusyPlace {
  Duration free_after{};
  Duration run_time{};  // predicted for the task there
};

// Whether a task counts as late that runs for `run_time` from now.
bool IsLate(Duration run_time, Duration latest_run_time);

// Whether a task that would be late on the best free worker, where it takes
// `run_time`, ends sooner and in time at a busy one. It is not kept waiting to
// be late elsewhere.
bool EndsSoonerByWaiting(const std::vector<BusyPlace>& places,
                         Duration run_time,
                         Duration latest_run_time);

// Returns the index of the best candidate, or nothing if there is none.
// `latest_run_time` is the longest one that meets the job's objective.
std::optional<std::size_t> ChooseCandidate(
    const std::vector<PlacementCandidate>& candidates,
    Duration latest_run_time);

}  // namespace mustardbank
