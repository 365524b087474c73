#include "LibSchedule/caller_timeouts.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mustardbank {

namespace {

// Weight of a new observation once there are many.
constexpr double kGain = 1.0 / 128;
constexpr std::uint32_t kLeastSamples = 24;
// A timeout that is too short by this many mean deviations belongs to a caller
// that sends its job again.
constexpr double kDeviationsOfReturn = 3.5;
// An observation counts as at most this many mean deviations away from the
// usual timeout. A herd of returning callers then hardly changes what is usual,
// while callers that always wait less become usual in time.
constexpr double kMostDeviations = 2;
// Keeps the slope small if all jobs of a queue declare the same duration.
constexpr double kRelativeRidge = 0.05;
constexpr double kLeastDeviationMs = 10;
constexpr double kMostMs = 86'400'000;

}  // namespace

double TimeoutStatistics::UsualTimeout(double expected_ms) const {
  const double ridge = kRelativeRidge * mean_expected;
  const double slope =
      std::max(0.0, covariance / (variance_expected + ridge * ridge + 1));
  return mean_timeout + slope * (expected_ms - mean_expected);
}

bool TimeoutStatistics::IsPlausible() const {
  const auto is_duration = [](double ms) { return ms >= 0 && ms <= kMostMs; };
  return is_duration(mean_timeout) && is_duration(mean_expected) &&
         is_duration(deviation) && variance_expected >= 0 &&
         variance_expected <= kMostMs * kMostMs &&
         std::abs(covariance) <= kMostMs * kMostMs;
}

Duration CallerTimeouts::AgeOf(const std::string& queue,
                               Duration expected,
                               Duration timeout) const {
  const auto it = statistics_.find(queue);
  if (it == statistics_.end() || it->second.samples < kLeastSamples)
    return {};
  const TimeoutStatistics& usual = it->second;
  const double missing_ms =
      usual.UsualTimeout(ToMilliseconds(expected)) - ToMilliseconds(timeout);
  const double deviation = std::max(usual.deviation, kLeastDeviationMs);
  return missing_ms > kDeviationsOfReturn * deviation
             ? FromMilliseconds(std::min(missing_ms, kMostMs))
             : Duration{};
}

void CallerTimeouts::DidArrive(const std::string& queue,
                               Duration expected,
                               Duration timeout) {
  TimeoutStatistics& usual = statistics_[queue];
  const double expected_ms = ToMilliseconds(expected);
  const double timeout_ms = ToMilliseconds(timeout);
  if (usual.samples < std::numeric_limits<std::uint32_t>::max())
    ++usual.samples;
  if (usual.samples == 1) {
    usual.mean_timeout = timeout_ms;
    usual.mean_expected = expected_ms;
    return;
  }
  const double gain = std::max(kGain, 1.0 / usual.samples);
  double error = timeout_ms - usual.UsualTimeout(expected_ms);
  if (usual.samples > kLeastSamples) {
    const double most =
        kMostDeviations * std::max(usual.deviation, kLeastDeviationMs);
    error = std::clamp(error, -most, most);
  }
  const double from_mean = expected_ms - usual.mean_expected;
  const double timeout_from_mean =
      usual.UsualTimeout(expected_ms) + error - usual.mean_timeout;
  usual.mean_expected += gain * from_mean;
  usual.mean_timeout += gain * timeout_from_mean;
  usual.variance_expected +=
      gain * ((1 - gain) * from_mean * from_mean - usual.variance_expected);
  usual.covariance +=
      gain * ((1 - gain) * from_mean * timeout_from_mean - usual.covariance);
  usual.deviation += gain * (std::abs(error) - usual.deviation);
}

void CallerTimeouts::Recall(const std::string& queue,
                            const TimeoutStatistics& statistics) {
  TimeoutStatistics& known = statistics_[queue];
  if (known.samples < statistics.samples && statistics.IsPlausible())
    known = statistics;
}

}  // namespace mustardbank
