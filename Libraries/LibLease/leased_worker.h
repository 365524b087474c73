// The owner's state of a worker: its incarnation, its lease and the runs that
// use its capacity.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibLease/commands.h"
#include "LibLease/lease_timing.h"
#include "LibLease/worker_report.h"
#include "LibSchedule/crash_history.h"
#include "LibSchedule/outcome_health.h"
#include "LibSchedule/resources.h"

namespace mustardbank {

enum class RunState {
  kStarting,  // the start command has not been answered yet
  kRunning,
  kUnknown,   // the start command timed out; the task may run or not
  kStopping,  // a stop command was issued
};

struct LeasedRun {
  RunId id;
  std::string job;  // "" once the job has ended
  std::string queue;
  std::size_t task = 0;
  Resources size;
  RunState state = RunState::kStarting;
  Time started;
  Duration expected{};  // on this worker
  int percent = 0;
  Time progressed;  // when the report was made in which `percent` last rose
  bool was_seen = false;  // an answer or a report showed the run
  // Number of the first lease renewal whose report shows for certain whether
  // the worker still has the run. Set when a start or stop command is accepted.
  std::optional<std::uint64_t> conclusive_renewal;
  // Number of the first lease renewal sent after the start timed out.
  std::uint64_t first_probe = 0;
  bool stop_in_flight = false;
  Time stop_again;  // earliest time of the next stop command

  // A run that has exceeded its expected time is assumed to need a tenth of
  // that time more.
  Duration TimeLeft(Time now) const {
    return std::max(expected / 10, expected - (now - started));
  }
};

// A start command that was never answered and whose lease has lapsed by the
// clock of the incarnation that was known when it was sent. A worker that had
// restarted unnoticed by then has another clock and may still carry it out.
struct UnsettledStart {
  RunId id;
  Time started;
  Resources size;
  bool stop_in_flight = false;
  Time stop_again;  // earliest time of the next stop command
  // Number of the first lease renewal sent after a stop command was accepted.
  // Its report lists the run if the worker has it after all.
  std::optional<std::uint64_t> conclusive_renewal;
};

enum class WorkerPhase {
  kUnverified,  // no report yet; the worker may have runs of a former owner
  kHeld,        // answers lease renewals
  kSuspect,     // no answer, or an answer that contradicts the state kept here
  kDown,        // nothing listens at its address
};

inline constexpr EnumNames<WorkerPhase, 4> kWorkerPhaseNames{
    {"unverified", "held", "suspect", "down"}};

struct LeasedWorker {
  WorkerEntry entry;
  std::uint64_t fencing_token = 0;
  bool releasing = false;  // handed over to another owner once idle
  bool unlisted = false;   // its registration was removed
  WorkerPhase phase = WorkerPhase::kUnverified;
  std::uint64_t incarnation = 0;  // of the last report
  // When the registration of that incarnation is looked up next, while the one
  // known is of another.
  Time lookup_at{};
  Duration lookup_interval{};
  bool has_clock = false;
  std::int64_t clock_ms = 0;  // reading of the worker's clock at `clock_at`
  Time clock_at;
  bool has_report = false;  // of this incarnation
  // Of the last report of this incarnation that named it.
  std::optional<Resources> reported_capacity;
  std::int64_t report_clock_ms = 0;  // worker's clock in its last report
  Time report_made_at;
  Time lapsed_at;    // all leases granted so far have ended by this time
  Time answered_at;  // of the last answer to any command
  std::uint64_t next_renewal_number = 1;
  std::uint64_t awaited_renewal = 0;  // number of the renewal in flight, or 0
  Time next_renewal_at;               // earliest time of the next one
  Time renewal_overdue_at;            // when the awaited answer gets overdue
  // Renewals sent while another was overdue, since the last answer.
  int overlapping_renewals = 0;
  Time lossy_until;  // answers were lost recently, so losses are likely
  int unanswered_renewals = 0;
  std::uint64_t acknowledged = 0;  // last processed EndedTask::sequence
  std::uint64_t acknowledged_sent = 0;
  std::map<std::string, LeasedRun> runs;                   // by task
  std::map<std::string, UnsettledStart> unsettled_starts;  // by task
  std::set<std::string> foreign_tasks;  // runs not started by this owner
  OutcomeHealth outcome_health;
  // A task that must not share the worker runs here, or will once the other
  // runs have ended.
  std::string reserved_for;
  Time down_since;  // while nothing listens at its address
  std::optional<IncarnationId>
      lost;  // the incarnation that was recorded as lost
  // The capacity may have changed since the registration after this time, and
  // starts then count on `unconfirmed_capacity` at most.
  Time confirmed_until = Time::max();
  // The same from reports of this incarnation that named the capacity.
  Time reported_until = Time::min();
  Resources unconfirmed_capacity;
  Resources largest_capacity;  // registered so far
  // Its data centre is evacuated. Tasks of jobs that have started may still
  // start here before `last_starts_until`.
  bool is_evacuated = false;
  Time last_starts_until;
  // Bounds the time for which the worker counts as cold, since the registration
  // is not renewed during an outage of the store.
  Time cold_until;

