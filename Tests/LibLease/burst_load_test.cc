// Bursts of one queue over a base load of 0.6 of the processors of a shard.
#include <CppUTest/TestHarness.h>

#include <iostream>

#include "load_simulation.h"

namespace mustardbank {

namespace {

struct BurstOutcome {
  double value = 0;  // of the answers, as a share of all in time
  std::map<std::string, double> served;  // share in objective, by queue
};

double ValueOf(const std::string& queue) {
  return queue == "urgent" ? 0.00485 : queue == "long" ? 0.0267 : 0.00167;
}

// The mix of Swap Station. `bursting` arrives `factor` times as often as at the
// base load.
std::vector<LoadKind> Mix(const std::string& bursting, double factor) {
  // 12 workers have 896 cores, a task 27. The queues need 8 x 0.06, 4 x 0.9 and
  // 2 x 0.2 processor-seconds of each.
  const double unit = 0.6 * 896 / 27 / (206 * 0.48 + 37.5 * 3.6 + 600 * 0.4);
  std::vector<LoadKind> kinds{{.name = "urgent",
                               .per_second = 206 * unit,
                               .run_ms = 60,
                               .tasks = 8,
                               .most_tasks = 32,
                               .priority = 0},
                              {.name = "long",
                               .per_second = 37.5 * unit,
                               .run_ms = 900,
                               .tasks = 4,
                               .most_tasks = 16,
                               .priority = 2},
                              {.name = "short",
                               .per_second = 600 * unit,
                               .run_ms = 200,
                               .tasks = 2,
                               .most_tasks = 8,
                               .priority = 1}};
  for (LoadKind& kind : kinds) {
    if (kind.name == bursting)
      kind.per_second *= factor;
  }
  return kinds;
}

BurstOutcome PlayBurst(const std::string& queue) {
  std::map<std::string, LoadOutcome> sums;
  for (unsigned seed = 1; seed <= 30; ++seed) {
    LoadSimulation simulation(seed);
    simulation.Run(Mix("", 1), 25);
    simulation.ForgetOutcomes();
    simulation.Run(Mix(queue, 1.8), 4);
    for (const auto& [kind, outcome] : simulation.Run(Mix("", 1), 2)) {
      sums[kind].in_objective += outcome.in_objective;
      sums[kind].late += outcome.late;
      sums[kind].refused += outcome.refused;
    }
  }
  BurstOutcome result;
  double most = 0;
  for (const auto& [kind, sum] : sums) {
    const int ended = sum.in_objective + sum.late + sum.refused;
    result.served[kind] = 1.0 * sum.in_objective / ended;
    result.value += ValueOf(kind) * (sum.in_objective + 0.2 * sum.late);
    most += ValueOf(kind) * ended;
    std::cout << "burst of " << queue << ", " << kind << ": ended " << ended
              << ", in objective " << result.served[kind] << ", late "
              << sum.late << ", refused " << sum.refused << '\n';
  }
  result.value /= most;
  std::cout << "value " << result.value << '\n';
  return result;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Burst){};

TEST(Burst, of_the_long_queue) {
  PlayBurst("long");
}

TEST(Burst, of_the_short_queue) {
  PlayBurst("short");
}

}  // namespace mustardbank
