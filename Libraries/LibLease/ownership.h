// Decides which shards this VM owns. Ownership is a record in the platform's
// store, changed by compare-and-set, whose version is the fencing token of the
// owner's orders: workers refuse those of an earlier owner. So a wrong guess
// that an owner is gone costs work, and never safety.
//
// An owner keeps its shards while the store is away. A shard is claimed from
// an owner that neither this VM nor any VM it hears has heard for a time,
// first by VMs of the shard's data centre, and from outside only by a VM that
// reaches the shard's workers.
//
// An owner that leaves offers its shards, and goes on starting tasks until
// the successor's claim is seen: the successor may be unable to claim.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/event_log.h"
#include "LibLease/shard.h"

namespace mustardbank {

struct OwnershipTiming {
  // Heartbeats of an owner, and to the owner of work in progress.
  Duration busy_interval = std::chrono::milliseconds(150);
  // Between VMs that have no business with each other.
  Duration idle_interval = std::chrono::milliseconds(1000);
  // Five missed heartbeats: links that lose one packet in 30 do so once in
  // 20 million.
  Duration owner_timeout = std::chrono::milliseconds(800);
  Duration member_timeout = std::chrono::milliseconds(3200);
  // A home that is silent for this long has its jobs stopped. A caller sends
  // again 1,300 ms after its connection broke.
  Duration home_timeout = std::chrono::milliseconds(700);
  // For each candidate that comes before this VM.
  Duration claim_step = std::chrono::milliseconds(300);
  // The first claim waits for heartbeats, so that one candidate claims.
  Duration first_claim = std::chrono::milliseconds(600);
  Duration claim_retry = std::chrono::milliseconds(400);
  // A VM of the shard's data centre gets it back after this time in sight.
  Duration return_delay = std::chrono::milliseconds(600);
  // A claim takes a heartbeat and a write to the store; one that takes longer
  // than this is not to be expected of the VM that was asked.
  Duration offer_timeout = std::chrono::milliseconds(1000);
};

struct ClaimShard {
  ShardId shard;
  std::uint64_t expected_version = 0;  // 0: there is no record yet
};

// Asks whether this VM reaches the workers of a data centre.
struct ProbeDataCenter {
  std::string data_center;
};

class Ownership {
 public:
  struct Self {
    std::string name;
    std::string data_center;
    std::uint64_t incarnation = 0;
    double power = 1;  // cores
  };

  Ownership(Self self, OwnershipTiming timing, EventLog& log)
      : self_(std::move(self)), timing_(timing), log_(log) {}

  // Records of the store.
  void DidReadMember(const MemberRecord& member, Time now);
  void DidDropMember(const std::string& name);
  void DidReadShard(const ShardRecord& record, Time now);
  void SetShardCount(const std::string& data_center, std::uint32_t count);
  std::uint32_t ShardCount(const std::string& data_center) const;

  void DidReceiveHeartbeat(const Heartbeat& heartbeat, Time now);
  // Nothing is claimed while the store does not answer. Silence of owners
  // counts from its return: this VM may have been cut off from them, too.
  void DidLoseStore() { has_store_ = false; }
  void DidRegainStore(Time now);
  // `version` is that of the new record, or empty if the claim failed.
  void DidClaim(const ClaimShard& claim,
                std::optional<std::uint64_t> version,
                Time now);
  void DidProbe(const std::string& data_center, bool reached, Time now);
  // A worker refused an order, since a later owner has given some.
  void DidLose(const ShardId& shard, Time now);
  // Workers of a shard that is released, where tasks of this owner may run.
  void SetBusy(const ShardId& shard, std::vector<std::string> busy);

  void Tick(Time now);
  void Leave(Time now);
  bool is_leaving() const { return leaving_; }

  std::vector<ClaimShard> TakeClaims();
  std::vector<ProbeDataCenter> TakeProbes();

