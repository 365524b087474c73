// Counters of the decision core. Wasted messages, i.e. those beyond one start
// and one answer per task, are counted by cause.
#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace mustardbank {

enum class Counter {
  kEvents,
  kIdsIssued,
  kJobsSubmitted,
  kJobsResubmitted,
  kJobsForwarded,
  kJobsComplete,
  kJobsFailed,
  kJobsRefused,
  kJobsCancelled,
  kTaskStarts,
  kTaskSuccesses,
  kTaskFailures,
  kTaskUnknown,
  kIncarnationsAbandoned,
  kQuarantines,
  kHeartbeatsSent,
  kConfigurationsAdopted,
  kWastedBusyRefusals,
  kWastedLeavingRefusals,
  kWastedUnreachable,
  kWastedRetries,
  kWastedLending,
  kWastedCrossedAnswers,
};

inline constexpr EnumNames<Counter, 23> kCounterNames{{
    "events",
    "ids_issued",
    "jobs_submitted",
    "jobs_resubmitted",
    "jobs_forwarded",
    "jobs_complete",
    "jobs_failed",
    "jobs_refused",
    "jobs_cancelled",
    "task_starts",
    "task_successes",
    "task_failures",
    "task_unknown",
    "incarnations_abandoned",
    "quarantines",
    "heartbeats_sent",
    "configurations_adopted",
    "wasted_busy_refusals",
    "wasted_leaving_refusals",
    "wasted_unreachable",
    "wasted_retries",
    "wasted_lending",
    "wasted_crossed_answers",
}};

class Counters {
 public:
  void Add(Counter counter, std::uint64_t amount = 1) {
    values_[static_cast<std::size_t>(counter)] += amount;
  }
  std::uint64_t operator[](Counter counter) const {
    return values_[static_cast<std::size_t>(counter)];
  }

  // Sum of the counters of wasted messages.
  std::uint64_t wasted() const {
    std::uint64_t sum = 0;
    for (auto i = static_cast<std::size_t>(Counter::kWastedBusyRefusals);
         i < values_.size(); ++i) {
      sum += values_[i];
    }
    return sum;
  }

 private:
  std::array<std::uint64_t, kCounterNames.names.size()> values_{};
};

}  // namespace mustardbank
