// Bursts of one queue over a base load of 0.6 of the processors of a shard.
#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "load_simulation.h"

namespace mustardbank {

namespace {

// Seeds that fit into a second or two. Manual runs take 80, as the gain of a
// queue varies by 0.05 from seed to seed.
constexpr int kQuickSeeds = 8;
constexpr int kManySeeds = 80;

int Seeds() {
  const char* text = std::getenv("MUSTARDBANK_BURST_SEEDS");
  return text ? std::atoi(text) : kQuickSeeds;
}

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

// What a process has learned from the base load.
const LearnedQueues& Learned() {
  static const LearnedQueues learned = [] {
    LoadSimulation simulation(100);
    simulation.Run(Mix("", 1), 25);
    return simulation.dispatcher().Learned();
  }();
  return learned;
}

// Shares of the jobs that ended, with equal seeds with and without the limits.
struct BurstOutcome {
  std::map<std::string, double> served;  // in objective, by queue
  double value = 0;                      // of that of all in time
};

BurstOutcome PlayBurst(const std::string& queue, int seed, bool limits) {
  LoadSimulation simulation(static_cast<unsigned>(seed));
  simulation.dispatcher().set_limits_queues(limits);
  simulation.dispatcher().Recall(Learned(), simulation.now());
  simulation.Run(Mix("", 1), 2);
  simulation.ForgetOutcomes();
  simulation.Run(Mix(queue, 1.8), 4);
  BurstOutcome result;
  double most = 0;
  for (const auto& [kind, sum] : simulation.Run(Mix("", 1), 2)) {
    const int ended = sum.in_objective + sum.late + sum.refused;
    result.served[kind] = 1.0 * sum.in_objective / ended;
    result.value += ValueOf(kind) * (sum.in_objective + 0.2 * sum.late);
    most += ValueOf(kind) * ended;
  }
  result.value /= most;
  return result;
}

class Statistic {
 public:
  void Add(double value) {
    ++count_;
    sum_ += value;
    squares_ += value * value;
  }
  double mean() const { return sum_ / count_; }
  double error() const {
    return std::sqrt((squares_ / count_ - mean() * mean()) / (count_ - 1));
  }

 private:
  int count_ = 0;
  double sum_ = 0;
  double squares_ = 0;
};

struct BurstComparison {
  std::map<std::string, Statistic> served;  // with the limits, by queue
  std::map<std::string, Statistic> gain;    // by queue, and of the value
};

const BurstComparison& Compare(const std::string& queue) {
  static std::map<std::string, BurstComparison> comparisons;
  if (comparisons.contains(queue))
    return comparisons.at(queue);
  BurstComparison& comparison = comparisons[queue];
  for (int seed = 1; seed <= Seeds(); ++seed) {
    const BurstOutcome with = PlayBurst(queue, seed, true);
    const BurstOutcome without = PlayBurst(queue, seed, false);
    for (const auto& [kind, served] : with.served) {
      comparison.served[kind].Add(served);
      comparison.gain[kind].Add(served - without.served.at(kind));
    }
    comparison.served["value"].Add(with.value);
    comparison.gain["value"].Add(with.value - without.value);
  }
  for (const auto& [kind, gain] : comparison.gain)
    std::cout << "burst of " << queue << ", " << kind << ": "
              << comparison.served[kind].mean() << ", gain " << gain.mean()
              << " +- " << gain.error() << '\n';
  return comparison;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Burst){};

// Guards against shares that cost more than they save. The tolerance is for the
// noise of the seeds.
TEST(Burst, value_with_shares_is_not_below_that_without) {
  for (const char* queue : {"long", "short"})
    CHECK(Compare(queue).gain.at("value").mean() >= -0.005);
}

// Guards against a burst of long tasks at the cost of the more urgent queues.
// Better means a gain over the quick seeds, and clearly better one of more than
// two standard errors over many.
TEST(Burst, of_the_long_queue_spares_the_more_urgent_queues) {
  for (const char* kind : {"urgent", "short"}) {
    const Statistic& gain = Compare("long").gain.at(kind);
    CHECK(gain.mean() > 0);
    CHECK(Seeds() < kManySeeds || gain.mean() > 2 * gain.error());
  }
}

// The stated target for queues without a burst.
TEST(Burst, queues_without_a_burst_meet_the_target) {
  for (const char* kind : {"urgent", "short"})
    CHECK(Compare("long").served.at(kind).mean() >= 0.93);
  for (const char* kind : {"urgent", "long"})
    CHECK(Compare("short").served.at(kind).mean() >= 0.93);
}

}  // namespace mustardbank
