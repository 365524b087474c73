// Commands from the owner of a worker to the worker, and other actions that
// LeaseDispatcher asks its caller to carry out.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibLease/worker_report.h"
#include "LibSchedule/job.h"

namespace mustardbank {

struct CommandTarget {
  std::string worker;
  Endpoint endpoint;
  std::uint64_t fencing_token = 0;
};

struct StartCommand {
  CommandTarget target;
  // Of the worker, when it was chosen by its labels and its capacity.
  std::uint64_t incarnation = 0;
  RunId run;
  std::shared_ptr<const std::string> payload;
  std::int64_t lease_until_ms = 0;  // on the worker's clock
  // Not sent after this time: the process may have been paused since the
  // decision, and the lease is counted from it.
  Time send_before;
  Duration timeout{};
};

struct StopCommand {
  CommandTarget target;
  RunId run;
  Duration timeout{};
};

// Renews the lease of all runs on the worker and polls its runs.
struct RenewCommand {
  CommandTarget target;
  std::uint64_t number = 0;         // counts the renewals of one worker
  std::int64_t lease_until_ms = 0;  // on the worker's clock; 0: poll only
  std::uint64_t acknowledged = 0;   // last processed EndedTask::sequence
  // The worker answers at the next end of a run, or after this time.
  Duration wait{};
  bool fresh_connection = false;  // pooled connections may be dead
  // Not sent after this time, when the lease has run out.
  Time send_before;
  Duration timeout{};
};

struct FinishJob {
  std::string job;
  std::string home;
  JobResult result;
};

using LeaseAction =
    std::variant<StartCommand, StopCommand, RenewCommand, FinishJob>;

}  // namespace mustardbank
