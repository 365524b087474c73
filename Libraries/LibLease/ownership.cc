#include "LibLease/ownership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibCore/digest.h"

namespace mustardbank {

namespace {

// Extra claim delay of VMs outside the shard's data centre, so that VMs inside
// it claim first.
constexpr Duration kOutsideDelay = std::chrono::milliseconds(600);
// How long the result of a probe of a data centre is valid.
constexpr Duration kProbeValidity = std::chrono::milliseconds(1000);
// A shard moves only to a VM that gives it this many times the processors. A
// move costs capacity: busy workers get no new tasks until their tasks end.
constexpr double kBalanceFactor = 2;
constexpr double kLeastPower = 0.01;  // cores
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
// Ticks come each 10 to 50 ms, and a small VM may be throttled for some 100 ms.
// The list of workers is up to 1.4 s old, and a worker that has begun to leave
// may get tasks for 2 s.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(500);

// Shards per core if the VM owned one shard more.
double ShardsPerCore(std::size_t shards, double power) {
  return (static_cast<double>(shards) + 1) / std::max(power, kLeastPower);
}

}  // namespace

std::uint32_t ShardIndexOf(const std::string& worker, std::uint32_t count) {
  return count < 2 ? 0 : static_cast<std::uint32_t>(FastDigest(worker) % count);
}

void Ownership::SetShardCount(const std::string& data_center,
                              std::uint32_t count) {
  ++shard_count_changes_;
  shard_counts_[data_center] = count;
  for (std::uint32_t i = 0; i < count; ++i)
    shards_.try_emplace(ShardId{.data_center = data_center, .index = i});
}

std::uint32_t Ownership::ShardCount(const std::string& data_center) const {
  const auto it = shard_counts_.find(data_center);
  return it == shard_counts_.end() ? 0 : it->second;
}

ShardId Ownership::ShardOf(const std::string& worker,
                           const std::string& data_center) const {
  return {.data_center = data_center,
          .index = ShardIndexOf(worker, ShardCount(data_center))};
}

void Ownership::DidReadShard(const ShardRecord& record, Time now) {
  Shard& shard = shards_[record.shard];
  if (shard.record && shard.record->version >= record.version)
    return;
  const std::string former = shard.record ? shard.record->owner : "";
  shard.record = record;
  const bool is_mine = record.owner == self_.name &&
                       record.owner_incarnation == self_.incarnation;
  const auto it = owned_.find(record.shard);
  if (is_mine) {
    // The store's answer to the claim may have been lost or may be late.
    if (it == owned_.end() || it->second.version < record.version)
      BeginOwnership(record.shard, record.version, former, now);
    return;
  }
  if (it == owned_.end() || it->second.version >= record.version)
    return;
  if (it->second.offered_to.contains(record.owner))
    DidSeeClaim(record.shard, it->second, record.owner, now);
  else
    EndOwnership(record.shard, "claimed_elsewhere", now);
}

void Ownership::DidSeeClaim(const ShardId& id,
                            OwnedShard& owned,
                            const std::string& successor,
                            Time now) {
  if (owned.is_claimed && owned.successor == successor)
    return;
  owned.successor = successor;
  owned.is_claimed = true;
  log_.Write(LogEvent::kShardReleased, now, LogBudget::kState)
      .Add(LogField::kShard, id.ToString())
      .Add(LogField::kPeer, successor)
      .Add(LogField::kElapsedMs, now - owned.offered);
}

bool Ownership::IsOwnerGone(const Shard& shard, Time now) const {
  if (!shard.record)
    return true;
  const ShardRecord& record = *shard.record;
  if (record.owner == self_.name)
    return record.owner_incarnation != self_.incarnation;
  const auto it = peers_.find(record.owner);
  if (it == peers_.end() ||
      it->second.record.incarnation > record.owner_incarnation)
    return true;
  const Peer& peer = it->second;
  // For a VM without any heartbeat so far, the time counts from when its record
  // was read.
  const Time counted_from =
      std::max({peer.last_heartbeat_at, peer.reachable_since, store_regained_,
                resumed_at_});
  // A process that has heard nobody yet may be the one that is unreachable.
  const Duration unheard_timeout = IsIsolated(record.owner, now)
                                       ? timing_.member_timeout
                                       : timing_.owner_timeout;
  const Duration timeout = peer.IsUnheard() ? unheard_timeout : TimeoutOf(peer);
  return now - counted_from > timeout && !IsReachableFromOthers(record, now);
}

std::optional<Duration> Ownership::ClaimDelay(const ShardId& id,
                                              const Shard& shard,
                                              Time now) const {
  const bool is_outside = self_.data_center != id.data_center;
  if (is_outside) {
    const auto it = reached_.find(id.data_center);
    if (it == reached_.end() || now - it->second > kProbeValidity)
      return std::nullopt;
  }
  const auto rank_of = [&](const std::string& name,
                           const std::string& data_center, std::size_t shards,
                           double power) {
    return std::tuple(data_center != id.data_center,
                      ShardsPerCore(shards, power),
                      FastDigest(name + id.ToString()));
  };
  const auto own_rank =
      rank_of(self_.name, self_.data_center, owned_.size(), self_.power);
  const auto before =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return IsAlive(peer, now) &&
               rank_of(entry.first, peer.record.data_center,
                       peer.last_heartbeat.shards.size(),
                       peer.record.power) < own_rank;
      });
  return (shard.record ? Duration{} : timing_.first_claim) +
         timing_.claim_step * before +
         (is_outside ? kOutsideDelay : Duration{});
}

