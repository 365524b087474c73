// Decides which shards this VM owns. Ownership is a record in the platform's
// store that is changed by compare-and-set. The version of the record is the
// fencing token of the owner's commands, and workers refuse commands of an
// earlier owner. Claiming the shard of an owner that still lives therefore
// wastes work, but never breaks safety.
//
// An owner keeps its shards while the store is unavailable. A shard is claimed
// from an owner once neither this VM nor any VM it can reach has received a
// heartbeat of that owner for some time. VMs of the shard's data centre claim
// first; a VM of another data centre claims only if it reaches the shard's
// workers.
//
// An owner that leaves offers its shards to a successor. It continues to start
// tasks until it sees the successor's claim, since the successor may be unable
// to claim.
//
// A VM that starts knows its peers from the store before they know it: their
// store may be unavailable, or they read its changes later. It introduces
// itself in its heartbeats until each peer has answered, so that the silence of
// a living owner never comes from not knowing this VM.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/event_log.h"
#include "LibLease/clock_stamp.h"
#include "LibLease/heartbeat_schedule.h"
#include "LibLease/shard.h"

namespace mustardbank {

struct OwnershipTiming {
  HeartbeatTiming heartbeats;
  // An owner without a heartbeat for this long is unreachable. This is five
  // missed heartbeats, which links that lose one packet in 30 cause by chance
  // once in 20 million.
  Duration owner_timeout = std::chrono::milliseconds(800);
  Duration member_timeout = std::chrono::milliseconds(3200);
  // The timeout of a peer that announced a longer interval between heartbeats,
  // in such intervals.
  double missed_heartbeats = 3.2;
  // The jobs of a home (the entry VM that answers the caller) without a
  // heartbeat for this long are cancelled. Callers submit a job again 1,300 ms
  // after their connection broke; its earlier runs should be stopped by then.
  Duration home_timeout = std::chrono::milliseconds(700);
  // An owner does not start a job whose request may have been sent longer ago:
  // its home may have given it up, and its caller may submit it again. With the
  // home's timeout and the time to stop a run, this stays within those 1,300
  // ms. Two missed heartbeats in a row are within it.
  Duration longest_request_age = std::chrono::milliseconds(400);
  // Claim delay for each candidate that ranks before this VM.
  Duration claim_step = std::chrono::milliseconds(300);
  // The first claim of a shard waits for heartbeats, so that only one candidate
  // claims.
  Duration first_claim = std::chrono::milliseconds(600);
  Duration claim_retry = std::chrono::milliseconds(400);
  // A VM of the shard's data centre that is a better owner gets the shard once
  // it has been reachable for this long.
  Duration return_delay = std::chrono::milliseconds(600);
  // A claim takes a heartbeat and a write to the store. A shard that is not
  // claimed within this time is offered to another VM.
  Duration offer_timeout = std::chrono::milliseconds(1000);
};

struct ClaimShard {
  ShardId shard;
  std::uint64_t expected_version = 0;  // 0: the shard has no record
};

// A request to test whether this VM reaches the workers of a data centre.
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

  // Records read from the store.
  void DidReadMember(const MemberRecord& member, Time now);
  void DidDropMember(const std::string& name);
  void DidReadShard(const ShardRecord& record, Time now);
  void SetShardCount(const std::string& data_center, std::uint32_t count);
  std::uint32_t ShardCount(const std::string& data_center) const;
  const std::map<std::string, std::uint32_t>& shard_counts() const {
    return shard_counts_;
  }
  // Counts the changes of these numbers, which move workers between shards.
  std::uint64_t shard_count_changes() const { return shard_count_changes_; }

  // All records up to this version of the store were read.
  void DidReadStoreThrough(std::uint64_t version) { store_version_ = version; }

