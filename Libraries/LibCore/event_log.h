// Structured log lines (logfmt) in a bounded buffer in memory. Writing a line
// never blocks: beyond a budget of lines a second, or when the buffer is full,
// lines are dropped and counted, and a later line says how many.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/boot_clock.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

enum class LogEvent {
  kStarted,
  kStopping,
  kStopped,
  kReloaded,
  kSettingReplaced,
  kConfigurationInForce,
  kConfigurationUnreadable,
  kEvacuationRequested,
  kEvacuationWithdrawn,
  kEvacuationUnreadable,
  kStartsHeld,
  kStartsResumed,
  kStoreLost,
  kStoreRegained,
  kStoreRowUnreadable,
  kPeerLost,
  kPeerRegained,
  kShardClaimed,
  kShardClaimFailed,
  kShardLost,
  kShardHandedOver,
  kShardReleased,
  kWorkerAdded,
  kWorkerRemoved,
  kWorkerPhase,
  kWorkerExcluded,
  kWorkerLost,
  kWorkerCapacity,
  kRegistrationAwaited,
  kCapacityUnconfirmed,
  kCapacityConfirmed,
  kWorkersNotShared,
  kJobReceived,
  kJobForwarded,
  kJobAdmitted,
  kJobRefused,
  kJobEnded,
  kJobCancelled,
  kTaskStarted,
  kTaskStartFailed,
  kTaskEnded,
  kTaskStopped,
  kTaskBlamed,
  kAnswered,
  kRequestMalformed,
  kRequestStale,
  kUnexpectedError,
  kLinesDropped,
};

inline constexpr EnumNames<LogEvent, 48> kLogEventNames{
    {"started",
     "stopping",
     "stopped",
     "reloaded",
     "setting_replaced",
     "configuration_in_force",
     "configuration_unreadable",
     "evacuation_requested",
     "evacuation_withdrawn",
     "evacuation_unreadable",
     "starts_held",
     "starts_resumed",
     "store_lost",
     "store_regained",
     "store_row_unreadable",
     "peer_lost",
     "peer_regained",
     "shard_claimed",
     "shard_claim_failed",
     "shard_lost",
     "shard_handed_over",
     "shard_released",
     "worker_added",
     "worker_removed",
     "worker_phase",
     "worker_excluded",
     "worker_lost",
     "worker_capacity",
     "registration_awaited",
     "capacity_unconfirmed",
     "capacity_confirmed",
     "workers_not_shared",
     "job_received",
     "job_forwarded",
     "job_admitted",
     "job_refused",
     "job_ended",
     "job_cancelled",
     "task_started",
     "task_start_failed",
     "task_ended",
     "task_stopped",
     "task_blamed",
     "answered",
     "request_malformed",
     "request_stale",
     "unexpected_error",
     "lines_dropped"}};

enum class LogField {
  kJob,
  kTask,
  kRun,
  kQueue,
  kWorker,
  kShard,
  kDataCenter,
  kPeer,
  kVersion,
  kToken,
  kCause,
  kOutcome,
  kStatus,
  kAgeMs,  // age of the data behind the decision
  kElapsedMs,
  kExpectedMs,
  kLeftMs,    // time left until the deadline
  kWaitedMs,  // by the caller, since its first try
  kRetryAfterMs,
  kRoom,  // free millicores of a worker
  kSize,  // millicores needed
  kTasks,
  kQueued,
  kPhase,
  kStrikes,
  kCount,
  kHome,
  kVia,
  kReason,
  kFactorPercent,  // run time of a worker relative to a reference worker
  kLostWorkers,    // workers lost while they ran the task
};

inline constexpr EnumNames<LogField, 31> kLogFieldNames{{"job",
                                                         "task",
                                                         "run",
                                                         "queue",
                                                         "worker",
                                                         "shard",
                                                         "data_center",
                                                         "peer",
                                                         "version",
                                                         "token",
                                                         "cause",
                                                         "outcome",
                                                         "status",
                                                         "age_ms",
                                                         "elapsed_ms",
                                                         "expected_ms",
                                                         "left_ms",
                                                         "waited_ms",
                                                         "retry_after_ms",
                                                         "room",
                                                         "size",
                                                         "tasks",
                                                         "queued",
                                                         "phase",
                                                         "strikes",
                                                         "count",
                                                         "home",
                                                         "via",
                                                         "reason",
                                                         "factor_percent",
                                                         "lost_workers"}};

// kPerRequest lines are limited by the budget. kState lines, about the state of
// the whole process, are few and are dropped only if the buffer is full.
enum class LogBudget { kPerRequest, kState };

class EventLog {
 public:
  struct Limits {
    std::uint32_t lines_per_second = 400;
    std::size_t buffer_bytes = 256 * 1024;
  };

  // A line that is being written. The destructor ends it with a line feed.
  class Line {
   public:
    explicit Line(std::string* buffer) : buffer_(buffer) {}
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    ~Line() {
      if (buffer_)
        *buffer_ += '\n';
    }
    Line& Add(LogField field, std::string_view value);
    Line& Add(LogField field, std::integral auto value) {
      if (buffer_)
        AppendRaw(field, std::to_string(value));
      return *this;
    }
    Line& Add(LogField field, Duration value) {
      if (buffer_)
        AppendRaw(field, std::to_string(
                             static_cast<std::int64_t>(ToMilliseconds(value))));
      return *this;
    }

   private:
    void AppendRaw(LogField field, std::string_view text);

    std::string* buffer_;  // null: the line is dropped
  };

  explicit EventLog(std::string process)
      : EventLog(std::move(process), Limits{}) {}
  EventLog(std::string process, Limits limits)
      : process_(std::move(process)), limits_(limits) {}

  // Sets wall time minus boot time. Lines carry the wall time.
  void SetWallOffset(std::chrono::milliseconds offset) { offset_ = offset; }

  void SetLinesPerSecond(std::uint32_t lines) {
    limits_.lines_per_second = lines;
  }

  Line Write(LogEvent event,
             Time now,
             LogBudget budget = LogBudget::kPerRequest);

  // Returns the lines in the buffer, oldest first. `DropWritten` removes the
  // first `bytes` of them once they are written out.
  std::string_view pending() const { return buffer_; }
  void DropWritten(std::size_t bytes) { buffer_.erase(0, bytes); }

  std::uint64_t dropped() const { return dropped_; }

 private:
  bool TakeBudget(Time now, LogBudget budget);
  void BeginLine(LogEvent event, Time now);

  std::string process_;
  Limits limits_;
  std::chrono::milliseconds offset_{0};
  std::string buffer_;
  Time second_{};
  std::uint32_t lines_in_second_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace mustardbank
