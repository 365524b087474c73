// What this VM knows about the other entry VMs and their incarnations. Missing
// heartbeats never prove that a peer has stopped: it may be running behind a
// network partition.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibConfig/inventory.h"
#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"
#include "LibCore/job_id.h"
#include "LibWire/peer.pb.h"

namespace mustardbank {

// What this VM knows about the incarnation that issued a job id.
enum class HomeStatus {
  kReachable,  // requests may be forwarded to it
  kUncertain,  // a newer one answers, but a succession may still follow
  kSucceeded,  // a successor holds its record
  kGone,       // known to have ended without a successor
};
inline constexpr EnumNames<HomeStatus, 4> kHomeStatusNames{
    {"reachable", "uncertain", "succeeded", "gone"}};

struct Peer {
  wire::VmIdentity identity;  // incarnation 0: only the address is known
  Time last_message_at;
  bool has_sent_message = false;
  bool leaving = false;
  std::uint64_t configuration_version = 0;
  std::uint64_t inventory_version = 0;
  std::unordered_map<std::string, std::uint32_t> free_slots;  // by data centre
  std::unordered_map<std::string, std::uint32_t> lendable_slots;
  // Slots that this VM has requested of these since the peer's last heartbeat.
  std::uint32_t requested_slots = 0;
  std::unordered_map<std::string, std::uint32_t> demand;  // by team
  Time incarnation_since;  // when this VM first saw its incarnation
};

class Membership {
 public:
  // A peer without a message for `peer_timeout` is not live. `announce_time` is
  // the time within which a succession is announced to all peers.
  Membership(wire::VmIdentity self,
             Duration peer_timeout,
             Duration announce_time);

  const wire::VmIdentity& self() const { return self_; }
  void ReplaceIncarnation(std::uint64_t incarnation, Time now);

  // Adds a peer by its address alone.
  void AddSeed(Endpoint endpoint);
  // Records a registration read from the platform.
  void DidReadRegistration(const wire::VmIdentity& identity, Time now);
  // Records the sender of a received message. Returns null if the sender is
  // this VM itself, or if a newer incarnation of the sender is known.
  Peer* DidReceiveFrom(const wire::VmIdentity& identity, Time now);
  // Records the incarnation that answered at a peer's address.
  void DidReach(Endpoint endpoint, std::uint64_t incarnation, Time now);
  // Records the entry VMs that the platform has dropped from its list.
  void DidReadInventory(const Inventory& inventory);
  // Ignores a succession that is not newer than the one known. Heartbeats may
  // still carry a succession after its successor has left in turn.
  void AddSuccession(const wire::Succession& succession);
  static HomeId HomeIdOf(const wire::Succession& succession);
  static Endpoint SuccessorOf(const wire::Succession& succession);
  // `hand_overs` counts the hand-overs of the home's record, this one included.
  static wire::Succession MakeSuccession(const HomeId& home,
                                         Endpoint successor,
                                         std::uint32_t hand_overs);

  bool IsLive(const Peer& peer, Time now) const;
  HomeStatus HomeStatusOf(const HomeId& home, Time now) const;
  // The VM that holds the record of an incarnation, if it was handed over.
  std::optional<Endpoint> SuccessorOf(const HomeId& home) const;
  // How many times the record of an incarnation was handed over.
  std::uint32_t HandOversOf(const HomeId& home) const;
  std::vector<wire::Succession> successions() const;

  // The home of a worker, i.e. the entry VM that allots its slots: the live VM
  // with the highest rendezvous hash in the worker's data centre, or among all
  // live VMs if that data centre has none. `exclude_self` excludes this VM.
  Endpoint HomeOf(std::string_view worker,
                  std::string_view data_center,
                  Time now,
                  bool exclude_self) const;
  // Returns the peers that restarted since the last call.
  std::vector<Endpoint> TakeRestarted();
  // A digest that changes with the set of live VMs.
  std::uint64_t LiveDigest(Time now, bool exclude_self) const;
  std::size_t LiveCount(Time now) const;
  Peer* Find(Endpoint endpoint);
  std::map<Endpoint, Peer>& peers() { return peers_; }
  const std::map<Endpoint, Peer>& peers() const { return peers_; }

  static Endpoint EndpointOf(const wire::VmIdentity& identity);
  static HomeId HomeIdOf(const wire::VmIdentity& identity);

 private:
  struct Successor {
    Endpoint endpoint;
    std::uint32_t hand_overs = 0;
  };

  void SetIncarnation(Peer& peer, const wire::VmIdentity& identity, Time now);

  wire::VmIdentity self_;
  const Duration peer_timeout_;
  const Duration announce_time_;
  std::map<Endpoint, Peer> peers_;
  std::map<HomeId, Successor> successors_;
  std::set<Endpoint> listed_;  // entry VMs once seen in the platform's list
  std::set<Endpoint> dropped_;
  std::vector<Endpoint> restarted_;
  Time self_since_;
};

}  // namespace mustardbank
