#include <CppUTest/TestHarness.h>

#include "LibSchedule/unconfirmed_capacity.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(UnconfirmedCapacity) {
  const Resources full{.millicores = 64'000, .memory_mb = 1000};
  Time now{std::chrono::seconds(100)};
  UnconfirmedCapacity capacity{{.validity = milliseconds(4200), .share = 0.5}};

  void RegisterShare(double share) {
    Resources shrunk = full;
    shrunk.millicores =
        static_cast<std::int64_t>(share * static_cast<double>(full.millicores));
    capacity.DidRegister(shrunk, full, now);
  }
};

TEST(UnconfirmedCapacity, registration_confirms_until_a_change_must_be_heeded) {
  // Registered 1,000 ms before the worker's clock was read.
  CHECK(capacity.ConfirmedUntil(5000, 6000, now) == now + milliseconds(3200));
  CHECK(capacity.ConfirmedUntil(6000, 6000, now) == now + milliseconds(4200));
}

TEST(UnconfirmedCapacity, registration_without_a_clock_confirms_without_end) {
  CHECK(capacity.ConfirmedUntil(0, 6000, now) == Time::max());
}

TEST(UnconfirmedCapacity, configured_share_is_assumed_until_workers_shrink) {
  RegisterShare(1);
  CHECK_EQUAL(32'000, capacity.Assume(full, now).millicores);
  RegisterShare(0.7);
  CHECK_EQUAL(32'000, capacity.Assume(full, now).millicores);
}

TEST(UnconfirmedCapacity, least_share_is_remembered_for_ten_minutes) {
  RegisterShare(0.25);
  now += std::chrono::minutes(1);
  RegisterShare(0.4);
  CHECK_EQUAL(16'000, capacity.Assume(full, now).millicores);
  now += std::chrono::minutes(10);
  CHECK_EQUAL(32'000, capacity.Assume(full, now).millicores);
}

}  // namespace mustardbank
