// Measures the dispatcher without sockets and peers.
#pragma once

#include <cstddef>

namespace mustardbank {

// Runs `jobs` jobs of several tasks with `workers` workers, half of whose slots
// are busy. Returns the events per second that the dispatcher handles on one
// thread.
double MeasureEventsPerSecond(std::size_t workers, std::size_t jobs);

// Returns the size in bytes of one heartbeat to one peer with `teams` active
// teams.
std::size_t MeasureHeartbeatBytes(std::size_t teams);

}  // namespace mustardbank
