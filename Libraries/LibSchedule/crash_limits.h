// Limits the workers that the tasks of one queue may crash at the cost of other
// queues.
//
// A suspected task is tried again alone. How such trials end shows whether the
// tasks of its queue are what crashes the workers, or the workers crash for
// reasons of their own; only in the first case the queue is limited. Its jobs
// are refused, and its suspects not tried again, while it has lost more workers
// than the other queues can spare.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "LibCore/boot_clock.h"

namespace mustardbank {

class CrashLimits {
 public:
  // A worker crashed. `weight` is the likelihood that a task of the queue is
  // the cause, if one is.
  void DidCrash(const std::string& queue,
                const std::string& worker,
                double weight,
                Time now);
  // The worker answers again.
  void DidReturn(const std::string& worker);
  // A suspected task of the queue ran alone on a worker.
  void DidTry(const std::string& queue, bool has_crashed, Time now);

  // Whether suspected tasks of the queue are probably the cause.
  bool IsBlamed(const std::string& queue, Time now) const;
  std::set<std::string> Blamed(Time now) const;
  // Workers that the queue has crashed and that are probably still missing.
  double LostBy(const std::string& queue, Time now) const;
  double Lost(Time now) const;

  // When the queue may next risk a worker, if it may lose at most `limit`. Not
  // later than now if it may at once, or is not blamed.
  Time EarliestRisk(const std::string& queue, double limit, Time now) const;

  // A worker that crashed is listed again, maybe under another id, and answers
  // after this time.
  static constexpr Duration kDownTime = std::chrono::seconds(4);

 private:
  struct Loss {
    std::string worker;
    Time at;
    double weight = 0;
  };
  struct Trial {
    Time at;
    bool has_crashed = false;
  };
  struct Queue {
    std::deque<Loss> losses;
    std::deque<Trial> trials;
  };

  void Forget(Time now);

  std::map<std::string, Queue> queues_;
};

}  // namespace mustardbank
