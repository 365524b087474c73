// Registrations, reports and answers of workers, independent of the platform's
// encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"
#include "LibSchedule/resources.h"

namespace mustardbank {

// Counts down in each registration. Two values differ only if one of them is
// over: otherwise each list of workers would differ from the one before.
struct ColdTime {
  Duration remaining{};

  bool IsOver() const { return remaining.count() <= 0; }
  bool operator==(const ColdTime& other) const {
    return IsOver() == other.IsOver();
  }
};

// The reading of a worker's clock when it last registered. Advances with each
// heartbeat, and is not a difference between two registrations.
struct RegistrationClock {
  std::int64_t ms = 0;  // 0: not registered

  bool operator==(const RegistrationClock& /*other*/) const { return true; }
};

// A worker's registration.
struct WorkerEntry {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string data_center;
  Resources capacity;
  std::vector<std::string> labels;
  bool leaving = false;
  std::uint64_t incarnation = 0;  // time of its start, ms since 1970
  // For how much longer the worker is slow after its start, as registered.
  ColdTime cold;
  RegistrationClock registered;

  bool operator==(const WorkerEntry&) const = default;
};

// Returns why a registration names no worker to use, or "" if it does. Others
// than workers may write among the registrations; their names must not end up
// in headers, in keys of rows or, however long, in messages between VMs.
std::string_view FaultOf(const WorkerEntry& entry);

// Identifies one run of a task.
struct RunId {
  std::string task;
  std::uint32_t number = 0;  // increases with each start of the task

  auto operator<=>(const RunId&) const = default;
};

// The names of a job's tasks begin with its id and a dot.
inline std::string_view JobOf(std::string_view task) {
  return task.substr(0, task.find('.'));
}

// How a run ended. kLapsed: its lease expired, or its worker no longer has it.
// kBroken: its start command was refused or not delivered, or the other tasks
// of its gang did not start.
enum class RunEnd { kDone, kFailed, kStopped, kLapsed, kBroken };

inline constexpr EnumNames<RunEnd, 5> kRunEndNames{
    {"done", "failed", "stopped", "lapsed", "broken"}};

// What showed that a worker no longer has its runs.
enum class LossEvidence {
  kRefusedConnection,  // nothing listened at its address until the lease lapsed
  kSilent,             // it did not answer until the lease lapsed
  kReplaced,           // another worker answers at its address
  kRestarted,          // it reports a new incarnation
  kUnlisted,           // its registration was removed
};

inline constexpr EnumNames<LossEvidence, 5> kLossEvidenceNames{
    {"refused_connection", "silent", "replaced", "restarted", "unlisted"}};

struct RunningTask {
  RunId run;
  int percent = 0;  // progress
};

struct EndedTask {
  std::uint64_t sequence = 0;
  RunId run;
  RunEnd end = RunEnd::kDone;
};

// The answer to a lease renewal: all runs on the worker and all ends that are
// not acknowledged yet.
struct RenewReport {
  std::uint64_t incarnation = 0;
  std::int64_t clock_ms = 0;          // the worker's own clock
  std::optional<Resources> capacity;  // may change while the worker runs
  bool is_capacity_unreadable = false;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

// How a command to a worker was answered.
enum class CommandAnswer {
  kAccepted,
  kFenced,      // the worker has seen a higher fencing token
  kSuperseded,  // the worker knows a later run of the task
  kLate,        // the command's lease had already ended
  kNoRoom,      // not enough free capacity
  kUnhealthy,   // refused by a failing worker; nothing was done
  kMalformed,
  kOtherWorker,        // another worker or incarnation answers at the address
  kNotSent,            // no connection; nothing was done
  kRefusedConnection,  // nothing listens at the address
  kNoAnswer,           // may have been carried out, or may still be
};

inline constexpr EnumNames<CommandAnswer, 11> kCommandAnswerNames{
    {"accepted", "fenced", "superseded", "late", "no_room", "unhealthy",
     "malformed", "other_worker", "not_sent", "refused_connection",
     "no_answer"}};

}  // namespace mustardbank
