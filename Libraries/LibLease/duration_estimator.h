// Expected run times of tasks, by queue: a blend of what tasks of the queue
// took and of what the caller declares, corrected by its usual error.
#pragma once

#include <string>
#include <unordered_map>

#include "LibCore/boot_clock.h"

namespace mustardbank {

class DurationEstimator {
 public:
  // The run time expected of a task; never zero.
  Duration Expect(const std::string& queue, Duration declared) const;

  void DidRun(const std::string& queue, Duration declared, Duration run_time);

 private:
  // Running means of logarithms of milliseconds.
  struct Estimate {
    double log_run_time = 0;
    double log_error = 0;  // of run time over declared time
    std::uint32_t samples = 0;
  };

  std::unordered_map<std::string, Estimate> estimates_;
};

}  // namespace mustardbank
