// Chooses the worker for a task among those that can start it now.
#pragma once

#include <map>
#include <set>
#include <string>

#include "LibLease/leased_worker.h"
#include "LibSchedule/job.h"
#include "LibSchedule/worker_speeds.h"

namespace mustardbank {

struct PlacementQuery {
  const TaskGroup& group;
  const std::string& service;
  const std::string& job;
  // A worker where the task failed before, chosen only if no other can run it.
  const std::string& avoided;
  const LeaseTiming& timing;
  const WorkerSpeeds& speeds;
  Duration run_time{};         // expected on a reference worker
  Duration latest_run_time{};  // that still meets the job's objective
  // Queues whose tasks crash workers.
  const std::set<std::string>* blamed_queues = nullptr;
  const std::string* queue = nullptr;
  // Such a job may start its remaining tasks on evacuated workers for a while.
  bool is_job_started = false;
};

// Returns null if no worker can start the task now.
LeasedWorker* ChooseWorker(std::map<std::string, LeasedWorker>& workers,
                           const PlacementQuery& query,
                           Time now);

// The worker that can run the task alone the soonest. It may have runs that
// must end first. Null if no worker can be kept for the task.
LeasedWorker* ChooseExclusiveWorker(
    std::map<std::string, LeasedWorker>& workers,
    const PlacementQuery& query,
    Time now);

}  // namespace mustardbank
