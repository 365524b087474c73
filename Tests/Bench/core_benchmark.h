// Cost of events in the decision core alone.
#pragma once

#include <cstddef>

namespace mustardbank {

// Events a second that a core handles on one thread with `workers` workers,
// half of their slots busy, by running `jobs` jobs of several tasks.
double MeasureEventsPerSecond(std::size_t workers, std::size_t jobs);

// Bytes of one heartbeat to one peer with this many active teams.
std::size_t MeasureHeartbeatBytes(std::size_t teams);

}  // namespace mustardbank
