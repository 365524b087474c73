// Estimates run times of tasks by queue. The estimate blends the observed run
// times of the queue with the run time that the caller declares, corrected by
// the average error of the declared ones.
#pragma once

#include <string>
#include <unordered_map>

#include "LibCore/boot_clock.h"

namespace mustardbank {

// Running means of logarithms of milliseconds.
struct RunTimeStatistics {
  double log_run_time = 0;
  double log_error = 0;  // of run time relative to declared run time
  std::uint32_t samples = 0;

  // Whether the numbers can be the result of observations.
  bool IsPlausible() const;

  bool operator==(const RunTimeStatistics&) const = default;
};

class DurationEstimator {
 public:
  // Returns the expected run time of a task, which is never zero.
  Duration Expect(const std::string& queue, Duration declared) const;

  void DidRun(const std::string& queue, Duration declared, Duration run_time);

  const std::unordered_map<std::string, RunTimeStatistics>& statistics() const {
    return statistics_;
  }
  // Takes over what an earlier process learned, unless this one has learned
  // more.
  void Recall(const std::string& queue, const RunTimeStatistics& statistics);

 private:
  std::unordered_map<std::string, RunTimeStatistics> statistics_;
};

}  // namespace mustardbank
