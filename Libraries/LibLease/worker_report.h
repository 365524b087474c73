// What workers say of themselves, in the project's own terms.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"
#include "LibLease/resources.h"

namespace mustardbank {

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

  bool operator==(const WorkerEntry&) const = default;
};

// Names one start of a task.
struct RunId {
  std::string task;
  std::uint32_t number = 0;  // rises with each start of the task

  auto operator<=>(const RunId&) const = default;
};

// The names of a job's tasks begin with its id and a dot.
inline std::string_view JobOf(std::string_view task) {
  return task.substr(0, task.find('.'));
}

enum class RunEnd { kDone, kFailed, kStopped, kLapsed, kBroken };

inline constexpr EnumNames<RunEnd, 5> kRunEndNames{
    {"done", "failed", "stopped", "lapsed", "broken"}};

struct RunningTask {
  RunId run;
  int percent = 0;  // of its work
};

struct EndedTask {
  std::uint64_t sequence = 0;
  RunId run;
  RunEnd end = RunEnd::kDone;
};

// The answer to a hold: all runs on the worker and all ends not acknowledged.
struct RenewReport {
  std::uint64_t incarnation = 0;
  std::int64_t clock_ms = 0;  // the worker's own clock
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

// How an order to a worker was answered.
enum class CommandAnswer {
  kAccepted,
  kFenced,      // a higher fencing token was used
  kSuperseded,  // a later run of the task is known there
  kLate,        // the order's lease had ended
  kNoRoom,
  kUnhealthy,  // refused; nothing was done
  kMalformed,
  kOtherWorker,        // another worker, or another life of it, answers there
  kNotSent,            // no connection; nothing was done
  kRefusedConnection,  // nothing listens at the address
  kNoAnswer,           // may have been carried out, or may be later
};

inline constexpr EnumNames<CommandAnswer, 11> kCommandAnswerNames{
    {"accepted", "fenced", "superseded", "late", "no_room", "unhealthy",
     "malformed", "other_worker", "not_sent", "refused_connection",
     "no_answer"}};

}  // namespace mustardbank
