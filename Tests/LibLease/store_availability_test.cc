#include <CppUTest/TestHarness.h>

#include <vector>

#include "LibLease/store_availability.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(StoreAvailability) {
  Time now{std::chrono::seconds(100)};
  StoreAvailability store{StoreProbing{}, 7};

  void Lose() {
    store.DidFail(now);
    store.DidFail(now);
  }
};

TEST(StoreAvailability, store_is_lost_after_two_failures_in_a_row) {
  CHECK(!store.DidFail(now).was_lost);
  store.DidAnswer(now);
  CHECK(!store.DidFail(now).was_lost);
  CHECK(store.DidFail(now).was_lost);
  CHECK(!store.DidFail(now).was_lost);
  CHECK(store.is_lost());
}

// Calls that wait for changes went on for up to 4.8 s after a silent store had
// returned.
TEST(StoreAvailability, calls_sent_before_the_return_are_abandoned) {
  Lose();
  const StoreAvailability::Change change = store.DidAnswer(now);
  CHECK(change.was_regained);
  CHECK(change.abandons_calls);
  CHECK(!store.DidAnswer(now).abandons_calls);
}

TEST(StoreAvailability, calls_are_abandoned_at_intervals_if_some_fail) {
  store.DidFail(now);
  CHECK(store.DidAnswer(now).abandons_calls);
  now += milliseconds(250);
  store.DidFail(now);
  CHECK(!store.DidAnswer(now).abandons_calls);
  now += milliseconds(1000);
  store.DidFail(now);
  CHECK(store.DidAnswer(now).abandons_calls);
}

TEST(StoreAvailability, peer_that_reaches_the_store_causes_a_probe) {
  Lose();
  CHECK(store.TakeProbe(35, now));
  CHECK(!store.TakeProbe(35, now));
  CHECK(!store.DidHearOfReturn(now).abandons_calls);
  CHECK(store.TakeProbe(35, now));
}

TEST(StoreAvailability, peer_shows_an_outage_that_passed_unnoticed) {
  CHECK(store.DidHearOfReturn(now).abandons_calls);
  CHECK(!store.DidHearOfReturn(now).abandons_calls);
  CHECK(!store.TakeProbe(35, now));
}

TEST(StoreAvailability, silent_store_is_probed_without_waiting_for_answers) {
  Lose();
  int probes = 0;
  for (int i = 0; i < 300; ++i) {
    probes += store.TakeProbe(35, now) ? 1 : 0;
    now += milliseconds(10);
  }
  CHECK_EQUAL(StoreProbing{}.most_in_flight, probes);
  store.DidEndProbe();
  CHECK(store.TakeProbe(35, now));
}

// An outage of 4.2 s in deployments of several sizes, whose store stays silent
// for calls of that time. Each call times out after a second.
TEST(StoreAvailability, return_is_noticed_soon_and_calls_stay_bounded) {
  constexpr int kStepMs = 10;
  constexpr int kReturnMs = 4200;
  constexpr int kTimeoutMs = 1000;
  for (const std::size_t vms : {7UL, 35UL, 150UL, 300UL}) {
    std::vector<StoreAvailability> stores;
    for (std::size_t i = 0; i < vms; ++i)
      stores.emplace_back(StoreProbing{}, static_cast<std::uint32_t>(i + 1));
    std::vector<std::pair<int, std::size_t>> unanswered;  // by timeout
    std::vector<int> told;  // when peers hear of the return
    int calls = 0;
    int first_noticed = 0;
    int last_noticed = 0;
    for (auto& vm : stores) {
      vm.DidFail(now);
      vm.DidFail(now);
    }
    for (int at = 0; at < kReturnMs + 2000; at += kStepMs) {
      const Time step = now + milliseconds(at);
      std::erase_if(unanswered, [&](const auto& call) {
        if (call.first > at)
          return false;
        stores[call.second].DidEndProbe();
        stores[call.second].DidFail(step);
        return true;
      });
      if (std::erase(told, at) > 0) {
        for (auto& vm : stores)
          vm.DidHearOfReturn(step);
      }
      for (std::size_t i = 0; i < vms; ++i) {
        if (!stores[i].TakeProbe(vms, step))
          continue;
        ++calls;
        if (at < kReturnMs) {
          unanswered.emplace_back(at + kTimeoutMs, i);
          continue;
        }
        stores[i].DidEndProbe();
        if (!stores[i].DidAnswer(step).was_regained)
          continue;
        first_noticed = first_noticed == 0 ? at : first_noticed;
        last_noticed = at;
        // Heartbeats reach the peers within 150 ms.
        told.push_back(at + 150);
      }
    }
    CHECK(first_noticed - kReturnMs <= 300);
    CHECK(last_noticed - kReturnMs <= 300);
    // The store takes 2,000 reads a second or more.
    CHECK(calls < 400 * (kReturnMs + 2000) / 1000);
    for (const auto& vm : stores)
      CHECK(!vm.is_lost());
  }
}

}  // namespace mustardbank
