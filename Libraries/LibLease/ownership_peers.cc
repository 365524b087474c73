// Peers of Ownership: which VMs are reachable, and what their heartbeats say.
#include <algorithm>
#include <utility>

#include "LibLease/ownership.h"

namespace mustardbank {

namespace {

// A VM writes its record within a second of the store's return. One that has
// introduced itself and is silent for longer has ended before.
constexpr Duration kUnrecordedTimeout = std::chrono::seconds(30);
constexpr std::size_t kMostDeparted = 1000;
// Beyond this number, VMs become known from the store only.
constexpr std::size_t kMostPeers = 4000;
// For how long an owner that has not answered gets introductions at short
// intervals: some may be lost, and its silence is judged after 0.8 s.
constexpr Duration kIntroductionPeriod = std::chrono::milliseconds(1600);

}  // namespace

const ShardStatus* FindStatus(const Heartbeat& heartbeat, const ShardId& id) {
  const auto it = std::find_if(
      heartbeat.shards.begin(), heartbeat.shards.end(),
      [&](const ShardStatus& status) { return status.shard == id; });
  return it == heartbeat.shards.end() ? nullptr : &*it;
}

void Ownership::DidReadMember(const MemberRecord& member, Time now) {
  if (member.name == self_.name)
    return;
  const auto [it, is_new] = peers_.try_emplace(member.name);
  Peer& peer = it->second;
  if (!is_new)
    --peer_counts_[peer.record.data_center];
  ++peer_counts_[member.data_center];
  peer.is_recorded = true;
  if (is_new || peer.record.incarnation < member.incarnation) {
    peer.last_heartbeat_at = Time::min();
    peer.last_sent_at = Time::min();
    peer.clock.Reset();
    peer.last_heartbeat = {};
    peer.reachable_since = now;
  } else if (peer.record.incarnation > member.incarnation) {
    // The record of an earlier incarnation: the VM has introduced itself since.
    ++peer_counts_[peer.record.data_center];
    --peer_counts_[member.data_center];
    return;
  }
  peer.record = member;
}

// A VM introduced itself that this one does not know, or knows in an earlier
// incarnation only.
void Ownership::DidMeet(const Heartbeat& heartbeat, Time now) {
  const auto departed = departed_.find(heartbeat.name);
  if (heartbeat.name == self_.name ||
      (departed != departed_.end() &&
       heartbeat.incarnation <= departed->second))
    return;
  const auto known = peers_.find(heartbeat.name);
  if (known == peers_.end() && peers_.size() >= kMostPeers)
    return;
  introduced_.insert(heartbeat.name);
  if (known != peers_.end() &&
      known->second.record.incarnation >= heartbeat.incarnation)
    return;
  const bool was_recorded = known != peers_.end() && known->second.is_recorded;
  DidReadMember({.name = heartbeat.name,
                 .data_center = heartbeat.introduction->data_center,
                 .endpoint = heartbeat.introduction->endpoint,
                 .incarnation = heartbeat.incarnation,
                 .power = heartbeat.introduction->power},
                now);
  peers_.at(heartbeat.name).is_recorded = was_recorded;
}

std::set<std::string> Ownership::TakeIntroduced() {
  return std::exchange(introduced_, {});
}

void Ownership::ForgetUnrecorded(Time now) {
  std::vector<std::string> gone;
  for (const auto& [name, peer] : peers_) {
    if (!peer.is_recorded &&
        now - std::max(peer.last_heartbeat_at, peer.reachable_since) >
            kUnrecordedTimeout)
      gone.push_back(name);
  }
  for (const std::string& name : gone) {
    --peer_counts_[peers_.at(name).record.data_center];
    peers_.erase(name);
  }
}

void Ownership::DidDropMember(const std::string& name) {
  const auto it = peers_.find(name);
  if (it == peers_.end())
    return;
  if (departed_.size() >= kMostDeparted)
    departed_.clear();
  departed_[name] = it->second.record.incarnation;
  --peer_counts_[it->second.record.data_center];
  peers_.erase(it);
}

void Ownership::DidReceiveLoad(const std::string& name, const OwnerLoad& load) {
  if (const auto it = peers_.find(name); it != peers_.end())
    it->second.last_heartbeat.load = load;
}

void Ownership::DidReceiveStamp(const std::string& name,
                                const ClockStamp& stamp) {
  if (const auto it = peers_.find(name); it != peers_.end())
    it->second.newest_stamp =
        std::max(it->second.newest_stamp, std::optional(stamp));
}

std::optional<ClockStamp> Ownership::NewestStampOf(
    const std::string& name) const {
  const auto it = peers_.find(name);
  return it == peers_.end() ? std::nullopt : it->second.newest_stamp;
}

std::size_t Ownership::VmsIn(const std::string& data_center) const {
  const auto it = peer_counts_.find(data_center);
  return (it == peer_counts_.end() ? 0 : it->second) +
         (data_center == self_.data_center ? 1 : 0);
}

std::int64_t Ownership::RankInDataCenter() const {
  return std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return entry.second.record.data_center == self_.data_center &&
           entry.first < self_.name;
  });
}

