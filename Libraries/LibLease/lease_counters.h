// Counters of the decisions of LeaseDispatcher.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "LibCore/enum_names.h"
#include "LibLease/duration_histogram.h"
#include "LibLease/worker_report.h"
#include "LibSchedule/job.h"

namespace mustardbank {

// Why a run was stopped as a straggler.
enum class StragglerKind {
  kStalled,       // no progress
  kFaultyWorker,  // far slower than its siblings
  kUnexplained,   // far slower than expected; the job has no other run
};

inline constexpr EnumNames<StragglerKind, 3> kStragglerKindNames{
    {"stalled", "faulty_worker", "unexplained"}};

struct LeaseCounters {
  std::array<std::uint64_t, kJobOutcomeNames.names.size()>
      jobs{};  // by outcome
  std::array<std::uint64_t, kJobCauseNames.names.size()> causes{};
  std::array<std::uint64_t, kCommandAnswerNames.names.size()> starts{};
  std::array<std::uint64_t, kCommandAnswerNames.names.size()> renewals{};
  std::array<std::uint64_t, kRunEndNames.names.size()> ends{};
  DurationHistogram queue_time;  // of jobs, from arrival to the first start
  DurationHistogram run_time;    // of tasks, from the start command to the end
  DurationHistogram start_time;  // of start commands, until they are answered
  std::uint64_t stops = 0;
  std::array<std::uint64_t, kLossEvidenceNames.names.size()>
      workers_lost{};           // that had runs, by evidence
  std::uint64_t runs_lost = 0;  // with their worker
  // Starts of tasks under which one or more workers were lost.
  std::uint64_t starts_after_loss = 0;
  std::uint64_t exclusive_starts = 0;        // of tasks suspected of crashes
  std::uint64_t exclusive_starts_ended = 0;  // without a crash
  std::uint64_t unreadable_capacities = 0;   // in reports of workers
  std::uint64_t runs_vanished = 0;  // reported neither as running nor as ended
  std::uint64_t stragglers = 0;
  std::array<std::uint64_t, kStragglerKindNames.names.size()> straggler_kinds{};
  std::uint64_t late_starts = 0;  // of tasks, predicted to end too late
  std::uint64_t exclusions = 0;   // of workers that failed tasks
  std::map<std::string, std::uint64_t> over_share;  // refusals, by queue

  // Labels of a metric are kept for the life of the process, so that queues
  // beyond a limit share one.
  void CountOverShare(const std::string& queue) {
    constexpr std::size_t kMostLabels = 32;
    const bool has_label =
        over_share.contains(queue) || over_share.size() < kMostLabels;
    ++over_share[has_label ? queue : "other"];
  }
};

}  // namespace mustardbank