void Ownership::ConsiderClaim(const ShardId& id, Shard& shard, Time now) {
  if (leaving_ || !has_store_ || shard.claim_in_flight || owned_.contains(id))
    return;
  bool is_offered = false;
  if (shard.record) {
    const auto owner = peers_.find(shard.record->owner);
    if (owner != peers_.end()) {
      const ShardStatus* status = FindStatus(owner->second.last_heartbeat, id);
      is_offered = status && status->successor == self_.name;
    }
  }
  if (!is_offered) {
    if (!IsOwnerGone(shard, now)) {
      shard.ownerless_since = Time::max();
      return;
    }
    if (shard.ownerless_since == Time::max())
      shard.ownerless_since = now;
    const std::optional<Duration> delay = ClaimDelay(id, shard, now);
    if (!delay) {
      Time& probed = probed_[id.data_center];
      if (now - probed >= kProbeInterval) {
        probed = now;
        probes_.push_back({.data_center = id.data_center});
      }
      return;
    }
    if (now - shard.ownerless_since < *delay)
      return;
  }
  if (now < shard.claim_again)
    return;
  shard.claim_in_flight = true;
  claims_.push_back(
      {.shard = id,
       .expected_version = shard.record ? shard.record->version : 0});
}

void Ownership::DidClaim(const ClaimShard& claim,
                         std::optional<std::uint64_t> version,
                         Time now) {
  Shard& shard = shards_[claim.shard];
  shard.claim_in_flight = false;
  if (!version) {
    shard.claim_again = now + timing_.claim_retry;
    return;
  }
  const bool is_newer = !shard.record || shard.record->version < *version;
  if (!is_newer)
    return;
  BeginOwnership(claim.shard, *version, shard.record ? shard.record->owner : "",
                 now);
  shard.record = ShardRecord{.shard = claim.shard,
                             .owner = self_.name,
                             .owner_incarnation = self_.incarnation,
                             .version = *version};
}

void Ownership::BeginOwnership(const ShardId& id,
                               std::uint64_t version,
                               const std::string& former,
                               Time now) {
  log_.Write(LogEvent::kShardClaimed, now, LogBudget::kState)
      .Add(LogField::kShard, id.ToString())
      .Add(LogField::kToken, version);
  OwnedShard& owned = owned_[id];
  owned = OwnedShard{.version = version, .claimed = now};
  // An owner that hands over lists in its heartbeats the workers that still run
  // its tasks.
  const auto peer = peers_.find(former);
  if (peer != peers_.end()) {
    const ShardStatus* status = FindStatus(peer->second.last_heartbeat, id);
    // The successor may be another VM, if the owner offered the shard again
    // before it saw this claim.
    if (status && !status->successor.empty())
      owned.predecessor = former;
  }
  shards_[id].ownerless_since = Time::max();
}

