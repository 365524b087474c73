#include "LibCore/boot_clock.h"

#include <ctime>

namespace mustardbank {

Time BootClock::now() {
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  return Time(std::chrono::seconds(spec.tv_sec) +
              std::chrono::nanoseconds(spec.tv_nsec));
}

ClockReading ClockReading::Now() {
  return ClockReading{
      .boot = BootClock::now(),
      .wall = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())};
}

}  // namespace mustardbank
