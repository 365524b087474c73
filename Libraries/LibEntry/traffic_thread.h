// A thread for the network traffic with callers and backend servers. Leaves all
// scheduling decisions to the control thread.
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

// The events that the control thread handles.
using EventQueue = BoundedQueue<Event>;

class TrafficThread {
 public:
  TrafficThread(std::uint32_t index,
                const std::string& data_center,
                EventQueue& events);

  FiberThread& thread() { return thread_; }

  // Sends a caller's event to the control thread and suspends the calling
  // fiber, which must run on this thread, until the reply arrives. `make`
  // returns the event for the given requester.
  Reply Ask(const std::function<Event(Requester)>& make);

  // Performs a batch of actions; called by the control thread.
  void Deliver(std::vector<ReplyToCaller>&& replies,
               std::vector<StartTask>&& starts);

  // Returns the index of the traffic thread that handles a request.
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
