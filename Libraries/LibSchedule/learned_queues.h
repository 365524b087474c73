// What a dispatcher has learned about the jobs of each queue. It is kept in the
// platform's store, so that a VM decides well from its start, also after all
// VMs have lost power.
#pragma once

#include <map>
#include <string>

#include "LibSchedule/caller_timeouts.h"
#include "LibSchedule/duration_estimator.h"
#include "LibSchedule/queue_shares.h"

namespace mustardbank {

struct QueueStatistics {
  RunTimeStatistics run_times;
  TimeoutStatistics timeouts;
  QueueDemand demand;  // all zero in rows of builds without shares

  bool operator==(const QueueStatistics&) const = default;
};

using LearnedQueues = std::map<std::string, QueueStatistics>;  // by name

}  // namespace mustardbank
