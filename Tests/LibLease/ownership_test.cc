#include <CppUTest/TestHarness.h>

#include "LibLease/ownership.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

const ShardId kShard{.data_center = "rif", .index = 0};

MemberRecord MakeMember(const std::string& name, std::uint64_t incarnation) {
  return {.name = name,
          .data_center = "rif",
          .endpoint = {.ip = 1, .port = 1},
          .incarnation = incarnation,
          .power = 1};
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Ownership) {
  EventLog log{"test"};
  Time now{std::chrono::seconds(100)};
  Ownership ownership{{.name = "self", .data_center = "rif", .incarnation = 5},
                      OwnershipTiming{},
                      log};

  // A gap between ticks counts as a pause of the process.
  void TickFor(milliseconds duration) {
    for (milliseconds passed{}; passed < duration; passed += milliseconds(50)) {
      now += milliseconds(50);
      ownership.Tick(now);
    }
  }

  void ReceiveStamped(milliseconds clock, std::uint64_t configuration_version) {
    ownership.DidReceiveHeartbeat(
        {.name = "peer",
         .incarnation = 3,
         .configuration_version = configuration_version,
         .sent_at = Time(clock)},
        now);
  }

  void ReceiveOwnerHeartbeat(bool is_released,
                             const std::vector<std::string>& busy) {
    ownership.DidReceiveHeartbeat({.name = "peer",
                                   .incarnation = 3,
                                   .leaving = true,
                                   .shards = {{.shard = kShard,
                                               .version = 10,
                                               .successor = "self",
                                               .is_released = is_released,
                                               .busy = busy}}},
                                  now);
  }

  // The store's record names another VM as owner of the shard.
  void ReadOwner(const std::string& name) {
    ownership.SetShardCount("rif", 1);
    ownership.DidReadMember(MakeMember(name, 3), now);
    ReadClaim(name, 10);
  }

  void ReadClaim(const std::string& name, std::uint64_t version) {
    ownership.DidReadShard({.shard = kShard,
                            .owner = name,
                            .owner_incarnation = 3,
                            .version = version},
                           now);
  }

  void OfferShard() {
    ReadOwner("peer");
    ReceiveOwnerHeartbeat(false, {});
    ownership.Tick(now);
  }

  void ClaimShardNow() {
    ownership.SetShardCount("rif", 1);
    ownership.Tick(now);
    now += milliseconds(700);
    ownership.Tick(now);
    ownership.DidClaim(ownership.TakeClaims().at(0), 12, now);
  }

  // This VM owns the shard and leaves while `peers` are reachable.
  void LeaveWithPeers(const std::vector<std::string>& peers) {
    ClaimShardNow();
    for (const std::string& peer : peers)
      ownership.DidReadMember(MakeMember(peer, 3), now);
    ReceiveHeartbeats(peers);
    ownership.Leave(now);
  }

  void ReceiveHeartbeats(const std::vector<std::string>& peers) {
    for (const std::string& peer : peers)
      ownership.DidReceiveHeartbeat({.name = peer, .incarnation = 3}, now);
  }

  static Heartbeat Introduce(const std::string& name,
                             std::uint64_t incarnation) {
    return {.name = name,
            .incarnation = incarnation,
            .introduction = Introduction{.data_center = "rif",
                                         .endpoint = {.ip = 1, .port = 1},
                                         .power = 1}};
  }

  ShardStatus Status() {
    return ownership.MakeHeartbeat({}, 0, milliseconds(150), now).shards.at(0);
  }
};

// A VM that was paused has heard nobody meanwhile. In its first tick it claimed
// the shards of owners that were well, whose running work was lost.
TEST(Ownership, nothing_is_claimed_for_silence_during_a_pause) {
  ReadOwner("peer");
  ownership.DidReceiveHeartbeat(
      {.name = "peer", .incarnation = 3, .shards = {{.shard = kShard}}}, now);
  ownership.Tick(now);
  now += milliseconds(3000);
  ownership.Tick(now);
  CHECK(ownership.TakeClaims().empty());
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    ownership.Tick(now);
  }
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

TEST(Ownership, shard_without_record_is_claimed) {
  ownership.SetShardCount("rif", 1);
  ownership.Tick(now);
  CHECK(ownership.TakeClaims().empty());
  now += milliseconds(700);
  ownership.Tick(now);
  const auto claims = ownership.TakeClaims();
  CHECK_EQUAL(1, claims.size());
  CHECK_EQUAL(0, claims[0].expected_version);
  ownership.DidClaim(claims[0], 12, now);
  CHECK(ownership.TokenFor("worker", "rif", now) == std::optional(12UL));
}

