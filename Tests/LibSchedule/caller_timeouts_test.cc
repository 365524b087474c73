#include <CppUTest/TestHarness.h>

#include <random>

#include "LibSchedule/caller_timeouts.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(CallerTimeouts) {
  CallerTimeouts timeouts;
  std::mt19937 random{1};

  // Jobs of 100 to 300 ms, whose callers wait 1 s and four times as long.
  void Learn(int jobs) {
    for (int i = 0; i < jobs; ++i) {
      const double expected =
          std::uniform_real_distribution<>(100, 300)(random);
      const double noise = std::normal_distribution<>(0, 60)(random);
      timeouts.DidArrive("queue", FromMilliseconds(expected),
                         FromMilliseconds(1000 + 4 * expected + noise));
    }
  }

  Duration AgeOf(int expected_ms, int timeout_ms) {
    return timeouts.AgeOf("queue", milliseconds(expected_ms),
                          milliseconds(timeout_ms));
  }
};

TEST(CallerTimeouts, first_tries_have_no_age) {
  CHECK(AgeOf(200, 100).count() == 0);
  Learn(500);
  CHECK(AgeOf(100, 1400).count() == 0);
  CHECK(AgeOf(300, 2200).count() == 0);
  CHECK(AgeOf(300, 2100).count() == 0);
  CHECK(AgeOf(200, 60'000).count() == 0);
}

TEST(CallerTimeouts, a_return_has_the_age_that_its_timeout_lacks) {
  Learn(500);
  const double age_ms = ToMilliseconds(AgeOf(200, 1800 - 1300));
  CHECK(age_ms > 1150 && age_ms < 1450);
}

// After an outage, half of the jobs come from callers that return.
TEST(CallerTimeouts, returns_in_large_numbers_stay_recognised) {
  Learn(500);
  for (int i = 0; i < 50; ++i) {
    CHECK(AgeOf(200, 500).count() > 0);
    timeouts.DidArrive("queue", milliseconds(200), milliseconds(500));
    Learn(1);
  }
}

// Callers that always wait less must not be taken for old ones for ever.
TEST(CallerTimeouts, shorter_timeouts_become_usual) {
  Learn(500);
  for (int i = 0; i < 1000; ++i)
    timeouts.DidArrive("queue", milliseconds(200), milliseconds(500));
  CHECK(AgeOf(200, 500).count() == 0);
}

TEST(CallerTimeouts, statistics_of_an_earlier_process_are_used_at_once) {
  Learn(500);
  CallerTimeouts successor;
  successor.Recall("queue", timeouts.statistics().at("queue"));
  CHECK(successor.AgeOf("queue", milliseconds(200), milliseconds(500)).count() >
        0);
  CHECK(
      successor.AgeOf("queue", milliseconds(200), milliseconds(1750)).count() ==
      0);
}

TEST(CallerTimeouts, impossible_statistics_are_ignored) {
  for (const TimeoutStatistics& impossible :
       {TimeoutStatistics{.mean_timeout = -1, .samples = 1000},
        TimeoutStatistics{.mean_timeout = 1e300, .samples = 1000},
        TimeoutStatistics{.mean_timeout = 0.0 / 0.0, .samples = 1000},
        TimeoutStatistics{
            .mean_timeout = 5000, .covariance = 1e300, .samples = 1000}}) {
    timeouts.Recall("queue", impossible);
    CHECK(AgeOf(200, 500).count() == 0);
  }
}

}  // namespace mustardbank
