#include "LibLease/heartbeat_schedule.h"

#include <algorithm>

#include "LibCore/digest.h"

namespace mustardbank {

namespace {

// Keeps the heartbeats a second from `vms` senders at the number that `group`
// of them send.
Duration Extend(Duration interval, std::size_t vms, std::size_t group) {
  return vms <= group
             ? interval
             : interval * static_cast<int>(vms) / static_cast<int>(group);
}

}  // namespace

Duration HeartbeatInterval(const HeartbeatTiming& timing,
                           const HeartbeatRelation& relation) {
  if (relation.shares_jobs)
    return timing.shortest;
  const Duration interval = relation.is_owner ? timing.shortest : timing.idle;
  if (relation.is_near)
    return Extend(interval, relation.near_vms, timing.near_group);
  return Extend(interval, relation.all_vms,
                relation.is_owner ? timing.owner_group : timing.idle_group);
}

bool HeartbeatSchedule::TakeDue(const std::string& peer,
                                Duration interval,
                                Time now) {
  const auto [it, is_new] = sent_.try_emplace(peer);
  Sent& sent = it->second;
  if (!is_new && now - sent.at < std::min(interval, sent.announced))
    return false;
  sent = {.at = now, .announced = interval};
  // The second heartbeat goes out early, so that those to many peers are spread
  // over the interval.
  if (is_new)
    sent.at -= Duration(static_cast<std::int64_t>(
        FastDigest(peer) % static_cast<std::uint64_t>(interval.count())));
  return true;
}

}  // namespace mustardbank
