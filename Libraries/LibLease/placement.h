// Chooses the worker for a task: best fit by processors. Most workers run only
// two or three tasks, so fragmented free capacity is lost.
#pragma once

#include <map>
#include <string>

#include "LibLease/leased_worker.h"
#include "LibSchedule/job.h"

namespace mustardbank {

struct PlacementQuery {
  const TaskGroup& group;
  const std::string& service;
  const std::string& job;
  // A worker where the task failed before, chosen only if no other can run it.
  const std::string& avoided;
  const LeaseTiming& timing;
  bool is_job_started = false;
};

// Returns null if no worker can start the task now.
LeasedWorker* ChooseWorker(std::map<std::string, LeasedWorker>& workers,
                           const PlacementQuery& query,
                           Time now);

}  // namespace mustardbank
