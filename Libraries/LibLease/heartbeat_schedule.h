// Decides how often a VM sends heartbeats to its peers.
//
// Designed for hundreds of VMs: beyond 48 VMs, the heartbeats that one VM
// receives each second do not grow with their number. Peers that must notice a
// failure within a second, because they share jobs or would take over the
// sender's workers, get heartbeats at short intervals; to all others the
// interval grows with the number of VMs. Each heartbeat announces the interval
// to its receiver, which derives its timeout from it.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "LibCore/boot_clock.h"

namespace mustardbank {

struct HeartbeatTiming {
  // To peers that share jobs with the sender, and from owners to small groups.
  Duration shortest = std::chrono::milliseconds(150);
  // From VMs that own no workers, to small groups.
  Duration idle = std::chrono::milliseconds(1000);
  // Up to these numbers of VMs the intervals are not extended.
  std::size_t near_group = 24;
  std::size_t owner_group = 12;
  std::size_t idle_group = 48;
};

// What a sender is to one of its peers.
struct HeartbeatRelation {
  bool shares_jobs = false;  // one runs jobs of the other
  bool is_owner = false;     // the sender owns workers
  // The peer is in a data centre of the sender or of its workers.
  bool is_near = false;
  std::size_t near_vms = 1;  // VMs in that data centre
  std::size_t all_vms = 1;
};

Duration HeartbeatInterval(const HeartbeatTiming& timing,
                           const HeartbeatRelation& relation);

// Keeps when each peer got its last heartbeat.
class HeartbeatSchedule {
 public:
  // Returns whether a heartbeat to the peer is due if the next one is to follow
  // within `interval`, and counts it as sent. It is due at the interval that
  // the last heartbeat announced at the latest.
  bool TakeDue(const std::string& peer, Duration interval, Time now);
  // Makes the heartbeat to one peer due.
  void SendNow(const std::string& peer) { sent_.erase(peer); }
  // Makes the heartbeats to all peers due.
  void SendAllNow() { sent_.clear(); }

 private:
  struct Sent {
    Time at;
    Duration announced{};
  };
  std::map<std::string, Sent> sent_;
};

}  // namespace mustardbank