  // The capacity that both the registration and the last report allow: either
  // of them may be the newer one.
  Resources LastCapacity() const {
    return reported_capacity ? LesserOf(entry.capacity, *reported_capacity)
                             : entry.capacity;
  }

  // The capacity that starts may count on.
  Resources Capacity(Time now) const {
    return now <= confirmed_until
               ? LastCapacity()
               : LesserOf(LastCapacity(), unconfirmed_capacity);
  }

  // The capacity that no run uses. Runs count until they are known to have
  // ended, and unanswered starts until they can no longer be carried out. Below
  // 0 if the runs need more than the worker has left.
  Resources FreeCapacity(Time now) const {
    Resources free_capacity = Capacity(now);
    for (const auto& [task, run] : runs)
      free_capacity -= run.size;
    for (const auto& [task, start] : unsettled_starts)
      free_capacity -= start.size;
    return free_capacity;
  }

  // Whether the registration is of another incarnation than the last report. It
  // may have had another service, other labels or another data centre.
  bool HasForeignRegistration() const {
    return incarnation != 0 && entry.incarnation != 0 &&
           incarnation != entry.incarnation;
  }

  // Whether the worker has registered anew since its last report.
  bool AwaitsReport() const {
    return incarnation != 0 && entry.incarnation > incarnation;
  }

  bool IsCold(Time now) const {
    return !entry.cold.IsOver() && now < cold_until;
  }

  bool CanStart(const LeaseTiming& timing,
                Time now,
                bool is_job_started = false) const {
    return reserved_for.empty() && IsAvailable(timing, now, is_job_started);
  }

  // Whether a task may start, but for a task that the worker is kept for.
  bool IsAvailable(const LeaseTiming& timing,
                   Time now,
                   bool is_job_started) const {
    if (HasForeignRegistration())
      return false;
    if (is_evacuated && !(is_job_started && now < last_starts_until))
      return false;
    // A cold worker warms up with one task at a time.
    if (IsCold(now) && !runs.empty())
      return false;
    if (phase != WorkerPhase::kHeld || entry.leaving || releasing || unlisted ||
        !foreign_tasks.empty() || now - answered_at > timing.max_answer_age)
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

  // Whether the capacity counts for the admission of jobs.
  bool CountsForAdmission() const {
    return phase == WorkerPhase::kHeld && !entry.leaving && !releasing &&
           !is_evacuated && !HasForeignRegistration() &&
           outcome_health.strikes() <= 1;
  }

  IncarnationId IncarnationKey() const {
    return IncarnationIdOf(entry.id,
                           incarnation != 0 ? incarnation : entry.incarnation);
  }

  bool IsIdle() const { return runs.empty() && foreign_tasks.empty(); }

  // Returns the end of a lease that begins now, on the worker's clock. Also
  // raises `lapsed_at` to the latest time at which that lease can end if the
  // worker's clock is slow by the allowed drift.
  std::int64_t GrantLease(const LeaseTiming& timing, Time now) {
    const double granted_ms =
        ToMilliseconds(now - clock_at) + ToMilliseconds(timing.lease);
    lapsed_at = std::max(
        lapsed_at,
        clock_at + FromMilliseconds(granted_ms / (1 - timing.clock_drift)));
    return clock_ms + static_cast<std::int64_t>(granted_ms);
  }

  // Returns when a report was made that shows `worker_clock_ms` and arrived
  // now. It may have waited on the network, or for this process to resume.
  // Advances a little faster than the worker's clock, which may be slow.
  Time ReadReportTime(std::int64_t worker_clock_ms, Time now) {
    constexpr double kAdvance = 1.05;
    const double since_last_ms =
        static_cast<double>(worker_clock_ms - report_clock_ms);
    const Time made_at =
        has_report
            ? std::min(now, report_made_at +
                                FromMilliseconds(kAdvance * since_last_ms))
            : now;
    // Answers to overlapping renewals may arrive in another order.
    if (!has_report || since_last_ms > 0) {
      has_report = true;
      report_clock_ms = worker_clock_ms;
      report_made_at = made_at;
    }
    return made_at;
  }

  void ReadClock(std::int64_t worker_clock_ms, Time now) {
    has_clock = true;
    clock_ms = worker_clock_ms;
    clock_at = now;
  }
};

}  // namespace mustardbank
