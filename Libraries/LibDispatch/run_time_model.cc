#include "LibDispatch/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace mustardbank {

namespace {

// With fewer samples than this, the estimate is blended with the declared run
// time.
constexpr std::uint32_t kTrustedSamples = 8;
constexpr double kSmoothing = 0.05;
constexpr double kMaxLongestFactor = 10;

}  // namespace

std::string RunTimeModel::KeyOf(const std::string& service,
                                const std::string& request) {
  return service + '/' + request;
}

Duration RunTimeModel::Expect(const std::string& service,
                              const RequestKind& request,
                              Duration declared) const {
  const double stated =
      declared.count() > 0 ? ToMilliseconds(declared) : request.declared_ms;
  const auto it = estimates_.find(KeyOf(service, request.name));
  if (it == estimates_.end())
    return FromMilliseconds(stated);
  const double trust =
      std::min(1.0, static_cast<double>(it->second.samples) / kTrustedSamples);
  return FromMilliseconds(trust * it->second.milliseconds +
                          (1 - trust) * stated);
}

Duration RunTimeModel::ExpectLongest(Duration expected,
                                     std::size_t tasks) const {
  // Run times are roughly lognormal, and the maximum of n standard normal
  // variates is about sqrt(2 ln n).
  const double deviates = std::sqrt(2 * std::log(static_cast<double>(tasks)));
  const double factor = std::exp(std::sqrt(log_variance_) * deviates);
  return FromMilliseconds(ToMilliseconds(expected) *
                          std::min(factor, kMaxLongestFactor));
}

void RunTimeModel::DidRun(const std::string& service,
                          const std::string& request,
                          Duration run_time) {
  Estimate& estimate = estimates_[KeyOf(service, request)];
  ++estimate.samples;
  if (estimate.samples > kTrustedSamples && run_time.count() > 0) {
    const double deviation =
        std::log(ToMilliseconds(run_time) / estimate.milliseconds);
    log_variance_ += kSmoothing * (deviation * deviation - log_variance_);
  }
  const double weight = std::max(kSmoothing, 1.0 / estimate.samples);
  estimate.milliseconds +=
      weight * (ToMilliseconds(run_time) - estimate.milliseconds);
  mean_ += FromMilliseconds(kSmoothing *
                            (ToMilliseconds(run_time) - ToMilliseconds(mean_)));
}

}  // namespace mustardbank