  void DidReceiveHeartbeat(const Heartbeat& heartbeat, Time now);
  // An answer of a peer carried its present load.
  void DidReceiveLoad(const std::string& peer, const OwnerLoad& load);
  // A message of a peer carried a stamp of its clock.
  void DidReceiveStamp(const std::string& peer, const ClockStamp& stamp);
  // The newest stamp of the peer that was received, to be returned to it. Empty
  // if its build sends none.
  std::optional<ClockStamp> NewestStampOf(const std::string& peer) const;
  ClockStamp MakeStamp(Time now) const {
    return {.incarnation = self_.incarnation, .at = now};
  }
  // Nothing is claimed while the store is unreachable. The time without
  // heartbeats of an owner counts from the return of the store at the earliest:
  // a network partition may have separated this VM from the owner, too.
  void DidLoseStore() { has_store_ = false; }
  void DidRegainStore(Time now);
  // `version` is the version of the new record, or empty if the claim failed.
  void DidClaim(const ClaimShard& claim,
                std::optional<std::uint64_t> version,
                Time now);
  void DidProbe(const std::string& data_center, bool reached, Time now);
  // A worker refused a command, since it had received one of a later owner.
  void DidLoseShard(const ShardId& shard, Time now);
  // Sets the workers of a released shard that may still run this owner's tasks.
  void SetBusy(const ShardId& shard, std::vector<std::string> busy);

  // Notices that the process was paused: what it knows of other VMs is as old
  // as the pause, and their silence meanwhile proves nothing.
  void NoticePause(Time now);
  // Where peers send datagrams and jobs. Known once the process listens.
  void set_endpoint(Endpoint endpoint) { endpoint_ = endpoint; }
  Introduction MakeIntroduction() const {
    return {.data_center = self_.data_center,
            .endpoint = endpoint_,
            .power = self_.power};
  }
  // The peers that introduced themselves since the last call, and wait for an
  // answer.
  std::set<std::string> TakeIntroduced();
  Time resumed_at() const { return resumed_at_; }
  bool has_store() const { return has_store_; }

  void Tick(Time now);
  void Leave(Time now);
  bool is_leaving() const { return leaving_; }

  std::vector<ClaimShard> TakeClaims();
  std::vector<ProbeDataCenter> TakeProbes();

  // Returns the fencing token if this VM may send the worker commands now.
  std::optional<std::uint64_t> TokenFor(const std::string& worker,
                                        const std::string& data_center,
                                        Time now) const;
  bool Owns(const ShardId& shard) const { return owned_.contains(shard); }
  // Whether the successor has claimed the shard, so that this VM starts no more
  // tasks there.
  bool IsReleasing(const ShardId& shard) const;
  std::vector<ShardId> ReleasingShards() const;
  // Whether this VM owns a shard that no successor has claimed.
  bool MayStartTasks() const;
  // Counts offers and releases. A change calls for a heartbeat at once, so that
  // the successor learns of it without delay.
  std::uint64_t hand_over_steps() const { return hand_over_steps_; }
  // When this VM claimed the shard, which it must own.
  Time ClaimedAt(const ShardId& shard) const {
    return owned_.at(shard).claimed;
  }
  // Whether a claim of this VM was sent to the store and not answered yet.
  bool IsClaiming() const;
  bool OwnsAny() const { return !owned_.empty(); }
  std::vector<ShardId> OwnedShards() const;
  const Self& self() const { return self_; }
  bool OwnsIn(const std::string& data_center) const;
  // Whether this VM leaves and has no more shards to hand over.
  bool HasLeft() const { return leaving_ && owned_.empty(); }
  ShardId ShardOf(const std::string& worker,
                  const std::string& data_center) const;

  // `interval` is the time to the next heartbeat to the same peer.
  Heartbeat MakeHeartbeat(const OwnerLoad& load,
                          std::uint64_t configuration_version,
                          Duration interval,
                          Time now) const;

  struct Peer {
    MemberRecord record;
    Heartbeat last_heartbeat;
    Time last_heartbeat_at;  // Time::min() before the first heartbeat
    // When the last heartbeat was sent, by this VM's clock. It may have waited
    // in a socket since.
    Time last_sent_at = Time::min();
    RemoteClock clock;
    std::optional<ClockStamp> newest_stamp;
    Time reachable_since;
    bool was_lost = false;
    bool is_recorded = false;  // in the store; others introduced themselves

