// The decisions that the guarantees rest on, each in one function. Tests
// replace single decisions to show that the check of a guarantee detects
// violations.
#pragma once

#include <concepts>
#include <cstdint>

#include "LibDispatch/events.h"

namespace mustardbank {

struct StandardSafeguards {
  // Whether a submission is a repeat of one already accepted.
  static bool IsRepeat(bool seen) { return seen; }

  // Whether a job's answer is complete.
  static bool IsComplete(std::uint32_t unfinished_tasks) {
    return unfinished_tasks == 0;
  }

  // Whether an answer belongs to the attempt that waits for it.
  static bool AnswerMatches(const AttemptId& sent, const AttemptId& answered) {
    return sent == answered;
  }

  // Whether any task of a job that ended early may have run.
  static Ran RanSoFar(std::uint32_t started_tasks) {
    return started_tasks == 0 ? Ran::kNotRun : Ran::kMayHaveRun;
  }

  // Whether a task may start again after an attempt that ended with `result`.
  static bool MayStartAgain(AttemptResult result,
                            bool idempotent,
                            bool retry_failed) {
    switch (result) {
      case AttemptResult::kRefusedBusy:
      case AttemptResult::kRefusedLeaving:
      case AttemptResult::kNotSent:
      case AttemptResult::kStale:
        return true;
      case AttemptResult::kFailed:
        return idempotent && retry_failed;
      case AttemptResult::kSucceeded:
      case AttemptResult::kUnknown:
        return false;
    }
    return false;
  }

  // Whether a worker may be given new tasks.
  static bool AcceptsWork(VmState state) { return state == VmState::kLive; }

  // Whether a draining VM may stop.
  static bool MayStop(std::size_t unfinished_jobs) {
    return unfinished_jobs == 0;
  }

  // Whether a configuration replaces the one in force.
  static bool Supersedes(std::uint64_t version, std::uint64_t in_force) {
    return version > in_force;
  }
};

template <typename T>
concept Safeguards = requires(AttemptId id, AttemptResult result) {
  { T::IsRepeat(true) } -> std::same_as<bool>;
  { T::IsComplete(0u) } -> std::same_as<bool>;
  { T::AnswerMatches(id, id) } -> std::same_as<bool>;
  { T::RanSoFar(0u) } -> std::same_as<Ran>;
  { T::MayStartAgain(result, true, true) } -> std::same_as<bool>;
  { T::AcceptsWork(VmState::kLive) } -> std::same_as<bool>;
  { T::MayStop(std::size_t{0}) } -> std::same_as<bool>;
  { T::Supersedes(1, 0) } -> std::same_as<bool>;
};

}  // namespace mustardbank
