// The clock that all decisions use: CLOCK_BOOTTIME, which also advances while
// the machine is suspended.
#pragma once

#include <chrono>

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

inline Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

// Readings of both clocks taken together, to detect pauses of the process.
struct ClockReading {
  Time boot;
  std::chrono::milliseconds wall{0};  // since the Unix epoch

  static ClockReading Now();
};

}  // namespace mustardbank
