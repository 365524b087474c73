// Unfinished jobs of the current incarnation of this VM.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibDispatch/events.h"
#include "LibDispatch/fair_queue.h"
#include "LibDispatch/worker_table.h"

namespace mustardbank {

enum class TaskState : std::uint8_t { kQueued, kRunning, kDone };

struct Task {
  std::string request;
  std::string payload;
  std::string result;  // JSON text
  Duration expected{0};
  std::uint32_t timeout_ms = 0;
  std::uint32_t attempt = 0;   // number of the current or last attempt
  std::uint16_t refusals = 0;  // attempts that were not run
  std::uint16_t failures = 0;  // attempts that ended in failure
  TaskState state = TaskState::kQueued;
  bool idempotent = true;
};

struct Waiter {
  Requester requester;
  std::uint64_t timer = 0;
};

struct Job {
  std::uint64_t sequence = 0;
  std::string id;  // encoded
  std::string service;
  TeamIndex team = 0;
  std::uint32_t placement_class = 0;
  bool retry_failed = false;
  std::uint64_t digest = 0;
  Time submitted;
  Time virtual_deadline;
  std::vector<Task> tasks;
  std::uint32_t unfinished = 0;
  std::uint32_t started = 0;  // attempts that may have run
  std::uint32_t queued = 0;
  std::vector<Waiter> waiters;
};

using JobTable = std::unordered_map<std::uint64_t, Job>;

}  // namespace mustardbank
