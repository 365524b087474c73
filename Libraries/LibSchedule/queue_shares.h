// Shares of queues in the capacity of an owner. A queue within its share is
// limited by nothing but the capacity. Beyond it, in a burst, it may use what
// is left when the unused shares of the other queues are kept free, as far as
// those could be asked for before the job's tasks end.
//
// Designed for a base load of 0.6 of all processors and bursts of one queue of
// 1.8 times for some seconds, on 6 to 24 workers that each run two or three
// tasks. With ample capacity or a single queue nothing is limited.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "LibSchedule/admission.h"

namespace mustardbank {

// Steady demand of a queue. It is kept relative to the capacity of the owner
// that learned it: homes spread jobs over owners by their capacity, so that an
// owner with more or fewer workers meets the same relative load.
struct QueueDemand {
  double load = 0;             // work arriving in a second over capacity
  double peak_millicores = 0;  // of a job on average
  double run_ms = 0;           // of a job on average
  double seconds = 0;          // for how long it was learned

  // What a row with values of other types contains; it is not plausible.
  static QueueDemand Unreadable();

  // Whether the numbers can be the result of observations.
  bool IsPlausible() const;

  bool operator==(const QueueDemand&) const = default;
};

// Millicores that run or wait, by queue.
using QueueUses = std::map<std::string, double>;

struct ShareDecision {
  bool is_allowed = true;
  double reserved = 0;  // millicores to keep free for other queues
};

class QueueShares {
 public:
  // Learns from a job that arrived here, whether it is admitted or not.
  void DidArrive(const JobRequest& job,
                 const JobEstimate& estimate,
                 double capacity,
                 Time now);

  // Decides whether the job may use capacity now. `uses` is without the job.
  ShareDecision Decide(const JobRequest& job,
                       const JobEstimate& estimate,
                       double capacity,
                       const QueueUses& uses) const;

  // The share of each queue that sent a job to this owner, in millicores. The
  // shares never exceed the capacity that tasks can use.
  QueueUses Shares(double capacity) const;

  std::map<std::string, QueueDemand> Learned() const;
  // Takes over what an earlier process learned, unless this one has learned
  // more. Returns whether the numbers are plausible.
  bool Recall(const std::string& queue, const QueueDemand& demand);

 private:
  struct Queue {
    QueueDemand demand;
    // Arrived here, up to a limit. A recalled queue has no share before its
    // first job, so that a wrong row reserves nothing for queues that do not
    // exist.
    std::uint32_t jobs = 0;
    // From the last job.
    std::uint32_t priority = 0;
    double slack_ms = 0;  // how long a job can wait and be in time
  };

  void Advance(Time now);
  void ForgetLeast();

  std::map<std::string, Queue> queues_;
  Time advanced_to_;
};

}  // namespace mustardbank
