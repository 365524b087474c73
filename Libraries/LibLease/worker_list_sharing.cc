#include "LibLease/worker_list_sharing.h"

#include <algorithm>
#include <utility>

#include "LibCore/digest.h"

namespace mustardbank {

namespace {

constexpr std::size_t kMaxProbedWorkers = 3;

bool AreAllIn(const std::vector<ShardId>& shards,
              const std::string& data_center) {
  return std::all_of(shards.begin(), shards.end(), [&](const ShardId& shard) {
    return shard.data_center == data_center;
  });
}

std::vector<ShardId> ShardsOf(const Ownership::Peer& peer) {
  std::vector<ShardId> shards;
  for (const ShardStatus& status : peer.last_heartbeat.shards)
    shards.push_back(status.shard);
  return shards;
}

// Whether the peer takes part in sharing the list of its data centre.
bool IsSharingOwner(const Ownership& ownership,
                    const Ownership::Peer& peer,
                    Time now) {
  return ownership.IsAlive(peer, now) && !peer.last_heartbeat.shards.empty() &&
         AreAllIn(ShardsOf(peer), peer.record.data_center);
}

bool CanRead(const Ownership& ownership,
             const Ownership::Peer& peer,
             Time now) {
  return peer.last_heartbeat.has_store && IsSharingOwner(ownership, peer, now);
}

// Whether an owner other than this VM reads the list of the data centre.
bool HasReader(const Ownership& ownership,
               const std::string& data_center,
               Time now) {
  return std::any_of(ownership.peers().begin(), ownership.peers().end(),
                     [&](const auto& entry) {
                       return entry.second.record.data_center == data_center &&
                              CanRead(ownership, entry.second, now);
                     });
}

// Whether this VM serves the owners that lack the store in data centres where
// no owner reaches it.
bool IsFirstReader(const Ownership& ownership, Time now) {
  return std::none_of(ownership.peers().begin(), ownership.peers().end(),
                      [&](const auto& entry) {
                        return entry.first < ownership.self().name &&
                               CanRead(ownership, entry.second, now);
                      });
}

}  // namespace

bool IsListReader(const Ownership& ownership, Time now) {
  if (ownership.is_leaving() ||
      !AreAllIn(ownership.OwnedShards(), ownership.self().data_center))
    return true;
  return std::none_of(ownership.peers().begin(), ownership.peers().end(),
                      [&](const auto& entry) {
                        return entry.first < ownership.self().name &&
                               entry.second.record.data_center ==
                                   ownership.self().data_center &&
                               CanRead(ownership, entry.second, now);
                      });
}

std::vector<ListReceiver> ListReceivers(const Ownership& ownership, Time now) {
  std::vector<ListReceiver> receivers;
  if (ownership.is_leaving() || !ownership.OwnsAny() ||
      !IsListReader(ownership, now))
    return receivers;
  const std::string& here = ownership.self().data_center;
  const bool is_first = IsFirstReader(ownership, now);
  for (const auto& [name, peer] : ownership.peers()) {
    const std::string& data_center = peer.record.data_center;
    const bool has_store = peer.last_heartbeat.has_store;
    const bool is_sharing = IsSharingOwner(ownership, peer, now);
    const bool is_near = data_center == here && is_sharing &&
                         (name > ownership.self().name || !has_store);
    // Owners of shards in several data centres read the list themselves.
    const bool is_unserved =
        !has_store && ownership.IsAlive(peer, now) &&
        !peer.last_heartbeat.shards.empty() &&
        (!is_sharing ||
         (data_center != here && !HasReader(ownership, data_center, now)));
    if (is_near || (is_first && is_unserved))
      receivers.push_back({.name = name,
                           .endpoint = peer.record.endpoint,
                           .shards = ShardsOf(peer)});
  }
  return receivers;
}

std::vector<Endpoint> ChooseProbedWorkers(
    const std::vector<WorkerEntry>& workers,
    const std::string& data_center,
    const std::string& vm) {
  std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
  for (const WorkerEntry& entry : workers) {
    if (entry.data_center == data_center)
      ranked.emplace_back(FastDigest(entry.id, FastDigest(vm)), entry.endpoint);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Endpoint> chosen;
  for (const auto& [rank, endpoint] : ranked) {
    if (chosen.size() == kMaxProbedWorkers)
      break;
    chosen.push_back(endpoint);
  }
  return chosen;
}

}  // namespace mustardbank
