// How long to wait for the answer to a command, from the answers of the past:
// the smoothed round trip and four times its mean deviation, as TCP times its
// retransmissions (RFC 6298).
#pragma once

#include <algorithm>
#include <cmath>

#include "LibCore/boot_clock.h"

namespace mustardbank {

class AnswerTimeout {
 public:
  AnswerTimeout(Duration least, Duration most) : least_(least), most_(most) {}

  void DidAnswer(Duration round_trip) {
    const double sample_ms = ToMilliseconds(round_trip);
    if (mean_ms_ < 0) {
      mean_ms_ = sample_ms;
      deviation_ms_ = sample_ms / 2;
      return;
    }
    deviation_ms_ +=
        kDeviationGain * (std::abs(sample_ms - mean_ms_) - deviation_ms_);
    mean_ms_ += kMeanGain * (sample_ms - mean_ms_);
  }

  Duration Timeout() const {
    return mean_ms_ < 0
               ? most_
               : std::clamp(FromMilliseconds(mean_ms_ + 4 * deviation_ms_),
                            least_, most_);
  }

 private:
  static constexpr double kMeanGain = 1.0 / 8;
  static constexpr double kDeviationGain = 1.0 / 4;

  const Duration least_;
  const Duration most_;
  double mean_ms_ = -1;  // below 0: no answer yet
  double deviation_ms_ = 0;
};

}  // namespace mustardbank
