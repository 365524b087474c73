// Decides from the results of calls whether the store counts as lost, and when
// it is probed.
//
// While calls fail, a VM probes the store at short intervals instead of
// repeating all of its calls, so that its return is noticed without a storm of
// calls. A probe does not wait for the one before, since a silent store answers
// neither. Calls that were sent before the return may never be answered and are
// abandoned then.
//
// Designed for outages of seconds in which the store is silent or refuses
// calls, for all VMs or some of them, at up to hundreds of VMs.
#pragma once

#include <cstdint>
#include <random>

#include "LibCore/boot_clock.h"

namespace mustardbank {

struct StoreProbing {
  // Between the probes of one VM.
  Duration interval = std::chrono::milliseconds(200);
  // Among more VMs, the interval grows in proportion to their number.
  std::size_t vms = 48;
  // Probes deviate from the interval by up to this share, so that VMs don't
  // call all at once.
  double jitter = 0.25;
  int most_in_flight = 8;
  // Consecutive failed calls after which the store counts as lost.
  int failures_until_lost = 2;
  // If only some calls fail, those that wait for changes are repeated this
  // often at most.
  Duration abandon_interval = std::chrono::milliseconds(1000);
};

class StoreAvailability {
 public:
  StoreAvailability(StoreProbing probing, std::uint32_t seed)
      : probing_(probing), random_(seed) {}

  struct Change {
    bool was_lost = false;
    bool was_regained = false;
    // Calls that wait for an answer should be sent again.
    bool abandons_calls = false;
  };

  Change DidAnswer(Time now);
  Change DidFail(Time now);
  // A peer reaches the store again. It is probed at once if calls of this VM
  // fail, too.
  Change DidHearOfReturn(Time now);

  bool is_lost() const { return is_lost_; }
  Time answered_at() const { return answered_at_; }
  // Whether a probe is to be sent now. Counts it as sent. `vms`: in the
  // deployment.
  bool TakeProbe(std::size_t vms, Time now);
  void DidEndProbe() { --probes_in_flight_; }

 private:
  bool MayAbandon(Time now) const {
    return now - abandoned_at_ >= probing_.abandon_interval;
  }

  const StoreProbing probing_;
  std::minstd_rand random_;
  int failures_ = 0;  // consecutive
  bool is_lost_ = false;
  Time answered_at_{};
  Time abandoned_at_{};
  Time probe_at_{};
  int probes_in_flight_ = 0;
};

}  // namespace mustardbank
