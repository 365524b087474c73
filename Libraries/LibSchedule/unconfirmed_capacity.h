// Decides how much of a worker's capacity an owner counts on while it can't
// learn whether the capacity has changed.
//
// A worker's capacity may shrink while it runs, and only its registration shows
// that. A registration confirms the capacity until a change made right after it
// has to be respected. Later starts count on a share of the largest capacity
// that the worker has had: the configured one, or the least share to which a
// worker has shrunk lately.
//
// Designed for outages of the store and for data centres that are cut off,
// in which half of the workers shrink to half of their capacity.
#pragma once

#include <string>

#include "LibCore/boot_clock.h"
#include "LibSchedule/resources.h"

namespace mustardbank {

struct CapacityConfirmation {
  // How long a registration confirms a capacity. Duration::max(): without end.
  Duration validity = Duration::max();
  // The share of its largest capacity that an unconfirmed worker is assumed to
  // have, 0 to 1.
  double share = 0.5;
};

class UnconfirmedCapacity {
 public:
  explicit UnconfirmedCapacity(CapacityConfirmation confirmation)
      : confirmation_(confirmation) {}

  void SetConfirmation(CapacityConfirmation confirmation) {
    confirmation_ = confirmation;
  }

  // A worker registered `capacity`; `largest` is the most it has had.
  void DidRegister(const Resources& capacity,
                   const Resources& largest,
                   Time now);

  // The share that is assumed now.
  double ShareAt(Time now) const;

  Resources Assume(const Resources& largest, Time now) const;

  // When a registration stops to confirm the capacity. `registered_ms` and
  // `clock_ms` are readings of the worker's clock: at the registration, and at
  // the time `clock_at`. Time::max() if the registration has no reading.
  Time ConfirmedUntil(std::int64_t registered_ms,
                      std::int64_t clock_ms,
                      Time clock_at) const;

 private:
  CapacityConfirmation confirmation_;
  double least_share_ = 1;
  Time least_share_at_ = Time::min();
};

}  // namespace mustardbank
