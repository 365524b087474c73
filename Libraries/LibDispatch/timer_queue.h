// Timers of the decision core, which Dispatcher::Tick() fires.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "LibCore/boot_clock.h"

namespace mustardbank {

enum class TimerKind : std::uint8_t {
  kJobDeadline,     // subject: sequence of the job
  kWaiterTimeout,   // subject: sequence of the job, detail: waiter
  kForwardTimeout,  // subject: forwarded request
  kForeignExpiry,   // subject: worker
};

struct Timer {
  Time at;
  TimerKind kind = TimerKind::kJobDeadline;
  std::uint64_t subject = 0;
  std::uint64_t detail = 0;

  bool operator<(const Timer& other) const { return at > other.at; }
};

class TimerQueue {
 public:
  void Add(Timer timer) { timers_.push(timer); }

  // Removes and returns the next timer that is due.
  std::optional<Timer> TakeDue(Time now) {
    if (timers_.empty() || timers_.top().at > now)
      return std::nullopt;
    const Timer timer = timers_.top();
    timers_.pop();
    return timer;
  }

  std::size_t size() const { return timers_.size(); }

 private:
  std::priority_queue<Timer> timers_;
};

}  // namespace mustardbank
