// Health of a worker, derived from the outcomes of its tasks. A worker that
// fails, refuses or stalls tasks, or takes far too long for them, is excluded
// for a period that doubles with each such outcome. It then gets a single task
// on trial.
#pragma once

#include <algorithm>

#include "LibCore/boot_clock.h"

namespace mustardbank {

class OutcomeHealth {
 public:
  // Whether the worker may run no task, one task or any number of tasks.
  enum class Availability { kExcluded, kTrial, kFull };

  Availability AvailabilityAt(Time now) const {
    if (now < excluded_until_)
      return Availability::kExcluded;
    return strikes_ > 0 ? Availability::kTrial : Availability::kFull;
  }

  void DidFail(Time now) {
    strikes_ = std::min(strikes_ + 1, kMostStrikes);
    excluded_until_ = now + kFirstExclusion * (1 << (strikes_ - 1));
  }

  // Each success removes one strike only, so that a worker with mixed outcomes
  // is not trusted at once.
  void DidSucceed() { strikes_ = std::max(0, strikes_ - 1); }

  int strikes() const { return strikes_; }

 private:
  // Healthy workers fail one task in 500; excluding one for this long costs
  // little capacity.
  static constexpr Duration kFirstExclusion = std::chrono::milliseconds(200);
  static constexpr int kMostStrikes = 5;  // longest exclusion: 3.2 s

  int strikes_ = 0;
  Time excluded_until_{};
};

}  // namespace mustardbank