    // Whether no heartbeat of its present incarnation was received. Such a peer
    // gets introductions.
    bool IsUnheard() const { return last_heartbeat_at == Time::min(); }
  };
  const std::map<std::string, Peer>& peers() const { return peers_; }
  // The number of known VMs of this VM's data centre that come before it, in an
  // order that all VMs share.
  std::int64_t RankInDataCenter() const;
  // The time between heartbeats to a peer. `shares_jobs`: one of the two VMs
  // runs jobs of the other.
  Duration HeartbeatIntervalTo(const Peer& peer,
                               bool shares_jobs,
                               Time now) const;
  // How long a peer may send no heartbeat until it counts as unreachable.
  Duration TimeoutOf(const Peer& peer) const;
  // Whether a heartbeat of the VM was received within its timeout.
  bool IsReachable(const Peer& peer, Time now) const;
  // Whether the VM is reachable and not leaving.
  bool IsAlive(const Peer& peer, Time now) const;

 private:
  struct OwnedShard {
    std::uint64_t version = 0;
    std::string successor;
    Time offered;
    // All VMs that the shard was offered to, since an earlier one may still
    // claim it.
    std::set<std::string> offered_to;
    bool is_busy_known = false;
    std::vector<std::string> busy;
    // The previous owner, if it handed the shard over: its tasks may still run
    // on some workers.
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
  bool IsReachableFromOthers(const ShardRecord& record, Time now) const;
  // Whether this VM hears none of the VMs other than the owner that are on
  // record.
  bool IsIsolated(const std::string& owner, Time now) const;
  bool OwnsRecordedShards(const std::string& name) const;
  void DidMeet(const Heartbeat& heartbeat, Time now);
  void ForgetUnrecorded(Time now);
  bool IsWitness(const Peer& peer, const ShardRecord& record) const;
  std::size_t VmsIn(const std::string& data_center) const;
  std::vector<std::string> SilentOwners(Time now) const;
  std::optional<Duration> ClaimDelay(const ShardId& id,
                                     const Shard& shard,
                                     Time now) const;
  void ConsiderClaim(const ShardId& id, Shard& shard, Time now);
  void BeginOwnership(const ShardId& id,
                      std::uint64_t version,
                      const std::string& former,
                      Time now);
  void EndOwnership(const ShardId& id, std::string_view cause, Time now);
  bool IsHandingOver() const;
  void HandOver(const ShardId& id, OwnedShard& owned, Time now);
  void DidSeeClaim(const ShardId& id,
                   OwnedShard& owned,
                   const std::string& successor,
                   Time now);
  const ShardStatus* PredecessorStatus(const ShardId& id,
                                       const OwnedShard& owned,
                                       Time now) const;
  bool IsReleasedToSelf(const ShardStatus& status) const;
  bool HasBetterOwner(const ShardId& id, Time now) const;
  // Returns the best VM that is not in `passed_over`, or "".
  std::string ChooseSuccessor(const ShardId& id,
                              const std::set<std::string>& passed_over,
                              Time now) const;
  void LogLostPeers(Time now);

  const Self self_;
  Endpoint endpoint_;
  const OwnershipTiming timing_;
  EventLog& log_;
  std::map<std::string, Peer> peers_;               // without this VM
  std::map<std::string, std::size_t> peer_counts_;  // by data centre
  std::set<std::string> introduced_;
  // The last incarnations of VMs whose records were removed. Introductions that
  // were sent before may arrive later.
  std::map<std::string, std::uint64_t> departed_;
  std::map<std::string, std::uint32_t> shard_counts_;  // by data centre
  std::map<ShardId, Shard> shards_;
  std::map<ShardId, OwnedShard> owned_;
  std::map<std::string, Time> reached_;  // last success, by data centre
  std::map<std::string, Time> probed_;
  std::vector<ClaimShard> claims_;
  std::vector<ProbeDataCenter> probes_;
  std::uint64_t hand_over_steps_ = 0;
  std::uint64_t shard_count_changes_ = 0;
  std::uint64_t store_version_ = 0;
  bool leaving_ = false;
  bool has_store_ = true;
  Time store_regained_ = Time::min();
  Time noticed_at_{};  // last call of NoticePause
  Time resumed_at_{};  // end of the last pause
};

}  // namespace mustardbank