void Ownership::EndOwnership(const ShardId& id,
                             std::string_view cause,
                             Time now) {
  log_.Write(LogEvent::kShardLost, now, LogBudget::kState)
      .Add(LogField::kShard, id.ToString())
      .Add(LogField::kToken, owned_[id].version)
      .Add(LogField::kCause, cause);
  owned_.erase(id);
}

void Ownership::DidLoseShard(const ShardId& id, Time now) {
  if (owned_.contains(id))
    EndOwnership(id, "fenced", now);
}

void Ownership::DidProbe(const std::string& data_center,
                         bool reached,
                         Time now) {
  if (reached)
    reached_[data_center] = now;
  else
    reached_.erase(data_center);
}

void Ownership::SetBusy(const ShardId& id, std::vector<std::string> busy) {
  const auto it = owned_.find(id);
  if (it == owned_.end() || !it->second.is_claimed)
    return;
  if (!std::exchange(it->second.is_busy_known, true))
    ++hand_over_steps_;
  it->second.busy = std::move(busy);
}

bool Ownership::IsReleasing(const ShardId& id) const {
  const auto it = owned_.find(id);
  return it != owned_.end() && it->second.is_claimed;
}

bool Ownership::MayStartTasks() const {
  return std::any_of(owned_.begin(), owned_.end(), [](const auto& entry) {
    return !entry.second.is_claimed;
  });
}

bool Ownership::OwnsIn(const std::string& data_center) const {
  const auto it = owned_.lower_bound({.data_center = data_center});
  return it != owned_.end() && it->first.data_center == data_center;
}

std::vector<ShardId> Ownership::OwnedShards() const {
  std::vector<ShardId> shards;
  for (const auto& [id, owned] : owned_)
    shards.push_back(id);
  return shards;
}

std::vector<ShardId> Ownership::ReleasingShards() const {
  std::vector<ShardId> releasing;
  for (const auto& [id, owned] : owned_) {
    if (owned.is_claimed)
      releasing.push_back(id);
  }
  return releasing;
}

std::optional<std::uint64_t> Ownership::TokenFor(const std::string& worker,
                                                 const std::string& data_center,
                                                 Time now) const {
  const ShardId id = ShardOf(worker, data_center);
  const auto it = owned_.find(id);
  if (it == owned_.end())
    return std::nullopt;
  const OwnedShard& owned = it->second;
  const ShardStatus* status = PredecessorStatus(id, owned, now);
  if (!status)
    return owned.version;
  const bool is_busy = !IsReleasedToSelf(*status) ||
                       std::find(status->busy.begin(), status->busy.end(),
                                 worker) != status->busy.end();
  return is_busy ? std::nullopt : std::optional(owned.version);
}

bool Ownership::IsReleasedToSelf(const ShardStatus& status) const {
  return status.successor == self_.name && status.is_released;
}

// The shard's status in the previous owner's last heartbeat. Null if that owner
// is unreachable or no longer lists the shard.
const ShardStatus* Ownership::PredecessorStatus(const ShardId& id,
                                                const OwnedShard& owned,
                                                Time now) const {
  const auto peer = peers_.find(owned.predecessor);
  if (peer == peers_.end() ||
      now - std::max(peer->second.last_heartbeat_at, resumed_at_) >
          TimeoutOf(peer->second))
    return nullptr;
  const ShardStatus* status = FindStatus(peer->second.last_heartbeat, id);
  // With a later version, that VM has claimed the shard back from this one.
  return status && status->version < owned.version ? status : nullptr;
}

