// What a load run measured.
#pragma once

#include <prometheus/histogram.h>

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace mustardbank {

// Records values in fine geometric buckets and yields quantiles.
class QuantileRecorder {
 public:
  QuantileRecorder();

  void Add(double value);
  std::uint64_t count() const;
  double mean() const;
  // Upper bound of the bucket that holds the quantile.
  double Quantile(double quantile) const;

 private:
  std::unique_ptr<prometheus::Histogram> histogram_;
};

struct LoadReport {
  std::uint64_t jobs = 0;  // measured ones
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;  // said "not run" until the deadline
  std::uint64_t cancelled = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t wrong = 0;  // answers that were not whole or another job's
  std::uint64_t resubmissions = 0;
  std::uint64_t tasks = 0;
  double seconds = 0;
  QuantileRecorder response_over_ideal;  // of complete jobs
  QuantileRecorder response_ms;
  QuantileRecorder refusal_ms;
  std::map<std::string, std::uint64_t> problems;

  boost::json::object ToJson() const;
};

}  // namespace mustardbank
