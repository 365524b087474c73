// Results of a load run.
#pragma once

#include <prometheus/histogram.h>

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace mustardbank {

// Counts values in geometric buckets that are 0.5 % wide and estimates
// quantiles from them.
class QuantileRecorder {
 public:
  QuantileRecorder();

  void Add(double value);
  std::uint64_t count() const;
  double mean() const;
  // Returns the upper bound of the bucket that contains the quantile.
  double Quantile(double quantile) const;

 private:
  std::unique_ptr<prometheus::Histogram> histogram_;
};

struct LoadReport {
  std::uint64_t jobs = 0;  // without the jobs of the warm-up
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;  // refused as overloaded
  std::uint64_t cancelled = 0;
  std::uint64_t unanswered = 0;  // no final response before the deadline
  // Answers that were malformed, incomplete or another job's.
  std::uint64_t wrong = 0;
  std::uint64_t resubmissions = 0;
  std::uint64_t tasks = 0;
  double seconds = 0;
  QuantileRecorder response_over_ideal;  // of complete jobs
  QuantileRecorder response_ms;
  QuantileRecorder refusal_ms;
  std::map<std::string, std::uint64_t> problems;  // jobs by type of problem

  boost::json::object ToJson() const;
};

}  // namespace mustardbank
