// Chooses the worker for a task: best fit by processors, since most workers
// hold two or three tasks and room that is broken up is lost.
#pragma once

#include <map>
#include <string>

#include "LibLease/job.h"
#include "LibLease/leased_worker.h"

namespace mustardbank {

struct PlacementQuery {
  const TaskGroup& group;
  const std::string& service;
  const std::string& job;
  // A worker where the task failed before; taken only if it must be.
  const std::string& avoided;
  const LeaseTiming& timing;
};

// Returns null if no worker can start the task now.
LeasedWorker* ChooseWorker(std::map<std::string, LeasedWorker>& workers,
                           const PlacementQuery& query,
                           Time now);

}  // namespace mustardbank
