// Learns how long the callers of each queue wait for an answer, and recognises
// by it callers that send a job again: of their usual timeout, only what is
// left is given. Their objective counts from the first try.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "LibCore/boot_clock.h"

namespace mustardbank {

// Running statistics of a queue, in milliseconds. The usual timeout is linear
// in the expected duration of the job.
struct TimeoutStatistics {
  double mean_timeout = 0;
  double mean_expected = 0;
  double variance_expected = 0;
  double covariance = 0;  // of timeout and expected duration
  double deviation = 0;   // mean absolute error of the usual timeout
  std::uint32_t samples = 0;

  double UsualTimeout(double expected_ms) const;
  // Whether the numbers can be the result of observations.
  bool IsPlausible() const;

  bool operator==(const TimeoutStatistics&) const = default;
};

class CallerTimeouts {
 public:
  // Returns for how long the caller of a job has been waiting since its first
  // try. Zero unless its timeout is far below the usual one.
  Duration AgeOf(const std::string& queue,
                 Duration expected,
                 Duration timeout) const;

  void DidArrive(const std::string& queue, Duration expected, Duration timeout);

  const std::unordered_map<std::string, TimeoutStatistics>& statistics() const {
    return statistics_;
  }
  // Takes over what an earlier process learned, unless this one has learned
  // more.
  void Recall(const std::string& queue, const TimeoutStatistics& statistics);

 private:
  std::unordered_map<std::string, TimeoutStatistics> statistics_;
};

}  // namespace mustardbank
