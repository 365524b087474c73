// Safeguards with one decision disabled each, to show that the check of a
// guarantee detects violations.
#pragma once

#include "LibDispatch/safeguards.h"

namespace mustardbank {

struct ForgetsSubmissions : StandardSafeguards {
  static bool IsRepeat(bool) { return false; }
};
struct AnswersEarly : StandardSafeguards {
  static bool IsComplete(std::uint32_t unfinished) { return unfinished <= 1; }
};
struct TakesAnyAnswer : StandardSafeguards {
  static bool AnswerMatches(const AttemptId&, const AttemptId&) { return true; }
};
struct AlwaysSaysNotRun : StandardSafeguards {
  static Ran RanSoFar(std::uint32_t) { return Ran::kNotRun; }
};
struct AlwaysStartsAgain : StandardSafeguards {
  static bool MayStartAgain(AttemptResult result, bool, bool) {
    return result != AttemptResult::kSucceeded;
  }
};
struct IgnoresLeaving : StandardSafeguards {
  static bool AcceptsWork(VmState) { return true; }
};
struct StopsAtOnce : StandardSafeguards {
  static bool MayStop(std::size_t) { return true; }
};
struct TakesAnyConfiguration : StandardSafeguards {
  static bool Supersedes(std::uint64_t, std::uint64_t) { return true; }
};

}  // namespace mustardbank
