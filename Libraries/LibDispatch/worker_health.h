// Tracks the health of workers by the results of attempts. Slow workers are
// chosen last. A worker that is unreachable, or on which tasks of several jobs
// fail, gets no work for a time, and then one task at a time until one
// succeeds.
#pragma once

#include "LibDispatch/dispatch_state.h"

namespace mustardbank {

class WorkerHealth {
 public:
  explicit WorkerHealth(DispatchState& state) : state_(state) {}

  void DidEnd(const InFlightAttempt& attempt,
              const AttemptEnded& event,
              Time now);

 private:
  void DidSucceed(const InFlightAttempt& attempt,
                  const AttemptEnded& event,
                  Worker& worker);
  void DidFail(const AttemptEnded& event, Worker& worker, Time now);
  void DidRefuseBusy(const InFlightAttempt& attempt, Worker& worker, Time now);
  void Bar(Worker& worker, Duration duration, Time now);
  bool MayQuarantineMore(Time now) const;

  DispatchState& state_;
};

}  // namespace mustardbank