// Whether a VM of the shard's data centre should own it instead: any one if
// this VM is in another data centre, or one with far more processors per shard.
bool Ownership::HasBetterOwner(const ShardId& id, Time now) const {
  if (IsHandingOver())
    return false;
  const bool is_outside = self_.data_center != id.data_center;
  const double own_share = ShardsPerCore(owned_.size() - 1, self_.power);
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.record.data_center == id.data_center && IsAlive(peer, now) &&
           now - peer.reachable_since > timing_.return_delay &&
           (is_outside ||
            kBalanceFactor * ShardsPerCore(peer.last_heartbeat.shards.size(),
                                           peer.record.power) <
                own_share);
  });
}

std::string Ownership::ChooseSuccessor(const ShardId& id,
                                       const std::set<std::string>& passed_over,
                                       Time now) const {
  std::string best;
  std::tuple<bool, double> best_rank;
  for (const auto& [name, peer] : peers_) {
    if (!IsAlive(peer, now) || passed_over.contains(name))
      continue;
    const std::tuple rank(
        peer.record.data_center != id.data_center,
        ShardsPerCore(peer.last_heartbeat.shards.size(), peer.record.power));
    if (best.empty() || rank < best_rank) {
      best = name;
      best_rank = rank;
    }
  }
  return best;
}

void Ownership::HandOver(const ShardId& id, OwnedShard& owned, Time now) {
  if (owned.is_claimed)
    return;
  // Not while the previous owner's tasks may still run: the next owner learns
  // of busy workers from this VM only, and this VM reports only those that run
  // its own tasks.
  const ShardStatus* status = PredecessorStatus(id, owned, now);
  if (status && (!IsReleasedToSelf(*status) || !status->busy.empty()))
    return;
  if (!owned.successor.empty()) {
    const auto it = peers_.find(owned.successor);
    if (it != peers_.end() && IsAlive(it->second, now) &&
        now - owned.offered <= timing_.offer_timeout)
      return;
  }
  const std::string last = std::exchange(owned.successor, "");
  if (!leaving_ && !HasBetterOwner(id, now))
    return;
  owned.successor = ChooseSuccessor(id, owned.offered_to, now);
  if (owned.successor.empty())
    owned.successor = ChooseSuccessor(id, {}, now);
  owned.offered = now;
  if (!owned.successor.empty() && owned.successor != last) {
    ++hand_over_steps_;
    owned.offered_to.insert(owned.successor);
    log_.Write(LogEvent::kShardHandedOver, now, LogBudget::kState)
        .Add(LogField::kShard, id.ToString())
        .Add(LogField::kPeer, owned.successor);
  }
}

void Ownership::NoticePause(Time now) {
  if (noticed_at_ != Time() && now - noticed_at_ > kPauseThreshold)
    resumed_at_ = now;
  noticed_at_ = now;
}

void Ownership::Tick(Time now) {
  NoticePause(now);
  for (auto& [id, shard] : shards_)
    ConsiderClaim(id, shard, now);
  std::vector<ShardId> handed_over;
  for (auto& [id, owned] : owned_) {
    HandOver(id, owned, now);
    if (owned.is_busy_known && owned.busy.empty())
      handed_over.push_back(id);
  }
  for (const ShardId& id : handed_over)
    EndOwnership(id, "handed_over", now);
  LogLostPeers(now);
  ForgetUnrecorded(now);
}

bool Ownership::IsHandingOver() const {
  return std::any_of(owned_.begin(), owned_.end(), [](const auto& entry) {
    return !entry.second.successor.empty();
  });
}

void Ownership::DidRegainStore(Time now) {
  has_store_ = true;
  store_regained_ = now;
  for (auto& [id, shard] : shards_)
    shard.ownerless_since = Time::max();
}

bool Ownership::IsClaiming() const {
  return std::any_of(shards_.begin(), shards_.end(), [](const auto& entry) {
    return entry.second.claim_in_flight;
  });
}

void Ownership::Leave(Time now) {
  leaving_ = true;
  Tick(now);
}

std::vector<ClaimShard> Ownership::TakeClaims() {
  return std::exchange(claims_, {});
}

std::vector<ProbeDataCenter> Ownership::TakeProbes() {
  return std::exchange(probes_, {});
}

}  // namespace mustardbank
