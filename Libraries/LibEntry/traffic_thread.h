// A thread that moves bytes between callers, backend servers and the control
// thread, and decides nothing.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "LibCore/bounded_queue.h"
#include "LibDispatch/events.h"
#include "LibEntry/worker_client.h"
#include "LibFiber/fiber_thread.h"

namespace mustardbank {

// The control thread's work: an event, or a look at its state.
using EventQueue = BoundedQueue<Event>;

class TrafficThread {
 public:
  TrafficThread(std::uint32_t index,
                const std::string& data_center,
                EventQueue& events);

  FiberThread& thread() { return thread_; }

  // Hands an event of a caller to the control thread and waits for the reply;
  // only from a fiber of this thread. `make` gets the requester of the event.
  Reply Ask(const std::function<Event(Requester)>& make);

  // Takes actions from the control thread, in one batch.
  void Deliver(std::vector<ReplyToCaller>&& replies,
               std::vector<StartTask>&& starts);

  // The thread that a request belongs to.
  static std::uint32_t IndexOf(std::uint64_t request) {
    return static_cast<std::uint32_t>(request >> kIndexShift);
  }

 private:
  static constexpr int kIndexShift = 56;

  struct PendingReply {
    FiberSignal signal;
    Reply reply;
  };

  const std::uint32_t index_;
  EventQueue& events_;
  FiberThread thread_;
  WorkerClient workers_;
  std::uint64_t next_request_ = 1;
  std::unordered_map<std::uint64_t, PendingReply*> pending_;
};

}  // namespace mustardbank
