#include "LibSchedule/evacuations.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <functional>

namespace mustardbank {

namespace {

const Time kNow{std::chrono::seconds(100)};
constexpr Evacuation kRequestedAt5{.version = 5, .is_requested = true};
constexpr Evacuation kWithdrawnAt7{.version = 7, .is_requested = false};

// The operator's table after some changes, each at a version of its own.
struct History {
  std::vector<std::pair<std::string, Evacuation>> rows;

  EvacuationTable TableAt(std::uint64_t version) const {
    EvacuationTable table;
    for (const auto& [data_center, evacuation] : rows) {
      if (evacuation.version > version)
        break;
      if (evacuation.is_requested)
        table[data_center] = evacuation;
      else
        table.erase(data_center);
    }
    return table;
  }
};

History RandomHistory() {
  History history;
  const auto changes = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
  std::uint64_t version = 10;
  for (const auto& [data_center, is_requested] : changes)
    history.rows.emplace_back(
        std::string(1, static_cast<char>('a' + data_center)),
        Evacuation{.version = ++version, .is_requested = is_requested});
  return history;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Evacuations) {
  Evacuations evacuations;
};

// Rows, full reads and tables of peers that come late, twice or in another
// order must not bring back an older state.
TEST(Evacuations, any_order_of_news_gives_the_newest_state) {
  const bool holds = rc::check([] {
    const History history = RandomHistory();
    const std::uint64_t last = 10 + history.rows.size();
    Evacuations table;
    Evacuations lagging_peer;
    std::vector<std::function<void()>> news;
    for (const auto& [data_center, evacuation] : history.rows) {
      news.emplace_back(
          [&, data_center = data_center, evacuation = evacuation] {
            table.Apply(data_center, evacuation, kNow);
          });
      news.emplace_back(
          [&, data_center = data_center, evacuation = evacuation] {
            lagging_peer.Apply(data_center, evacuation, kNow);
            table.Merge(lagging_peer.Shared(kNow), kNow);
          });
    }
    for (std::uint64_t version = 10; version <= last; ++version)
      news.emplace_back([&, version] {
        table.ReplaceAll(history.TableAt(version), version, kNow);
      });
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, news.size()));
    const auto before_last =
        *rc::gen::inRange<std::size_t>(0, order.size() + 1);
    for (std::size_t i = 0; i <= order.size(); ++i) {
      const EvacuationTable before = table.table();
      if (i == before_last)
        table.ReplaceAll(history.TableAt(last), last, kNow);
      if (i < order.size())
        news[order[i]]();
      for (const auto& [data_center, evacuation] : before)
        RC_ASSERT(table.table().at(data_center).version >= evacuation.version);
    }
    const EvacuationTable newest = history.TableAt(last);
    for (const char* data_center : {"a", "b", "c", "d"})
      RC_ASSERT(table.IsEvacuated(data_center) == newest.contains(data_center));
    // Both tell each other the newest state.
    lagging_peer.Merge(table.Shared(kNow), kNow);
    table.Merge(lagging_peer.Shared(kNow), kNow);
    lagging_peer.Merge(table.Shared(kNow), kNow);
    for (const char* data_center : {"a", "b", "c", "d"})
      RC_ASSERT(lagging_peer.IsEvacuated(data_center) ==
                newest.contains(data_center));
  });
  CHECK(holds);
}

TEST(Evacuations, late_request_does_not_undo_a_withdrawal) {
  evacuations.Apply("rif", kWithdrawnAt7, kNow);
  evacuations.Apply("rif", kRequestedAt5, kNow);
  CHECK(!evacuations.IsEvacuated("rif"));
}

// A row removed while the history was lost is only absent.
TEST(Evacuations, absent_row_is_withdrawn_unless_it_is_newer_than_the_read) {
  evacuations.Apply("rif", kRequestedAt5, kNow);
  evacuations.ReplaceAll({}, 4, kNow);
  CHECK(evacuations.IsEvacuated("rif"));
  evacuations.ReplaceAll({}, 6, kNow);
  CHECK(!evacuations.IsEvacuated("rif"));
}

TEST(Evacuations, is_known_once_read_or_told) {
  CHECK(!evacuations.is_known());
  evacuations.Merge({}, kNow);
  CHECK(!evacuations.is_known());
  evacuations.Merge({{"rif", kRequestedAt5}}, kNow);
  CHECK(evacuations.is_known());
  Evacuations other;
  other.ReplaceAll({}, 3, kNow);
  CHECK(other.is_known());
}

// Withdrawals leave the heartbeats after a while, and return when a peer turns
// out to lack one.
TEST(Evacuations, withdrawal_is_shared_until_peers_know_it) {
  evacuations.Apply("rif", kRequestedAt5, kNow);
  evacuations.Apply("rif", kWithdrawnAt7, kNow);
  const Time later = kNow + Evacuations::kWithdrawalShared;
  CHECK_EQUAL(1, evacuations.Shared(kNow).size());
  CHECK(evacuations.Shared(later).empty());
  evacuations.Merge({{"rif", kRequestedAt5}}, later);
  CHECK_EQUAL(1, evacuations.Shared(later).size());
}

TEST(Evacuations, nonsense_is_bounded) {
  for (int i = 0; i < 1000; ++i)
    evacuations.Apply("dc" + std::to_string(i), {.version = 5}, kNow);
  CHECK_EQUAL(Evacuations::kMostEntries, evacuations.table().size());
  evacuations.Apply(std::string(100, 'x'), kRequestedAt5, kNow);
  evacuations.Apply("", kRequestedAt5, kNow);
  CHECK_EQUAL(Evacuations::kMostEntries, evacuations.table().size());
  // A request still finds a place.
  evacuations.Apply("rif", kRequestedAt5, kNow);
  CHECK(evacuations.IsEvacuated("rif"));
}

}  // namespace mustardbank