TEST(Ownership, offered_shard_is_claimed_at_once) {
  OfferShard();
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

// The successor may be unable to claim the shard. Without its current owner, no
// VM would then serve its workers.
TEST(Ownership, offered_shard_is_served_until_its_claim_is_seen) {
  LeaveWithPeers({"peer"});
  CHECK_EQUAL("peer", Status().successor);
  CHECK(!ownership.IsReleasing(kShard));
  ownership.DidReadShard(
      {.shard = kShard, .owner = "peer", .owner_incarnation = 3, .version = 14},
      now);
  CHECK(ownership.IsReleasing(kShard));
  CHECK(!Status().is_released);
  ownership.SetBusy(kShard, {"worker"});
  CHECK(Status().is_released);
  ownership.Tick(now);
  CHECK(ownership.Owns(kShard));
  ownership.SetBusy(kShard, {});
  ownership.Tick(now);
  CHECK(!ownership.Owns(kShard));
}

// The store may become unavailable after the claim, before the former owner has
// read the record.
TEST(Ownership, claim_is_seen_in_the_heartbeat_of_the_successor) {
  LeaveWithPeers({"peer"});
  ownership.DidReceiveHeartbeat({.name = "peer",
                                 .incarnation = 3,
                                 .shards = {{.shard = kShard, .version = 14}}},
                                now);
  CHECK(ownership.IsReleasing(kShard));
}

TEST(Ownership, shard_is_offered_to_another_vm_if_the_first_does_not_claim) {
  LeaveWithPeers({"first", "second"});
  const std::string first = Status().successor;
  for (int i = 0; i < 12; ++i) {
    now += milliseconds(100);
    ReceiveHeartbeats({"first", "second"});
    ownership.Tick(now);
  }
  const std::string second = Status().successor;
  CHECK(first != second);
  // The claim of the first VM may still arrive.
  ownership.DidReadShard(
      {.shard = kShard, .owner = first, .owner_incarnation = 3, .version = 14},
      now);
  CHECK_EQUAL(first, Status().successor);
  CHECK(ownership.IsReleasing(kShard));
}

TEST(Ownership, unreleased_shard_gets_no_commands_from_its_successor) {
  OfferShard();
  ownership.DidClaim(ownership.TakeClaims().at(0), 12, now);
  CHECK(!ownership.TokenFor("idle", "rif", now));
  ReceiveOwnerHeartbeat(true, {});
  CHECK(ownership.TokenFor("idle", "rif", now).has_value());
}

TEST(Ownership, worker_with_tasks_of_the_former_owner_gets_no_commands) {
  OfferShard();
  ownership.DidClaim(ownership.TakeClaims().at(0), 12, now);
  ReceiveOwnerHeartbeat(true, {"worker"});
  CHECK(!ownership.TokenFor("worker", "rif", now));
  CHECK(ownership.TokenFor("idle", "rif", now).has_value());
  ReceiveOwnerHeartbeat(true, {});
  CHECK(ownership.TokenFor("worker", "rif", now).has_value());
}

// The store's change feed may show the claim before the answer to it arrives.
TEST(Ownership, claim_seen_in_the_feed_sends_busy_workers_no_commands) {
  OfferShard();
  ReceiveOwnerHeartbeat(true, {"worker"});
  const auto claims = ownership.TakeClaims();
  ownership.DidReadShard(
      {.shard = kShard, .owner = "self", .owner_incarnation = 5, .version = 12},
      now);
  CHECK(ownership.Owns(kShard));
  CHECK(!ownership.TokenFor("worker", "rif", now));
  ownership.DidClaim(claims.at(0), 12, now);
  CHECK(!ownership.TokenFor("worker", "rif", now));
}

// The VM that handed the shard over has claimed it back. Its heartbeats then
// list the shard again, as that of its present owner. This VM took that for the
// first hand-over still going on, and never released the workers.
TEST(Ownership, workers_are_released_to_the_previous_owner) {
  OfferShard();
  const auto claims = ownership.TakeClaims();
  ownership.DidClaim(claims.at(0), 12, now);
  ReceiveOwnerHeartbeat(true, {});
  CHECK(ownership.TokenFor("worker", "rif", now) == std::optional(12UL));
  ownership.DidReceiveHeartbeat({.name = "peer",
                                 .incarnation = 3,
                                 .shards = {{.shard = kShard, .version = 20}}},
                                now);
  CHECK(ownership.TokenFor("worker", "rif", now) == std::optional(12UL));
}

TEST(Ownership, unreachable_owner_loses_the_shard_unless_others_reach_it) {
  ReadOwner("owner");
  ownership.DidReadMember(MakeMember("witness", 4), now);
  ownership.DidReceiveHeartbeat({.name = "owner",
                                 .incarnation = 3,
                                 .shards = {{.shard = kShard, .version = 10}}},
                                now);
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(100);
    ownership.DidReceiveHeartbeat(
        {.name = "witness", .incarnation = 4, .store_version = 10}, now);
    ownership.Tick(now);
    CHECK(ownership.TakeClaims().empty());
  }
  std::vector<ClaimShard> claims;
  for (int i = 0; i < 30 && claims.empty(); ++i) {
    now += milliseconds(100);
    ownership.DidReceiveHeartbeat({.name = "witness",
                                   .incarnation = 4,
                                   .store_version = 10,
                                   .silent_owners = {"owner"}},
                                  now);
    ownership.Tick(now);
    claims = ownership.TakeClaims();
  }
  CHECK_EQUAL(1, claims.size());
  CHECK_EQUAL(10, claims[0].expected_version);
}

