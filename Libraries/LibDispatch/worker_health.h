// Judges workers by the ends of attempts: slow ones are used last, and ones
// that fail what they start, or can't be reached, get no work for a time and
// then one task on trial.
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
