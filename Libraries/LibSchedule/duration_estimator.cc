#include "LibSchedule/duration_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mustardbank {

namespace {

constexpr double kSmoothing = 0.02;
// Run times within a queue vary about as much as declared run times err, so
// both get the same weight.
constexpr double kWeightOfDeclared = 0.5;
constexpr double kLeastMs = 1;
constexpr double kDefaultMs = 250;   // no declared or observed run time
constexpr double kMostLogMs = 18.3;  // a day

double LogMilliseconds(Duration duration) {
  return std::log(std::max(kLeastMs, ToMilliseconds(duration)));
}

}  // namespace

bool RunTimeStatistics::IsPlausible() const {
  return log_run_time >= 0 && log_run_time <= kMostLogMs &&
         std::abs(log_error) <= kMostLogMs;
}

Duration DurationEstimator::Expect(const std::string& queue,
                                   Duration declared) const {
  const auto it = statistics_.find(queue);
  if (it == statistics_.end() || it->second.samples == 0)
    return declared.count() > 0 ? declared : FromMilliseconds(kDefaultMs);
  const RunTimeStatistics& estimate = it->second;
  if (declared.count() == 0)
    return FromMilliseconds(std::exp(estimate.log_run_time));
  // Rows of the store may hold any plausible numbers, which together may still
  // give an absurd one.
  return FromMilliseconds(std::exp(std::min(
      kMostLogMs,
      kWeightOfDeclared * (LogMilliseconds(declared) + estimate.log_error) +
          (1 - kWeightOfDeclared) * estimate.log_run_time)));
}

void DurationEstimator::DidRun(const std::string& queue,
                               Duration declared,
                               Duration run_time) {
  RunTimeStatistics& estimate = statistics_[queue];
  if (estimate.samples < std::numeric_limits<std::uint32_t>::max())
    ++estimate.samples;
  const double weight = std::max(kSmoothing, 1.0 / estimate.samples);
  const double log_run_time = LogMilliseconds(run_time);
  estimate.log_run_time += weight * (log_run_time - estimate.log_run_time);
  if (declared.count() > 0) {
    const double error = log_run_time - LogMilliseconds(declared);
    estimate.log_error += weight * (error - estimate.log_error);
  }
}

void DurationEstimator::Recall(const std::string& queue,
                               const RunTimeStatistics& statistics) {
  RunTimeStatistics& known = statistics_[queue];
  if (known.samples < statistics.samples && statistics.IsPlausible())
    known = statistics;
}

}  // namespace mustardbank