  // Whether this VM may order the worker now; the fencing token to use.
  std::optional<std::uint64_t> TokenFor(const std::string& worker,
                                        const std::string& data_center,
                                        Time now) const;
  bool Owns(const ShardId& shard) const { return owned_.contains(shard); }
  // Whether the shard's successor has claimed it: nothing more is started.
  bool IsReleasing(const ShardId& shard) const;
  std::vector<ShardId> ReleasingShards() const;
  // Whether there are shards that are owned and not released.
  bool StartsAny() const;
  // Counts offers and releases, which the successor shall hear of at once.
  std::uint64_t hand_over_steps() const { return hand_over_steps_; }
  // When the shard was claimed; it must be owned.
  Time ClaimedAt(const ShardId& shard) const {
    return owned_.at(shard).claimed;
  }
  // Whether a claim of this VM is on its way to the store.
  bool IsClaiming() const;
  bool OwnsAny() const { return !owned_.empty(); }
  bool OwnsIn(const std::string& data_center) const;
  // Nothing is left to hand over.
  bool HasLeft() const { return leaving_ && owned_.empty(); }
  ShardId ShardOf(const std::string& worker,
                  const std::string& data_center) const;

  Heartbeat MakeHeartbeat(const OwnerLoad& load,
                          std::uint64_t configuration_version,
                          Time now) const;

  struct Peer {
    MemberRecord record;
    Heartbeat last_heartbeat;
    Time last_heartbeat_at;  // time_point::min() before the first heartbeat
    Time reachable_since;
    bool was_lost = false;
  };
  const std::map<std::string, Peer>& peers() const { return peers_; }
  // Whether the VM sent a heartbeat lately.
  bool IsReachable(const Peer& peer, Time now) const;
  // Whether it does so and does not leave.
  bool IsAlive(const Peer& peer, Time now) const;

 private:
  struct Owned {
    std::uint64_t version = 0;
    std::string successor;
    Time offered;
    // All VMs it was offered to: an earlier one may have claimed it.
    std::set<std::string> offered_to;
    bool is_busy_known = false;
    std::vector<std::string> busy;
    // The owner before, while it may still have tasks on some workers.
    std::string predecessor;
    bool is_claimed = false;  // by the successor
    Time claimed;
  };

  struct Shard {
    std::optional<ShardRecord> record;
    Time ownerless_since = Time::max();
    Time claim_again{};
    bool claim_in_flight = false;
  };

  bool IsOwnerGone(const Shard& shard, Time now) const;
  bool IsReachableFromOthers(const std::string& name, Time now) const;
  std::optional<Duration> ClaimDelay(const ShardId& id,
                                     const Shard& shard,
                                     Time now) const;
  void ConsiderClaim(const ShardId& id, Shard& shard, Time now);
  void Take(const ShardId& id,
            std::uint64_t version,
            const std::string& former,
            Time now);
  void Drop(const ShardId& id, std::string_view cause, Time now);
  bool IsHandingOver() const;
  void HandOver(const ShardId& id, Owned& owned, Time now);
  void DidSeeClaim(const ShardId& id,
                   Owned& owned,
                   const std::string& successor,
                   Time now);
  const ShardStatus* PredecessorStatus(const ShardId& id,
                                       const Owned& owned,
                                       Time now) const;
  bool IsReleasedToSelf(const ShardStatus& status) const;
  bool HasBetterOwner(const ShardId& id, Time now) const;
  // None of `passed_over`; "" if there is no other.
  std::string ChooseSuccessor(const ShardId& id,
                              const std::set<std::string>& passed_over,
                              Time now) const;
  void LogLostPeers(Time now);

  const Self self_;
  const OwnershipTiming timing_;
  EventLog& log_;
  std::map<std::string, Peer> peers_;                  // without this VM
  std::map<std::string, std::uint32_t> shard_counts_;  // by data centre
  std::map<ShardId, Shard> shards_;
  std::map<ShardId, Owned> owned_;
  std::map<std::string, Time> reached_;  // data centres, when last probed well
  std::map<std::string, Time> probed_;
  std::vector<ClaimShard> claims_;
  std::vector<ProbeDataCenter> probes_;
  std::uint64_t hand_over_steps_ = 0;
  bool leaving_ = false;
  bool has_store_ = true;
  Time store_regained_ = Time::min();
};

}  // namespace mustardbank
