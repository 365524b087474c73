// What the owner of a worker knows of it: its life, its lease, the runs that
// take up its room.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibLease/commands.h"
#include "LibLease/lease_timing.h"
#include "LibLease/outcome_health.h"
#include "LibLease/resources.h"
#include "LibLease/worker_report.h"

namespace mustardbank {

enum class RunState {
  kStarting,  // ordered, not answered
  kRunning,
  kUnknown,  // the order was not answered
  kStopping,
};

struct LeasedRun {
  RunId id;
  std::string job;  // "" if nobody waits for it any more
  std::size_t task = 0;
  Resources size;
  RunState state = RunState::kStarting;
  Time started;
  Duration expected{};
  int percent = 0;
  Time progressed;  // when `percent` last rose
  // Number of the first hold whose report settles whether the run is there.
  std::optional<std::uint64_t> settled_by;
  bool stop_in_flight = false;
  Time stop_again;  // not before this time
};

enum class WorkerPhase {
  kUnverified,  // what runs there is not known
  kHeld,
  kSuspect,  // orders are not answered
  kDown,     // nothing listens at its address
};

inline constexpr EnumNames<WorkerPhase, 4> kWorkerPhaseNames{
    {"unverified", "held", "suspect", "down"}};

struct LeasedWorker {
  WorkerEntry entry;
  std::uint64_t fencing_token = 0;
  bool releasing = false;  // goes to another owner once it is idle
  bool unlisted = false;   // its registration is gone
  WorkerPhase phase = WorkerPhase::kUnverified;
  std::uint64_t incarnation = 0;  // of the last report
  bool has_clock = false;
  std::int64_t clock_ms = 0;  // the worker's clock at `clock_at`
  Time clock_at;
  Time lapsed_at;    // all leases granted so far have ended by then
  Time answered_at;  // the last answer of any kind
  std::uint64_t next_renewal_number = 1;
  std::uint64_t awaited_renewal = 0;  // number of the hold in flight, or 0
  Time next_renewal_at;               // not before this time
  Time renewal_overdue_at;       // the answer in flight is expected by then
  int overlapping_renewals = 0;  // sent after that, since the last answer
  Time lossy_until;              // answers of it were lost lately
  int unanswered_renewals = 0;
  std::uint64_t acknowledged = 0;  // ends processed
  std::uint64_t acknowledged_sent = 0;
  std::map<std::string, LeasedRun> runs;  // by task
  std::size_t foreign_runs = 0;  // runs there that this owner did not start
  OutcomeHealth outcome_health;

  // Room not taken by any run that may be there.
  Resources FreeCapacity() const {
    Resources free_capacity = entry.capacity;
    for (const auto& [task, run] : runs)
      free_capacity -= run.size;
    return free_capacity;
  }

  bool CanStart(const LeaseTiming& timing, Time now) const {
    if (phase != WorkerPhase::kHeld || entry.leaving || releasing || unlisted ||
        foreign_runs > 0 || now - answered_at > timing.max_answer_age)
      return false;
    switch (outcome_health.AvailabilityAt(now)) {
      case OutcomeHealth::Availability::kExcluded:
        return false;
      case OutcomeHealth::Availability::kTrial:
        return runs.empty();
      case OutcomeHealth::Availability::kFull:
        return true;
    }
    return false;
  }

  bool IsIdle() const { return runs.empty() && foreign_runs == 0; }

  // The end of a lease that begins now, on the worker's clock. Notes the
  // latest time at which that lease will have ended, however slow the
  // worker's clock is.
  std::int64_t GrantLease(const LeaseTiming& timing, Time now) {
    const double granted_ms =
        ToMilliseconds(now - clock_at) + ToMilliseconds(timing.lease);
    lapsed_at = std::max(
        lapsed_at,
        clock_at + FromMilliseconds(granted_ms / (1 - timing.clock_drift)));
    return clock_ms + static_cast<std::int64_t>(granted_ms);
  }

  void ReadClock(std::int64_t worker_clock_ms, Time now) {
    has_clock = true;
    clock_ms = worker_clock_ms;
    clock_at = now;
  }
};

}  // namespace mustardbank
