// Orders from the owner of a worker, and other actions of the lease core.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibLease/job.h"
#include "LibLease/worker_report.h"

namespace mustardbank {

struct CommandTarget {
  std::string worker;
  Endpoint endpoint;
  std::uint64_t fencing_token = 0;
};

struct StartCommand {
  CommandTarget target;
  RunId run;
  std::shared_ptr<const std::string> payload;
  std::int64_t lease_until_ms = 0;  // on the worker's clock
  Time send_before;                 // a paused process must not send it later
  Duration timeout{};
};

struct StopCommand {
  CommandTarget target;
  RunId run;
  Duration timeout{};
};

// Renews the lease of all runs on the worker and asks what runs there.
struct RenewCommand {
  CommandTarget target;
  std::uint64_t number = 0;         // counts the holds of one worker
  std::int64_t lease_until_ms = 0;  // on the worker's clock; 0: no renewal
  std::uint64_t acknowledged = 0;   // ends up to this one are processed
  Duration wait{};                  // the worker answers at the next end
  bool fresh_connection = false;    // the pooled ones may be silent
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
