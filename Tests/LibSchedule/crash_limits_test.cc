#include "LibSchedule/crash_limits.h"

#include <CppUTest/TestHarness.h>

namespace mustardbank {

using std::chrono::milliseconds;
using std::chrono::seconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(CrashLimits) {
  CrashLimits limits;
  Time now{seconds(100)};

  void CrashTrials(int count) {
    for (int i = 0; i < count; ++i) {
      limits.DidCrash("bad", "w", 1, now);
      limits.DidTry("bad", /*has_crashed=*/true, now);
    }
  }
};

// Guards against limits on callers whose workers crash for other reasons.
TEST(CrashLimits, crashes_alone_limit_no_queue) {
  for (int i = 0; i < 20; ++i)
    limits.DidCrash("bad", "w", 1, now);
  CHECK(!limits.IsBlamed("bad", now));
  CHECK(limits.EarliestRisk("bad", 1, now) <= now);
}

TEST(CrashLimits, suspects_that_outlive_their_trials_clear_their_queue) {
  CrashTrials(2);
  CHECK(limits.IsBlamed("bad", now));
  for (int i = 0; i < 3; ++i)
    limits.DidTry("bad", /*has_crashed=*/false, now);
  CHECK(!limits.IsBlamed("bad", now));
}

TEST(CrashLimits, other_queues_are_not_limited) {
  CrashTrials(9);
  CHECK(limits.EarliestRisk("good", 1, now) <= now);
}

TEST(CrashLimits, limited_queue_may_risk_a_worker_once_another_is_back) {
  CrashTrials(1);
  now += seconds(1);
  CrashTrials(2);
  CHECK(limits.EarliestRisk("bad", 4, now) <= now);
  CHECK(limits.EarliestRisk("bad", 3, now) ==
        now - seconds(1) + CrashLimits::kDownTime);
  CHECK(limits.EarliestRisk("bad", 2, now) == now + CrashLimits::kDownTime);
  DOUBLES_EQUAL(3, limits.LostBy("bad", now), 1e-9);
  now += CrashLimits::kDownTime - milliseconds(500);
  DOUBLES_EQUAL(2, limits.LostBy("bad", now), 1e-9);
  CHECK(limits.EarliestRisk("bad", 3, now) <= now);
}

TEST(CrashLimits, trials_are_forgotten) {
  CrashTrials(5);
  now += seconds(11);
  CHECK(!limits.IsBlamed("bad", now));
  DOUBLES_EQUAL(0, limits.Lost(now), 1e-9);
}

TEST(CrashLimits, worker_that_answers_again_is_not_missing) {
  CrashTrials(3);
  limits.DidCrash("bad", "other", 1, now);
  limits.DidReturn("w");
  DOUBLES_EQUAL(1, limits.LostBy("bad", now), 1e-9);
}

}  // namespace mustardbank