// After a restart of all VMs, none has received a heartbeat yet.
TEST(Ownership, owner_without_a_heartbeat_yet_gets_the_full_timeout) {
  ReadOwner("owner");
  now += milliseconds(300);
  ownership.Tick(now);
  CHECK(ownership.TakeClaims().empty());
  TickFor(milliseconds(1000));
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

// VMs that joined after an outage of the store were unknown to all others, and
// claimed every shard of their data centre 0.8 s after their start.
TEST(Ownership, unknown_vm_is_known_once_it_introduces_itself) {
  ownership.DidReceiveHeartbeat(Introduce("joined", 3), now);
  CHECK_EQUAL(1, ownership.peers().size());
  CHECK(ownership.TakeIntroduced().contains("joined"));
  CHECK(ownership.TakeIntroduced().empty());
  CHECK(ownership.IsReachable(ownership.peers().at("joined"), now));
}

TEST(Ownership, late_introduction_of_a_departed_vm_is_ignored) {
  ownership.DidReadMember(MakeMember("left", 3), now);
  ownership.DidDropMember("left");
  ownership.DidReceiveHeartbeat(Introduce("left", 3), now);
  CHECK(ownership.peers().empty());
  ownership.DidReceiveHeartbeat(Introduce("left", 4), now);
  CHECK_EQUAL(1, ownership.peers().size());
}

TEST(Ownership, silent_vm_without_a_record_is_forgotten) {
  ownership.DidReceiveHeartbeat(Introduce("joined", 3), now);
  now += std::chrono::seconds(31);
  ownership.Tick(now);
  CHECK(ownership.peers().empty());
}

TEST(Ownership, record_of_an_earlier_incarnation_does_not_reset_a_peer) {
  ownership.DidReadMember(MakeMember("peer", 3), now);
  ownership.DidReceiveHeartbeat(Introduce("peer", 4), now);
  ownership.DidReadMember(MakeMember("peer", 3), now);
  CHECK_EQUAL(4, ownership.peers().at("peer").record.incarnation);
  CHECK(ownership.IsReachable(ownership.peers().at("peer"), now));
}

// A process that hears nobody may be the one that is unreachable.
TEST(Ownership, vm_that_hears_nobody_waits_longer_to_judge_an_owner) {
  ReadOwner("owner");
  ownership.DidReadMember(MakeMember("other", 3), now);
  TickFor(milliseconds(2500));
  CHECK(ownership.TakeClaims().empty());
  TickFor(milliseconds(1500));
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

TEST(Ownership, unheard_owner_gets_introductions_at_short_intervals) {
  ReadOwner("owner");
  const Ownership::Peer& owner = ownership.peers().at("owner");
  CHECK(owner.IsUnheard());
  CHECK(ownership.HeartbeatIntervalTo(owner, false, now) ==
        HeartbeatTiming{}.shortest);
  now += std::chrono::seconds(2);
  CHECK(ownership.HeartbeatIntervalTo(owner, false, now) ==
        HeartbeatTiming{}.idle);
}

TEST(Ownership, shard_goes_back_to_a_vm_of_its_data_centre) {
  ownership.SetShardCount("tanger", 1);
  ownership.DidProbe("tanger", true, now);
  ownership.Tick(now);
  now += milliseconds(900);
  ownership.DidProbe("tanger", true, now);
  now += milliseconds(400);
  ownership.Tick(now);
  ownership.DidClaim(ownership.TakeClaims().at(0), 12, now);
  MemberRecord returned = MakeMember("returned", 3);
  returned.data_center = "tanger";
  ownership.DidReadMember(returned, now);
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(100);
    ownership.DidReceiveHeartbeat({.name = "returned", .incarnation = 3}, now);
    ownership.Tick(now);
  }
  CHECK_EQUAL("returned", ownership.MakeHeartbeat({}, 0, milliseconds(150), now)
                              .shards.at(0)
                              .successor);
}

// After a network partition, a VM may reach the store before it receives
// heartbeats of its peers.
TEST(Ownership, owner_timeout_counts_from_the_return_of_the_store) {
  ReadOwner("owner");
  ownership.Tick(now);
  ownership.DidLoseStore();
  for (int i = 0; i < 60; ++i) {
    now += milliseconds(100);
    ownership.Tick(now);
    CHECK(ownership.TakeClaims().empty());
  }
  ownership.DidRegainStore(now);
  now += milliseconds(300);
  ownership.Tick(now);
  CHECK(ownership.TakeClaims().empty());
  TickFor(milliseconds(900));
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

TEST(Ownership, vm_with_more_processors_claims_first) {
  ownership.SetShardCount("rif", 1);
  MemberRecord strong = MakeMember("strong", 3);
  strong.power = 4;
  ownership.DidReadMember(strong, now);
  ownership.DidReceiveHeartbeat({.name = "strong", .incarnation = 3}, now);
  ownership.Tick(now);
  now += milliseconds(700);
  ownership.DidReceiveHeartbeat({.name = "strong", .incarnation = 3}, now);
  ownership.Tick(now);
  CHECK(ownership.TakeClaims().empty());
  now += milliseconds(300);
  ownership.Tick(now);
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

// A VM with few processors hands a shard over to one with more.
TEST(Ownership, shard_moves_to_a_vm_with_far_more_processors_to_spare) {
  ClaimShardNow();
  MemberRecord equal = MakeMember("equal", 3);
  MemberRecord strong = MakeMember("strong", 3);
  strong.power = 4;
  ownership.DidReadMember(equal, now);
  ownership.DidReadMember(strong, now);
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(100);
    ownership.DidReceiveHeartbeat({.name = "equal", .incarnation = 3}, now);
    ownership.Tick(now);
    CHECK(Status().successor.empty());
  }
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(100);
    ownership.DidReceiveHeartbeat({.name = "strong", .incarnation = 3}, now);
    ownership.Tick(now);
  }
  CHECK_EQUAL("strong", ownership.MakeHeartbeat({}, 0, milliseconds(150), now)
                            .shards.at(0)
                            .successor);
}

TEST(Ownership, shard_of_an_earlier_incarnation_is_claimed_at_once) {
  ownership.SetShardCount("rif", 1);
  ownership.DidReadShard(
      {.shard = kShard, .owner = "self", .owner_incarnation = 4, .version = 10},
      now);
  ownership.Tick(now);
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

TEST(Ownership, remote_shard_is_claimed_only_if_its_workers_are_reachable) {
  ownership.SetShardCount("tanger", 1);
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(100);
    ownership.Tick(now);
  }
  CHECK(ownership.TakeClaims().empty());
  CHECK(!ownership.TakeProbes().empty());
  ownership.DidProbe("tanger", true, now);
  ownership.Tick(now);
  CHECK_EQUAL(1, ownership.TakeClaims().size());
}

// Guards against a home that counts as heard, and keeps its jobs, by heartbeats
// that waited in a socket since it ended.
TEST(Ownership, heartbeats_count_from_their_sending) {
  ownership.DidReadMember(MakeMember("peer", 3), now);
  ReceiveStamped(milliseconds(1000), 1);
  now += milliseconds(3000);
  ReceiveStamped(milliseconds(1150), 2);
  const Ownership::Peer& peer = ownership.peers().at("peer");
  CHECK(now - peer.last_sent_at > milliseconds(2800));
  // One that was overtaken says nothing new.
  ReceiveStamped(milliseconds(1100), 1);
  CHECK_EQUAL(2, peer.last_heartbeat.configuration_version);
  // The newest stamp is returned.
  CHECK(ownership.NewestStampOf("peer") ==
        ClockStamp({3, Time(milliseconds(1150))}));
  ownership.DidReceiveStamp("peer", {3, Time(milliseconds(1400))});
  ownership.DidReceiveStamp("peer", {3, Time(milliseconds(1300))});
  CHECK(ownership.NewestStampOf("peer")->at == Time(milliseconds(1400)));
  // A restarted process has a clock of its own.
  ownership.DidReceiveHeartbeat(
      {.name = "peer", .incarnation = 4, .sent_at = Time(milliseconds(5))},
      now);
  CHECK(peer.last_sent_at == now);
  CHECK_EQUAL(4U, ownership.NewestStampOf("peer")->incarnation);
}

// Earlier builds send no stamps.
TEST(Ownership, heartbeat_without_a_stamp_counts_from_its_arrival) {
  ownership.DidReadMember(MakeMember("peer", 3), now);
  now += milliseconds(3000);
  ownership.DidReceiveHeartbeat({.name = "peer", .incarnation = 3}, now);
  CHECK(ownership.peers().at("peer").last_sent_at == now);
  CHECK(!ownership.NewestStampOf("peer"));
}

}  // namespace mustardbank
