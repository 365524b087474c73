// Timestamps from which a VM tells how old the messages of its peers are.
//
// The clocks of two VMs have no common origin, and a message may wait on the
// network or in a socket for seconds: a partition holds up what was sent over
// an open connection. Each VM therefore stamps its heartbeats and answers with
// its own clock. A peer returns the newest stamp that it has received (an echo)
// with what it sends to that VM. The message can't have been sent before the
// stamp was, so that the receiver bounds its age by its own clock alone.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>

#include "LibCore/boot_clock.h"

namespace mustardbank {

// A reading of the clock of one incarnation of a VM.
struct ClockStamp {
  std::uint64_t incarnation = 0;
  Time at{};

  auto operator<=>(const ClockStamp&) const = default;
};

// Returns the greatest age that a message with this echo can have, at its
// receiver of the given incarnation. Duration::max() if the echo shows no
// bound: it names an earlier incarnation, or a time that has not come yet.
// Empty if there is no echo, as from builds that send none.
inline std::optional<Duration> GreatestAge(
    const std::optional<ClockStamp>& echo,
    std::uint64_t incarnation,
    Time now) {
  if (!echo)
    return std::nullopt;
  if (echo->incarnation != incarnation || echo->at > now)
    return Duration::max();
  return now - echo->at;
}

// Estimates when the messages of a peer were sent from the readings of its
// clock that they carry. A message that waited on its way, or in a socket while
// this process was paused, counts from its sending.
//
// The first message counts as sent when it arrives. The estimate advances a
// little faster than the sender's clock, which may be slow.
class RemoteClock {
 public:
  // Returns when a message was sent that shows `reading` and arrived now, never
  // later than now.
  Time SentAt(Duration reading, Time now) {
    const Time sent_at =
        reading_ ? std::min(now, sent_at_ + Advance(reading - *reading_)) : now;
    // Messages may arrive in another order.
    if (!reading_ || reading > *reading_) {
      reading_ = reading;
      sent_at_ = sent_at;
    }
    return sent_at;
  }

  // Whether a message that shows a later reading has arrived before.
  bool IsOvertaken(Duration reading) const {
    return reading_ && reading < *reading_;
  }
  // The sender has restarted: its clock may begin anew.
  void Reset() { reading_.reset(); }

 private:
  static Duration Advance(Duration elapsed) { return elapsed + elapsed / 20; }

  std::optional<Duration> reading_;  // the latest
  Time sent_at_{};
};

}  // namespace mustardbank
