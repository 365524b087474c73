#include "LibLoad/load_report.h"

#include <cmath>

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr double kMinBound = 0.01;
constexpr double kMaxBound = 1e6;
constexpr double kBucketRatio = 1.005;

prometheus::Histogram::BucketBoundaries MakeBounds() {
  prometheus::Histogram::BucketBoundaries bounds;
  for (double bound = kMinBound; bound < kMaxBound; bound *= kBucketRatio)
    bounds.push_back(bound);
  return bounds;
}

double Rounded(double value) {
  return std::isfinite(value) ? std::round(value * 1000) / 1000 : 0;
}

json::object Summary(const QuantileRecorder& recorder) {
  return json::object{{"mean", Rounded(recorder.mean())},
                      {"p50", Rounded(recorder.Quantile(0.5))},
                      {"p99", Rounded(recorder.Quantile(0.99))}};
}

}  // namespace

QuantileRecorder::QuantileRecorder()
    : histogram_(std::make_unique<prometheus::Histogram>(MakeBounds())) {}

void QuantileRecorder::Add(double value) {
  histogram_->Observe(value);
}

std::uint64_t QuantileRecorder::count() const {
  return histogram_->Collect().histogram.sample_count;
}

double QuantileRecorder::mean() const {
  const auto histogram = histogram_->Collect().histogram;
  if (histogram.sample_count == 0)
    return 0;
  return histogram.sample_sum / static_cast<double>(histogram.sample_count);
}

double QuantileRecorder::Quantile(double quantile) const {
  const auto histogram = histogram_->Collect().histogram;
  const double rank = quantile * static_cast<double>(histogram.sample_count);
  for (const auto& bucket : histogram.bucket) {
    if (bucket.cumulative_count > 0 &&
        static_cast<double>(bucket.cumulative_count) >= rank) {
      return bucket.upper_bound;
    }
  }
  return 0;
}

json::object LoadReport::ToJson() const {
  json::object problem_counts;
  for (const auto& [name, count] : problems)
    problem_counts[name] = count;
  return json::object{
      {"jobs", jobs},
      {"complete", complete},
      {"failed", failed},
      {"refused", refused},
      {"cancelled", cancelled},
      {"unanswered", unanswered},
      {"wrong", wrong},
      {"resubmissions", resubmissions},
      {"tasks", tasks},
      {"seconds", Rounded(seconds)},
      {"response_over_ideal", Summary(response_over_ideal)},
      {"response_ms", Summary(response_ms)},
      {"refusal_ms", Summary(refusal_ms)},
      {"problems", std::move(problem_counts)},
  };
}

}  // namespace mustardbank
