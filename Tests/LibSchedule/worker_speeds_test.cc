#include "LibSchedule/worker_speeds.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <functional>
#include <random>

namespace mustardbank {

namespace {

constexpr int kWorkers = 18;
constexpr Duration kExpected = std::chrono::milliseconds(200);

std::string NameOf(int index) {
  return "w" + std::to_string(index);
}

// Runs jobs of four tasks on random workers. 3% of the jobs take 7 times as
// long.
class SpeedsFixture {
 public:
  explicit SpeedsFixture(unsigned seed) : random(seed) {
    for (int i = 0; i < kWorkers; ++i)
      speeds.Add(NameOf(i), {.labels = {i % 3 == 0 ? "old" : "new"},
                             .millicores = 64'000,
                             .incarnation = 1});
  }

  void RunJobs(int jobs, const std::function<double(int)>& factor) {
    for (int i = 0; i < jobs; ++i) {
      const double of_job =
          0.4 * normal(random) +
          (std::bernoulli_distribution(0.03)(random) ? std::log(7) : 0);
      JobDeviation deviation;
      for (int task = 0; task < 4; ++task) {
        const int worker =
            std::uniform_int_distribution<>(0, kWorkers - 1)(random);
        const double log_ratio =
            of_job + std::log(factor(worker)) + 0.15 * normal(random);
        speeds.DidRun(
            NameOf(worker), kExpected,
            FromMilliseconds(ToMilliseconds(kExpected) * std::exp(log_ratio)),
            deviation);
      }
      speeds.Fit();
    }
  }

  double LogFactor(int worker) {
    return speeds.SpeedOf(NameOf(worker)).log_factor;
  }

  std::mt19937 random;
  std::normal_distribution<> normal;
  WorkerSpeeds speeds;
};

double ThirdIsSlow(int worker) {
  return worker % 3 == 0 ? 2.3 : 1;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(WorkerSpeeds){};

// Chance or long jobs must not make alike workers differ.
TEST(WorkerSpeeds, alike_workers_keep_factor_one) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SpeedsFixture fixture(seed);
    fixture.RunJobs(300, [](int) { return 1.0; });
    for (int i = 0; i < kWorkers; ++i)
      CHECK_EQUAL(1, fixture.speeds.SpeedOf(NameOf(i)).factor());
  }
}

// The difference decides whether tasks are late: log 2.3 is 0.83.
TEST(WorkerSpeeds, slow_workers_are_told_from_others) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SpeedsFixture fixture(seed);
    fixture.RunJobs(200, ThirdIsSlow);
    double mean = 0;
    for (int i = 0; i < kWorkers; ++i) {
      mean += fixture.LogFactor(i) / kWorkers;
      DOUBLES_EQUAL(i % 3 == 0 ? 0.555 : -0.278, fixture.LogFactor(i), 0.2);
    }
    DOUBLES_EQUAL(0, mean, 0.01);
  }
}

TEST(WorkerSpeeds, unknown_worker_is_as_slow_as_its_class) {
  SpeedsFixture fixture(1);
  fixture.RunJobs(200, ThirdIsSlow);
  const double known = fixture.LogFactor(0);
  fixture.speeds.Add(
      NameOf(0), {.labels = {"old"}, .millicores = 64'000, .incarnation = 2});
  fixture.speeds.Fit();
  DOUBLES_EQUAL(known, fixture.LogFactor(0), 0.15);
}

// A restarted process must not place its first tasks as if workers were alike.
TEST(WorkerSpeeds, recalled_classes_count_before_the_first_run) {
  SpeedsFixture fixture(1);
  fixture.RunJobs(200, ThirdIsSlow);
  const LearnedClasses learned = fixture.speeds.Learned();
  SpeedsFixture successor(2);
  successor.speeds.Recall(learned);
  successor.speeds.Fit();
  for (int i = 0; i < kWorkers; ++i)
    DOUBLES_EQUAL(fixture.LogFactor(i), successor.LogFactor(i), 0.2);
}

// A row may be of other workers, or damaged.
TEST(WorkerSpeeds, wrong_recalled_classes_are_corrected) {
  SpeedsFixture fixture(1);
  fixture.speeds.Recall(
      {{"old", {.mean_log_factor = -2, .deviation = 0, .workers = 100}}});
  fixture.RunJobs(200, ThirdIsSlow);
  for (int i = 0; i < kWorkers; ++i)
    DOUBLES_EQUAL(i % 3 == 0 ? 0.555 : -0.278, fixture.LogFactor(i), 0.2);
}

TEST(WorkerSpeeds, implausible_classes_are_not_recalled) {
  SpeedsFixture fixture(1);
  fixture.speeds.Recall(
      {{"old", {.mean_log_factor = 1e300, .deviation = 0, .workers = 100}},
       {"new", {.mean_log_factor = -1, .deviation = -1, .workers = 100}}});
  fixture.speeds.Fit();
  for (int i = 0; i < kWorkers; ++i)
    CHECK_EQUAL(1, fixture.speeds.SpeedOf(NameOf(i)).factor());
}

TEST(WorkerSpeeds, change_of_a_worker_is_followed) {
  SpeedsFixture fixture(1);
  fixture.RunJobs(100, [](int) { return 1.0; });
  const auto one_is_slow = [](int worker) { return worker == 5 ? 5.0 : 1.0; };
  fixture.RunJobs(400, one_is_slow);
  CHECK(fixture.LogFactor(5) - fixture.LogFactor(6) > 1.2);
  fixture.RunJobs(400, [](int) { return 1.0; });
  DOUBLES_EQUAL(fixture.LogFactor(5), fixture.LogFactor(6), 0.2);
}

}  // namespace mustardbank
