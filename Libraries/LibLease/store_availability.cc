#include "LibLease/store_availability.h"

#include <algorithm>
#include <utility>

namespace mustardbank {

StoreAvailability::Change StoreAvailability::DidAnswer(Time now) {
  Change change;
  change.was_regained = std::exchange(is_lost_, false);
  const bool has_failed = std::exchange(failures_, 0) > 0;
  change.abandons_calls =
      change.was_regained || (has_failed && MayAbandon(now));
  if (change.abandons_calls)
    abandoned_at_ = now;
  answered_at_ = now;
  return change;
}

StoreAvailability::Change StoreAvailability::DidFail(Time now) {
  if (++failures_ == 1)
    probe_at_ = now;
  const bool is_now_lost =
      !is_lost_ && failures_ >= probing_.failures_until_lost;
  is_lost_ = is_lost_ || is_now_lost;
  return {.was_lost = is_now_lost};
}

StoreAvailability::Change StoreAvailability::DidHearOfReturn(Time now) {
  if (failures_ > 0) {
    probe_at_ = std::min(probe_at_, now);
    return {};
  }
  // The outage may have passed unnoticed, with calls that wait for changes.
  if (!MayAbandon(now))
    return {};
  abandoned_at_ = now;
  return {.abandons_calls = true};
}

bool StoreAvailability::TakeProbe(std::size_t vms, Time now) {
  if (failures_ == 0 || now < probe_at_ ||
      probes_in_flight_ >= probing_.most_in_flight)
    return false;
  const double extension = std::max(
      1.0, static_cast<double>(vms) / static_cast<double>(probing_.vms));
  std::uniform_real_distribution<double> jitter(1 - probing_.jitter,
                                                1 + probing_.jitter);
  probe_at_ = now + FromMilliseconds(ToMilliseconds(probing_.interval) *
                                     extension * jitter(random_));
  ++probes_in_flight_;
  return true;
}

}  // namespace mustardbank
