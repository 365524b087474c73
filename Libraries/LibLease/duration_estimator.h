// Estimates run times of tasks by queue. The estimate blends the observed run
// times of the queue with the run time that the caller declares, corrected by
// the average error of the declared ones.
#pragma once

#include <string>
#include <unordered_map>

#include "LibCore/boot_clock.h"

namespace mustardbank {

class DurationEstimator {
 public:
  // Returns the expected run time of a task, which is never zero.
  Duration Expect(const std::string& queue, Duration declared) const;

  void DidRun(const std::string& queue, Duration declared, Duration run_time);

 private:
  // Running means of logarithms of milliseconds.
  struct Estimate {
    double log_run_time = 0;
    double log_error = 0;  // of run time relative to declared run time
    std::uint32_t samples = 0;
  };

  std::unordered_map<std::string, Estimate> estimates_;
};

}  // namespace mustardbank
