// The only thread that accesses the dispatch state: passes events to the
// dispatcher and the dispatcher's actions to the other threads.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "LibConfig/settings.h"
#include "LibDispatch/dispatch_state.h"
#include "LibEntry/traffic_thread.h"

namespace mustardbank {

// Receivers of the dispatcher's actions. The functions are called on the
// control thread.
struct ActionSinks {
  std::vector<TrafficThread*> traffic;
  std::function<void(Endpoint, wire::Envelope&&)> send_to_peer;
  std::function<void(BindKeys&&)> bind_keys;
  std::function<void(ReleaseKey&&)> release_key;
  std::function<void(PublishIdentity&&)> publish_identity;
  std::function<void(PublishSuccession&&)> publish_succession;
  std::function<void()> leave_finished;
};

class ControlThread {
 public:
  using Inspection = std::function<void(const DispatchState&)>;

  // Creates a control thread whose dispatcher uses the policy `placement`.
  static std::unique_ptr<ControlThread> Create(Placement placement,
                                               DispatchOptions options,
                                               EventQueue& events,
                                               ActionSinks sinks);
  virtual ~ControlThread() = default;

  virtual void Start() = 0;

  // Queues `inspection` to be called on the control thread after its next batch
  // of events. Callable from any thread.
  void Inspect(Inspection inspection);

 protected:
  std::vector<Inspection> TakeInspections();

 private:
  std::mutex mutex_;
  std::vector<Inspection> inspections_;
};

}  // namespace mustardbank
