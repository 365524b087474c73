// Admission control: refuses jobs that can't run at all, or not within the
// delay tolerance of their service.
#pragma once

#include <optional>

#include "LibDispatch/dispatch_state.h"

namespace mustardbank {

struct Refusal {
  Problem problem = Problem::kOverloaded;
  std::string detail;
  std::uint32_t retry_after_ms = 0;
};

// Checks the job against the configuration: its team, service and requests.
std::optional<Refusal> CheckJob(const DispatchState& state,
                                const std::string& team,
                                const wire::JobSpec& job);

// Checks that the job can meet the delay tolerance of its service. `longest` is
// the longest expected run time of its tasks.
std::optional<Refusal> CheckDelay(const DispatchState& state,
                                  const ServiceConfiguration& service,
                                  std::uint32_t placement_class,
                                  TeamIndex team,
                                  std::size_t tasks,
                                  Duration longest,
                                  Time now);

}  // namespace mustardbank
