// What this VM knows of the other entry VMs, and what became of incarnations.
// Silence alone never proves that a peer is dead: it may only be cut off.
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

// What is known of the incarnation that issued a job id.
enum class HomeFate {
  kReachable,  // its listener may be asked
  kUncertain,  // a newer incarnation answers, but a succession may follow
  kSucceeded,  // its record went to a successor
  kGone,       // proved gone without a successor
};
inline constexpr EnumNames<HomeFate, 4> kHomeFateNames{
    {"reachable", "uncertain", "succeeded", "gone"}};

struct Peer {
  wire::VmIdentity identity;  // incarnation 0: only the address is known
  Time last_heard;
  bool was_heard = false;
  bool leaving = false;
  std::uint64_t configuration_version = 0;
  std::uint64_t inventory_version = 0;
  std::unordered_map<std::string, std::uint32_t> free_slots;  // by data centre
  std::unordered_map<std::string, std::uint32_t> lendable_slots;
  std::uint32_t asked_slots = 0;  // of these, since its last heartbeat
  std::unordered_map<std::string, std::uint32_t> demand;  // by team
  Time incarnation_since;  // when its incarnation was first seen here
};

class Membership {
 public:
  // `silence` is the time without a message after which a peer counts as not
  // live; `certainty` the time in which news of a succession arrives.
  Membership(wire::VmIdentity self, Duration silence, Duration certainty);

  const wire::VmIdentity& self() const { return self_; }
  void ReplaceIncarnation(std::uint64_t incarnation, Time now);

  // Adds a peer by its address alone.
  void AddSeed(Endpoint endpoint);
  // Takes in a registration read from the platform.
  void DidReadRegistration(const wire::VmIdentity& identity, Time now);
  // Takes in a message. Returns nothing if a newer incarnation is known.
  Peer* DidHear(const wire::VmIdentity& identity, Time now);
  // Takes in the incarnation that answered at a peer's address.
  void DidReach(Endpoint endpoint, std::uint64_t incarnation, Time now);
  // Notes entry VMs that the platform has dropped from its list.
  void DidReadInventory(const Inventory& inventory);
  void AddSuccession(const wire::Succession& succession);
  static HomeId HomeIdOf(const wire::Succession& succession);
  static Endpoint SuccessorOf(const wire::Succession& succession);
  static wire::Succession MakeSuccession(const HomeId& home,
                                         Endpoint successor);

  bool IsLive(const Peer& peer, Time now) const;
  HomeFate FateOf(const HomeId& home, Time now) const;
  // The VM that holds the record of an incarnation, if it was handed over.
  std::optional<Endpoint> SuccessorOf(const HomeId& home) const;
  std::vector<wire::Succession> successions() const;

  // The home of a worker: highest rendezvous hash over the live VMs of its
  // data centre, or over all live VMs if there is none. `is_leaving` takes
  // this VM out of the choice.
  Endpoint HomeOf(std::string_view worker,
                  std::string_view data_center,
                  Time now,
                  bool is_leaving) const;
  // Peers whose process was replaced since the last call.
  std::vector<Endpoint> TakeRestarted();
  // Changes whenever the set of live VMs may have changed.
  std::uint64_t LiveDigest(Time now, bool is_leaving) const;
  std::size_t LiveCount(Time now) const;
  Peer* Find(Endpoint endpoint);
  std::map<Endpoint, Peer>& peers() { return peers_; }
  const std::map<Endpoint, Peer>& peers() const { return peers_; }

  static Endpoint EndpointOf(const wire::VmIdentity& identity);
  static HomeId HomeIdOf(const wire::VmIdentity& identity);

 private:
  void SetIncarnation(Peer& peer, const wire::VmIdentity& identity, Time now);

  wire::VmIdentity self_;
  const Duration silence_;
  const Duration certainty_;
  std::map<Endpoint, Peer> peers_;
  std::map<HomeId, Endpoint> successors_;
  std::set<Endpoint> listed_;  // entry VMs once seen in the platform's list
  std::set<Endpoint> dropped_;
  std::vector<Endpoint> restarted_;
  Time self_since_;
};

}  // namespace mustardbank
