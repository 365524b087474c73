// Histogram of durations with fixed upper bounds.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "LibCore/boot_clock.h"

namespace mustardbank {

struct DurationHistogram {
  static constexpr std::array<double, 12> kBoundsSeconds{
      0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

  void Observe(Duration duration) {
    const double seconds = ToMilliseconds(duration) / 1000;
    const auto bound =
        std::lower_bound(kBoundsSeconds.begin(), kBoundsSeconds.end(), seconds);
    ++buckets[static_cast<std::size_t>(bound - kBoundsSeconds.begin())];
    sum_seconds += seconds;
  }

  // Not cumulative; the last bucket has no upper bound.
  std::array<std::uint64_t, kBoundsSeconds.size() + 1> buckets{};
  double sum_seconds = 0;
};

}  // namespace mustardbank
