#include "LibSchedule/unconfirmed_capacity.h"

#include <algorithm>

namespace mustardbank {

namespace {

// Workers that have shrunk once may do so again.
constexpr Duration kShrinkMemory = std::chrono::minutes(10);

std::int64_t ShareOf(std::int64_t amount, double share) {
  return static_cast<std::int64_t>(static_cast<double>(amount) * share);
}

}  // namespace

void UnconfirmedCapacity::DidRegister(const Resources& capacity,
                                      const Resources& largest,
                                      Time now) {
  if (largest.millicores <= 0 || capacity.millicores >= largest.millicores)
    return;
  const double share = static_cast<double>(capacity.millicores) /
                       static_cast<double>(largest.millicores);
  if (share > ShareAt(now))
    return;
  least_share_ = share;
  least_share_at_ = now;
}

double UnconfirmedCapacity::ShareAt(Time now) const {
  const bool is_remembered =
      least_share_at_ != Time::min() && now - least_share_at_ < kShrinkMemory;
  return is_remembered ? std::min(confirmation_.share, least_share_)
                       : confirmation_.share;
}

Resources UnconfirmedCapacity::Assume(const Resources& largest,
                                      Time now) const {
  const double share = ShareAt(now);
  return {.millicores = ShareOf(largest.millicores, share),
          .memory_mb = ShareOf(largest.memory_mb, share),
          .accelerators = ShareOf(largest.accelerators, share)};
}

Time UnconfirmedCapacity::ConfirmedUntil(std::int64_t registered_ms,
                                         std::int64_t clock_ms,
                                         Time clock_at) const {
  if (registered_ms == 0 || confirmation_.validity == Duration::max())
    return Time::max();
  return clock_at - std::chrono::milliseconds(clock_ms - registered_ms) +
         confirmation_.validity;
}

}  // namespace mustardbank
