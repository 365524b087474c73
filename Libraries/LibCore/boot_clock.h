// The clock that all decisions use: CLOCK_BOOTTIME, which also advances while
// the machine is suspended.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mustardbank {

using Duration = std::chrono::nanoseconds;

struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name that std::chrono requires.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now();
};

using Time = BootClock::time_point;

inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Clamped to ten years, and zero if `milliseconds` is not a number: beyond 292
// years the conversion overflows, and sums with other times do before that.
inline Duration FromMilliseconds(double milliseconds) {
  constexpr double kMostMs = 10 * 365.0 * 86'400'000;
  if (std::isnan(milliseconds))
    return {};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          std::clamp(milliseconds, -kMostMs, kMostMs)));
}

// Readings of both clocks taken together, to detect pauses of the process.
struct ClockReading {
  Time boot;
  std::chrono::milliseconds wall{0};  // since the Unix epoch

  static ClockReading Now();
};

}  // namespace mustardbank
