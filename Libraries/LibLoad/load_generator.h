// Open-loop load generator: jobs are sent at seeded random arrival times, even
// if earlier jobs have not ended. Response times count from the intended start,
// so that a delay in sending is part of them.
#pragma once

#include <functional>
#include <string>

#include "LibLoad/load_plan.h"
#include "LibLoad/load_report.h"

namespace mustardbank {

// Counts of all jobs, including the warm-up.
struct LoadProgress {
  double seconds = 0;
  std::uint64_t sent = 0;
  std::uint64_t ended = 0;
};

// Runs the plan and waits until every job has ended. Calls `did_progress` about
// once a second.
LoadReport RunLoad(
    const LoadPlan& plan,
    const std::function<void(const LoadProgress&)>& did_progress = nullptr);

}  // namespace mustardbank
