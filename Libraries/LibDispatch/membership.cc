#include "LibDispatch/membership.h"

#include <utility>

#include "LibCore/digest.h"

namespace mustardbank {

Membership::Membership(wire::VmIdentity self,
                       Duration peer_timeout,
                       Duration announce_time)
    : self_(std::move(self)),
      peer_timeout_(peer_timeout),
      announce_time_(announce_time) {}

Endpoint Membership::EndpointOf(const wire::VmIdentity& identity) {
  return Endpoint{.ip = identity.ip(),
                  .port = static_cast<std::uint16_t>(identity.port())};
}

HomeId Membership::HomeIdOf(const wire::VmIdentity& identity) {
  return HomeId{.endpoint = EndpointOf(identity),
                .incarnation = identity.incarnation()};
}

void Membership::ReplaceIncarnation(std::uint64_t incarnation, Time now) {
  self_.set_incarnation(incarnation);
  self_since_ = now;
}

void Membership::AddSeed(Endpoint endpoint) {
  if (endpoint == EndpointOf(self_))
    return;
  Peer& peer = peers_[endpoint];
  peer.identity.set_ip(endpoint.ip);
  peer.identity.set_port(endpoint.port);
}

void Membership::SetIncarnation(Peer& peer,
                                const wire::VmIdentity& identity,
                                Time now) {
  if (identity.incarnation() != peer.identity.incarnation()) {
    if (peer.identity.incarnation() != 0)
      restarted_.push_back(EndpointOf(identity));
    peer.incarnation_since = now;
    peer.leaving = false;
    peer.free_slots.clear();
    peer.lendable_slots.clear();
    peer.demand.clear();
  }
  peer.identity = identity;
}

void Membership::DidReadRegistration(const wire::VmIdentity& identity,
                                     Time now) {
  const Endpoint endpoint = EndpointOf(identity);
  if (endpoint == EndpointOf(self_))
    return;
  Peer& peer = peers_[endpoint];
  if (identity.incarnation() > peer.identity.incarnation())
    SetIncarnation(peer, identity, now);
}

Peer* Membership::DidReceiveFrom(const wire::VmIdentity& identity, Time now) {
  const Endpoint endpoint = EndpointOf(identity);
  if (endpoint == EndpointOf(self_))
    return nullptr;
  Peer& peer = peers_[endpoint];
  if (identity.incarnation() < peer.identity.incarnation())
    return nullptr;
  SetIncarnation(peer, identity, now);
  peer.last_message_at = now;
  peer.has_sent_message = true;
  dropped_.erase(endpoint);
  return &peer;
}

void Membership::DidReach(Endpoint endpoint,
                          std::uint64_t incarnation,
                          Time now) {
  Peer* peer = Find(endpoint);
  if (!peer || incarnation < peer->identity.incarnation())
    return;
  wire::VmIdentity identity = peer->identity;
  identity.set_incarnation(incarnation);
  SetIncarnation(*peer, identity, now);
  dropped_.erase(endpoint);
}

void Membership::DidReadInventory(const Inventory& inventory) {
  std::set<Endpoint> present;
  for (const auto& [name, vm] : inventory.vms) {
    if (vm.role == VmRole::kEntry && vm.state != VmState::kGone)
      present.insert(vm.endpoint);
  }
  for (const Endpoint& endpoint : listed_) {
    if (!present.contains(endpoint))
      dropped_.insert(endpoint);
  }
  for (const Endpoint& endpoint : present)
    dropped_.erase(endpoint);
  listed_.merge(present);
}

void Membership::AddSuccession(const wire::Succession& succession) {
  const auto [it, is_new] = successors_.try_emplace(HomeIdOf(succession));
  if (!is_new && succession.hand_overs() <= it->second.hand_overs)
    return;
  it->second = {.endpoint = SuccessorOf(succession),
                .hand_overs = succession.hand_overs()};
}

std::uint32_t Membership::HandOversOf(const HomeId& home) const {
  const auto it = successors_.find(home);
  return it == successors_.end() ? 0 : it->second.hand_overs;
}

HomeId Membership::HomeIdOf(const wire::Succession& succession) {
  return HomeId{
      .endpoint = {.ip = succession.home_ip(),
                   .port = static_cast<std::uint16_t>(succession.home_port())},
      .incarnation = succession.incarnation()};
}

Endpoint Membership::SuccessorOf(const wire::Succession& succession) {
  return Endpoint{.ip = succession.ip(),
                  .port = static_cast<std::uint16_t>(succession.port())};
}

std::optional<Endpoint> Membership::SuccessorOf(const HomeId& home) const {
  const auto it = successors_.find(home);
  if (it == successors_.end())
    return std::nullopt;
  return it->second.endpoint;
}

wire::Succession Membership::MakeSuccession(const HomeId& home,
                                            Endpoint successor,
                                            std::uint32_t hand_overs) {
  wire::Succession succession;
  succession.set_incarnation(home.incarnation);
  succession.set_home_ip(home.endpoint.ip);
  succession.set_home_port(home.endpoint.port);
  succession.set_ip(successor.ip);
  succession.set_port(successor.port);
  succession.set_hand_overs(hand_overs);
  return succession;
}

std::vector<wire::Succession> Membership::successions() const {
  std::vector<wire::Succession> list;
  for (const auto& [home, successor] : successors_)
    list.push_back(
        MakeSuccession(home, successor.endpoint, successor.hand_overs));
  return list;
}

bool Membership::IsLive(const Peer& peer, Time now) const {
  return peer.has_sent_message && !peer.leaving &&
         now - peer.last_message_at < peer_timeout_;
}

HomeStatus Membership::HomeStatusOf(const HomeId& home, Time now) const {
  if (successors_.contains(home))
    return HomeStatus::kSucceeded;
  const auto it = peers_.find(home.endpoint);
  const bool is_self = home.endpoint == EndpointOf(self_);
  const bool is_replaced =
      is_self ? self_.incarnation() != home.incarnation
              : it != peers_.end() &&
                    it->second.identity.incarnation() > home.incarnation;
  if (is_replaced) {
    // Successions are announced in heartbeats: wait until one has arrived.
    const Time since = is_self ? self_since_ : it->second.incarnation_since;
    const bool is_fresh = now - since < announce_time_;
    return is_fresh ? HomeStatus::kUncertain : HomeStatus::kGone;
  }
  if (dropped_.contains(home.endpoint))
    return HomeStatus::kGone;
  return HomeStatus::kReachable;
}

Endpoint Membership::HomeOf(std::string_view worker,
                            std::string_view data_center,
                            Time now,
                            bool exclude_self) const {
  Endpoint best = EndpointOf(self_);
  std::uint64_t best_rank = 0;
  bool best_is_near = false;
  bool found = false;
  const auto consider = [&](const wire::VmIdentity& identity) {
    const bool is_near = identity.data_center() == data_center;
    const std::uint64_t rank = FastDigest(worker, FastDigest(identity.name()));
    const bool is_better = !found || (is_near && !best_is_near) ||
                           (is_near == best_is_near && rank > best_rank);
    if (!is_better)
      return;
    found = true;
    best = EndpointOf(identity);
    best_rank = rank;
    best_is_near = is_near;
  };
  if (!exclude_self)
    consider(self_);
  for (const auto& [endpoint, peer] : peers_) {
    if (IsLive(peer, now))
      consider(peer.identity);
  }
  return best;
}

std::uint64_t Membership::LiveDigest(Time now, bool exclude_self) const {
  std::uint64_t digest = exclude_self ? 1 : 0;
  for (const auto& [endpoint, peer] : peers_) {
    if (IsLive(peer, now))
      digest = FastDigest(peer.identity.name(), digest);
  }
  return digest;
}

std::vector<Endpoint> Membership::TakeRestarted() {
  return std::exchange(restarted_, {});
}

std::size_t Membership::LiveCount(Time now) const {
  std::size_t count = 1;
  for (const auto& [endpoint, peer] : peers_)
    count += IsLive(peer, now) ? 1 : 0;
  return count;
}

Peer* Membership::Find(Endpoint endpoint) {
  const auto it = peers_.find(endpoint);
  return it == peers_.end() ? nullptr : &it->second;
}

}  // namespace mustardbank