bool Ownership::OwnsRecordedShards(const std::string& name) const {
  return std::any_of(shards_.begin(), shards_.end(), [&](const auto& entry) {
    return entry.second.record && entry.second.record->owner == name;
  });
}

Duration Ownership::HeartbeatIntervalTo(const Peer& peer,
                                        bool shares_jobs,
                                        Time now) const {
  if (peer.IsUnheard() && now - peer.reachable_since < kIntroductionPeriod &&
      OwnsRecordedShards(peer.record.name))
    return timing_.heartbeats.shortest;
  const std::string& data_center = peer.record.data_center;
  return HeartbeatInterval(
      timing_.heartbeats,
      {.shares_jobs = shares_jobs,
       .is_owner = !owned_.empty(),
       .is_near = data_center == self_.data_center || OwnsIn(data_center),
       .near_vms = VmsIn(data_center),
       .all_vms = peers_.size() + 1});
}

Duration Ownership::TimeoutOf(const Peer& peer) const {
  const Heartbeat& last = peer.last_heartbeat;
  return std::max(
      last.shards.empty() ? timing_.member_timeout : timing_.owner_timeout,
      FromMilliseconds(timing_.missed_heartbeats *
                       ToMilliseconds(last.interval)));
}

void Ownership::DidReceiveHeartbeat(const Heartbeat& heartbeat, Time now) {
  if (heartbeat.introduction)
    DidMeet(heartbeat, now);
  const auto it = peers_.find(heartbeat.name);
  if (it == peers_.end())
    return;
  Peer& peer = it->second;
  // A late datagram of an earlier incarnation.
  if (heartbeat.incarnation < peer.record.incarnation)
    return;
  if (heartbeat.incarnation > peer.record.incarnation)
    peer.clock.Reset();
  Time sent_at = now;
  if (heartbeat.sent_at) {
    const Duration reading = heartbeat.sent_at->time_since_epoch();
    // A newer one has arrived before it.
    if (peer.clock.IsOvertaken(reading))
      return;
    sent_at = peer.clock.SentAt(reading, now);
    DidReceiveStamp(heartbeat.name, {.incarnation = heartbeat.incarnation,
                                     .at = *heartbeat.sent_at});
  }
  peer.last_sent_at = std::max(peer.last_sent_at, sent_at);
  if (!IsAlive(peer, now))
    peer.reachable_since = now;
  if (peer.was_lost) {
    peer.was_lost = false;
    // The record of a new incarnation may have been read since.
    const Duration silence = peer.last_heartbeat_at == Time::min()
                                 ? Duration{}
                                 : now - peer.last_heartbeat_at;
    log_.Write(LogEvent::kPeerRegained, now, LogBudget::kState)
        .Add(LogField::kPeer, heartbeat.name)
        .Add(LogField::kAgeMs, silence);
  }
  peer.record.incarnation = heartbeat.incarnation;
  peer.last_heartbeat = heartbeat;
  peer.last_heartbeat_at = now;
  // The successor's heartbeat shows its claim even if the store, and with it
  // the record, is unavailable.
  for (auto& [id, owned] : owned_) {
    const ShardStatus* status = FindStatus(heartbeat, id);
    if (status && status->version > owned.version &&
        owned.offered_to.contains(heartbeat.name))
      DidSeeClaim(id, owned, heartbeat.name, now);
  }
}

