#include <CppUTest/TestHarness.h>

#include "LibLease/clock_stamp.h"

namespace mustardbank {

using std::chrono::milliseconds;
using std::chrono::seconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(ClockStamp) {
  Time now{seconds(100)};
};

TEST(ClockStamp, echo_bounds_the_age_of_a_message) {
  CHECK(GreatestAge(ClockStamp{5, now - milliseconds(300)}, 5, now) ==
        milliseconds(300));
  CHECK(!GreatestAge(std::nullopt, 5, now));
  // Stamps of another incarnation, or from the future, prove nothing.
  CHECK(GreatestAge(ClockStamp{4, now}, 5, now) == Duration::max());
  CHECK(GreatestAge(ClockStamp{5, now + milliseconds(1)}, 5, now) ==
        Duration::max());
}

// A message that waited in a socket while the receiver was paused.
TEST(ClockStamp, message_that_waited_counts_from_its_sending) {
  RemoteClock clock;
  CHECK(clock.SentAt(seconds(7), now) == now);
  const Time late = clock.SentAt(seconds(8), now + seconds(4));
  CHECK(late >= now + seconds(1));
  CHECK(late < now + milliseconds(1100));
  CHECK(clock.IsOvertaken(milliseconds(7500)));
  CHECK(clock.SentAt(seconds(11), now + seconds(4)) == now + seconds(4));
  clock.Reset();
  CHECK(!clock.IsOvertaken(seconds(1)));
}

}  // namespace mustardbank
