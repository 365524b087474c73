// Open-loop load: jobs are sent at seeded arrival times whatever became of
// earlier ones, and their response counts from the intended time.
#pragma once

#include <functional>
#include <string>

#include "LibLoad/load_plan.h"
#include "LibLoad/load_report.h"

namespace mustardbank {

struct LoadProgress {
  double seconds = 0;
  std::uint64_t sent = 0;
  std::uint64_t ended = 0;
};

// Runs the plan and waits for the end of every job. `did_progress` is called
// about once a second.
LoadReport RunLoad(
    const LoadPlan& plan,
    const std::function<void(const LoadProgress&)>& did_progress = nullptr);

}  // namespace mustardbank