bool Ownership::IsAlive(const Peer& peer, Time now) const {
  return IsReachable(peer, now) && !peer.last_heartbeat.leaving;
}

bool Ownership::IsReachable(const Peer& peer, Time now) const {
  if (peer.last_heartbeat_at == Time::min())
    return false;
  return now - peer.last_heartbeat_at <= TimeoutOf(peer);
}

// Whether a peer notices the silence of the shard's owner as soon as this VM
// does. Others would delay the claim of a shard whose owner is gone.
bool Ownership::IsWitness(const Peer& peer, const ShardRecord& record) const {
  if (peer.last_heartbeat.store_version < record.version)
    return false;
  if (self_.data_center != record.shard.data_center ||
      peer.record.data_center == record.shard.data_center ||
      peers_.size() < timing_.heartbeats.owner_group)
    return true;
  const auto owner = peers_.find(record.owner);
  return owner != peers_.end() &&
         owner->second.record.data_center == peer.record.data_center;
}

bool Ownership::IsReachableFromOthers(const ShardRecord& record,
                                      Time now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    const std::vector<std::string>& silent = peer.last_heartbeat.silent_owners;
    return entry.first != record.owner && IsAlive(peer, now) &&
           IsWitness(peer, record) &&
           std::find(silent.begin(), silent.end(), record.owner) ==
               silent.end();
  });
}

bool Ownership::IsIsolated(const std::string& owner, Time now) const {
  bool has_others = false;
  for (const auto& [name, peer] : peers_) {
    if (name == owner)
      continue;
    has_others = true;
    if (IsReachable(peer, now))
      return false;
  }
  return has_others;
}

std::vector<std::string> Ownership::SilentOwners(Time now) const {
  std::set<std::string> silent;
  for (const auto& [id, shard] : shards_) {
    if (!shard.record || shard.record->owner == self_.name)
      continue;
    const auto it = peers_.find(shard.record->owner);
    if (it == peers_.end() || !IsReachable(it->second, now))
      silent.insert(shard.record->owner);
  }
  return {silent.begin(), silent.end()};
}

void Ownership::LogLostPeers(Time now) {
  for (auto& [name, peer] : peers_) {
    if (peer.was_lost || peer.last_heartbeat_at == Time::min() ||
        now - peer.last_heartbeat_at <=
            std::max(timing_.member_timeout, TimeoutOf(peer)))
      continue;
    peer.was_lost = true;
    log_.Write(LogEvent::kPeerLost, now, LogBudget::kState)
        .Add(LogField::kPeer, name)
        .Add(LogField::kAgeMs, now - peer.last_heartbeat_at);
  }
}

Heartbeat Ownership::MakeHeartbeat(const OwnerLoad& load,
                                   std::uint64_t configuration_version,
                                   Duration interval,
                                   Time now) const {
  Heartbeat heartbeat{.name = self_.name,
                      .incarnation = self_.incarnation,
                      .interval = interval,
                      .leaving = leaving_,
                      .configuration_version = configuration_version,
                      .load = load,
                      .store_version = store_version_,
                      .silent_owners = SilentOwners(now),
                      .has_store = has_store_,
                      .sent_at = now};
  for (const auto& [id, owned] : owned_) {
    heartbeat.shards.push_back({.shard = id,
                                .version = owned.version,
                                .successor = owned.successor,
                                .is_released = owned.is_busy_known,
                                .busy = owned.busy});
  }
  return heartbeat;
}

}  // namespace mustardbank
