// Judges a worker by the outcomes of the tasks it ran: one that fails tasks,
// refuses them, stalls them or takes far too long is left out for a time that
// doubles, and is then tried with a single task.
#pragma once

#include <algorithm>

#include "LibCore/boot_clock.h"

namespace mustardbank {

class OutcomeHealth {
 public:
  // How many of its tasks the worker may have running.
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

  // Hysteresis: each success takes back one strike only.
  void DidSucceed() { strikes_ = std::max(0, strikes_ - 1); }

  int strikes() const { return strikes_; }

 private:
  // Sound workers fail one task in 500; leaving one out for this long costs
  // little room.
  static constexpr Duration kFirstExclusion = std::chrono::milliseconds(200);
  static constexpr int kMostStrikes = 5;  // 3.2 s

  int strikes_ = 0;
  Time excluded_until_{};
};

}  // namespace mustardbank
