#include "LibSchedule/placement_choice.h"

#include <CppUTest/TestHarness.h>

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(PlacementChoice){};

TEST(PlacementChoice, no_candidate_gives_no_choice) {
  CHECK(!ChooseCandidate({}, milliseconds(100)));
}

// Best fit alone put one task of most jobs on a slow worker.
TEST(PlacementChoice, worker_where_the_task_is_late_comes_last) {
  CHECK(ChooseCandidate(
            {{.leftover_millicores = 1, .run_time = milliseconds(230)},
             {.leftover_millicores = 9'000, .run_time = milliseconds(100)}},
            milliseconds(200)) == 1);
}

// Fast workers are kept for the tasks that need them.
TEST(PlacementChoice, best_fit_counts_among_workers_in_time) {
  CHECK(ChooseCandidate(
            {{.leftover_millicores = 9'000, .run_time = milliseconds(100)},
             {.leftover_millicores = 1, .run_time = milliseconds(230)}},
            milliseconds(400)) == 1);
}

// Slow workers' capacity is used by tasks that are late everywhere.
TEST(PlacementChoice, late_task_takes_the_fastest_worker) {
  const std::vector<PlacementCandidate> slow{
      {.leftover_millicores = 1, .run_time = milliseconds(230)}};
  CHECK(ChooseCandidate(slow, milliseconds(50)) == 0);
  std::vector<PlacementCandidate> both = slow;
  both.push_back({.leftover_millicores = 2, .run_time = milliseconds(100)});
  CHECK(ChooseCandidate(both, milliseconds(50)) == 1);
}

// The expected run time errs; without a margin 0.75 of the jobs were in
// objective where 0.93 could be.
TEST(PlacementChoice, task_that_just_ends_in_time_counts_as_late) {
  CHECK(ChooseCandidate(
            {{.leftover_millicores = 1, .run_time = milliseconds(190)},
             {.leftover_millicores = 2, .run_time = milliseconds(100)}},
            milliseconds(200)) == 1);
}

TEST(PlacementChoice, task_waits_only_to_end_in_time_and_sooner) {
  const auto ends_sooner = [](int free_after, int latest) {
    return EndsSoonerByWaiting({{.free_after = milliseconds(free_after),
                                 .run_time = milliseconds(100)}},
                               milliseconds(230), milliseconds(latest));
  };
  CHECK(ends_sooner(50, 200));
  CHECK(!ends_sooner(110, 200));  // late there too
  CHECK(!ends_sooner(140, 300));  // no sooner
  CHECK(!EndsSoonerByWaiting({}, milliseconds(230), milliseconds(200)));
}

TEST(PlacementChoice, avoided_worker_comes_after_late_ones) {
  CHECK(ChooseCandidate({{.run_time = milliseconds(100), .is_avoided = true},
                         {.run_time = milliseconds(900)}},
                        milliseconds(200)) == 1);
}

// Guards against tasks of other queues that are lost with a worker.
TEST(PlacementChoice, tasks_that_may_crash_workers_are_kept_apart) {
  const Duration run_time = milliseconds(100);
  const Duration latest = milliseconds(500);
  CHECK(ChooseCandidate({{.leftover_millicores = 0,
                          .run_time = run_time,
                          .crash_risk = CrashRisk::kShared},
                         {.leftover_millicores = 900,
                          .run_time = run_time,
                          .crash_risk = CrashRisk::kSingle},
                         {.leftover_millicores = 999, .run_time = run_time}},
                        latest) == 2);
  // But not at the price of an answer that is late.
  CHECK(
      ChooseCandidate({{.run_time = run_time, .crash_risk = CrashRisk::kShared},
                       {.run_time = milliseconds(600)}},
                      latest) == 0);
}

}  // namespace mustardbank
