// Outcomes for callers where workers differ in speed.
#include <CppUTest/TestHarness.h>

#include <iostream>

#include "load_simulation.h"

namespace mustardbank {

namespace {

// Workers of Quiros Tiles: a third takes 2.3 times as long as the others, and
// 3% of the jobs 7 times as long. The mean of the logarithms is 0.
LoadWorkers MixedWorkers() {
  return {.count = 18,
          .factor = [](int i, Duration) { return i / 3 % 3 == 1 ? 1.85 : 0.8; },
          .spread_within_job = 0.15,
          .share_of_long_jobs = 0.03};
}

// `load` is the demand as a share of all processors.
std::vector<LoadKind> TilesMix(double load) {
  // 18 workers with 1344 cores in all; tasks x seconds x cores, and 1.18 for
  // the long jobs.
  const double unit =
      load * 1344 / 1.18 /
      (181 * 8 * 0.051 * 27 + 33 * 4 * 0.76 * 27 + 528 * 2 * 0.17 * 27);
  return {{.name = "cloud-mask",
           .per_second = 181 * unit,
           .run_ms = 51,
           .tasks = 8,
           .most_tasks = 32},
          {.name = "ortho-render",
           .per_second = 33 * unit,
           .run_ms = 760,
           .tasks = 4,
           .most_tasks = 16},
          {.name = "geo-lookup",
           .per_second = 528 * unit,
           .run_ms = 170,
           .tasks = 2,
           .most_tasks = 8}};
}

// Mean share of jobs in objective over the kinds, after 5 s to learn.
double PlayShare(double load, const LoadWorkers& workers) {
  double sum = 0;
  int count = 0;
  for (unsigned seed = 11; seed < 27; ++seed) {
    LoadSimulation simulation(seed, 0, 0, workers);
    simulation.Run(TilesMix(load), 5);
    simulation.ForgetOutcomes();
    for (const auto& [kind, outcome] : simulation.Run(TilesMix(load), 10)) {
      std::cout << "load " << load << " seed " << seed << ' ' << kind << ": "
                << outcome.in_objective << " of " << outcome.submitted
                << " in objective, late " << outcome.late << ", refused "
                << outcome.refused << ", stragglers "
                << simulation.dispatcher().counters().stragglers
                << ", exclusions "
                << simulation.dispatcher().counters().exclusions << '\n';
      sum += outcome.served_share();
      ++count;
    }
  }
  std::cout << "load " << load << " mean " << sum / count << '\n';
  return sum / count;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(WorkerSpeedsLoad){};

// The milestone's own target for this deployment is a mean value of 0.84.
TEST(WorkerSpeedsLoad, a_third_of_the_workers_is_slow_at_half_load) {
  CHECK(PlayShare(0.5, MixedWorkers()) >= 0.84);
}

TEST(WorkerSpeedsLoad, a_third_of_the_workers_is_slow_at_base_load) {
  CHECK(PlayShare(0.66, MixedWorkers()) >= 0.84);
}

TEST(WorkerSpeedsLoad, a_worker_turns_slow_for_some_seconds) {
  LoadWorkers workers = MixedWorkers();
  workers.factor = [](int i, Duration since) {
    return i == 4 && since > std::chrono::seconds(6) &&
                   since < std::chrono::seconds(11)
               ? 5.0
               : 1.0;
  };
  CHECK(PlayShare(0.5, workers) >= 0.84);
}

TEST(WorkerSpeedsLoad, workers_are_alike) {
  LoadWorkers workers = MixedWorkers();
  workers.factor = nullptr;
  CHECK(PlayShare(0.66, workers) >= 0.84);
}

}  // namespace mustardbank
