// Limits of jobs and reports that callers, operators and other VMs send. A
// value beyond them is an error of the sender: within them, sums don't overflow
// and memory stays bounded.
#pragma once

#include <cstdint>

#include "LibCore/boot_clock.h"

namespace mustardbank {

inline constexpr std::uint64_t kMostTasks = 100'000;  // of a job
inline constexpr std::int64_t kMostResource = 1'000'000'000;
// Of the workers or waiting tasks of one owner.
inline constexpr std::int64_t kMostLoadMillicores = 1'000'000'000'000;
inline constexpr Duration kMostRunTime = std::chrono::hours(24);
inline constexpr Duration kMostRetryDelay = std::chrono::hours(1);
inline constexpr double kMostStretch = 100;
inline constexpr std::size_t kMostIdBytes = 200;
// Of a worker's clock: a hundred years. Sums with a lease don't overflow.
inline constexpr std::int64_t kMostClockMs = 100LL * 366 * 86'400'000;

}  // namespace mustardbank
