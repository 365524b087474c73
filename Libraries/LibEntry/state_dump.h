// Formats the dispatch state as JSON and as metrics, for operators.
#pragma once

#include <string>

#include "LibDispatch/dispatch_state.h"

namespace mustardbank {

std::string DumpState(const DispatchState& state, Time now);

// Metrics in the Prometheus text format.
std::string DumpMetrics(const DispatchState& state, Time now);

}  // namespace mustardbank
