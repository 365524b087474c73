// Sends and handles heartbeats, and adopts the configuration and the inventory
// of VMs from the platform and from peers.
#pragma once

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

#include "LibDispatch/dispatch_state.h"
#include "LibDispatch/lending_system.h"
#include "LibDispatch/safeguards.h"

namespace mustardbank {

template <Safeguards Guards>
class PeerSystem {
 public:
  PeerSystem(DispatchState& state, LendingSystem& lending)
      : state_(state), lending_(lending) {}

  void Tick(Time now) {
    if (now < next_heartbeat_)
      return;
    next_heartbeat_ = now + HeartbeatInterval();
    SendHeartbeats(now);
  }

  void SendHeartbeats(Time now) {
    std::erase_if(state_.leaving_workers,
                  [now](const auto& entry) { return entry.second <= now; });
    lending_.ReturnSurplus(now);
    wire::Envelope common = state_.NewEnvelope();
    FillHeartbeat(*common.mutable_heartbeat());
    for (const auto& [endpoint, peer] : state_.membership.peers()) {
      wire::Envelope envelope = common;
      lending_.AddHeldSlots(endpoint, *envelope.mutable_heartbeat());
      lending_.AddGrantedSlots(peer, *envelope.mutable_heartbeat(), now);
      state_.counters.Add(Counter::kHeartbeatsSent);
      state_.Send(endpoint, std::move(envelope));
    }
  }

  void Handle(const wire::VmIdentity& sender,
              const wire::Heartbeat& heartbeat,
              Peer& peer,
              Time now) {
    peer.leaving = heartbeat.leaving();
    peer.configuration_version = heartbeat.configuration_version();
    peer.inventory_version = heartbeat.estate_version();
    peer.requested_slots = 0;
    peer.free_slots.clear();
    peer.lendable_slots.clear();
    for (const wire::FreeSlots& free : heartbeat.free()) {
      peer.free_slots[free.data_center()] += free.slots();
      peer.lendable_slots[free.data_center()] += free.lendable();
    }
    peer.demand.clear();
    for (const wire::TeamDemand& demand : heartbeat.demand())
      peer.demand[demand.team()] = demand.tasks();
    for (const wire::Succession& succession : heartbeat.successions())
      state_.membership.AddSuccession(succession);
    for (const std::string& worker : heartbeat.leaving_workers())
      BarLeavingWorker(worker, now);
    lending_.Reconcile(sender, heartbeat, now);
    lending_.TakeLoans(sender, heartbeat.granted(), now);
    AskForSnapshot(peer, now);
  }

  void Handle(const wire::VmIdentity& sender,
              const wire::SnapshotRequest& /*request*/) {
    wire::Envelope envelope = state_.NewEnvelope();
    wire::Snapshot* snapshot = envelope.mutable_snapshot();
    snapshot->set_configuration(state_.configuration_text);
    snapshot->set_estate_version(state_.inventory.version);
    if (state_.inventory.version > 0)
      snapshot->set_estate(state_.inventory.ToJson());
    state_.Send(Membership::EndpointOf(sender), std::move(envelope));
  }

  void Handle(wire::Snapshot& snapshot, Time now) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          if (!snapshot.configuration().empty()) {
            BOOST_LEAF_AUTO(configuration,
                            Configuration::Parse(snapshot.configuration(),
                                                 "snapshot from a peer"));
            Adopt(std::move(configuration), snapshot.configuration());
          }
          if (snapshot.estate_version() > state_.inventory.version) {
            BOOST_LEAF_AUTO(inventory, Inventory::Parse(snapshot.estate()));
            MergeInventory(std::move(inventory), now);
          }
          return {};
        },
        // Ignores a snapshot that can't be parsed.
        [] {});
  }

  void Handle(ConfigurationRead& event) {
    Adopt(std::move(event.configuration), std::move(event.text));
  }

  void Handle(InventoryRead& event, Time now) {
    MergeInventory(std::move(event.changes), now);
  }

  void Handle(RegistrationsRead& event, Time now) {
    for (const wire::VmIdentity& identity : event.vms) {
      const bool is_newer_incarnation =
          Membership::EndpointOf(identity) == state_.endpoint() &&
          identity.incarnation() > state_.incarnation();
      if (is_newer_incarnation)
        state_.AbandonIncarnation(identity.incarnation() + 1, now);
      state_.membership.DidReadRegistration(identity, now);
    }
    for (const wire::Succession& succession : event.successions)
      state_.membership.AddSuccession(succession);
  }

  // Adopts a configuration if it is newer than the one in force.
  void Adopt(Configuration configuration, std::string text) {
    if (!Guards::Supersedes(configuration.version,
                            state_.configuration.version)) {
      return;
    }
    state_.configuration = std::move(configuration);
    state_.configuration_text = std::move(text);
    state_.team_by_token.clear();
    for (const auto& [name, team] : state_.configuration.teams) {
      for (const std::string& token : team.token_sha256)
        state_.team_by_token.emplace(token, name);
    }
    state_.counters.Add(Counter::kConfigurationsAdopted);
  }

 private:
  static constexpr Duration kIntervalPerPeer = std::chrono::milliseconds(12);
  static constexpr Duration kSnapshotInterval = std::chrono::milliseconds(200);
  static constexpr Duration kReportedLeavingBar = std::chrono::seconds(30);
  // A snapshot is requested from a peer if the inventory is more than this many
  // versions behind the peer's. Smaller gaps are closed by the poll of the
  // platform every second.
  static constexpr std::uint64_t kInventoryLag = 1;

  // Grows with the number of peers, so that the bytes sent per second stay
  // bounded.
  Duration HeartbeatInterval() const {
    return std::max<Duration>(
        std::chrono::milliseconds(state_.options.timing.heartbeat_ms),
        kIntervalPerPeer * state_.membership.peers().size());
  }

  void FillHeartbeat(wire::Heartbeat& heartbeat) const {
    heartbeat.set_configuration_version(state_.configuration.version);
    heartbeat.set_estate_version(state_.inventory.version);
    heartbeat.set_leaving(state_.is_leaving());
    for (std::uint32_t pool = 0; pool < state_.workers.pool_count(); ++pool) {
      const std::uint32_t slots =
          state_.workers.FreeInPools(PoolMask{1} << pool);
      if (slots == 0 || state_.is_absent())
        continue;
      wire::FreeSlots* free = heartbeat.add_free();
      free->set_data_center(state_.workers.DataCenterOf(pool));
      free->set_slots(slots);
      free->set_lendable(state_.workers.HomeFreeInPool(pool));
    }
    for (const Team& team : state_.teams.teams()) {
      if (team.running + team.queued == 0)
        continue;
      wire::TeamDemand* demand = heartbeat.add_demand();
      demand->set_team(team.name);
      demand->set_tasks(team.running + team.queued);
    }
    for (const wire::Succession& succession : state_.membership.successions())
      *heartbeat.add_successions() = succession;
    for (const auto& [name, until] : state_.leaving_workers)
      heartbeat.add_leaving_workers(name);
  }

  void BarLeavingWorker(const std::string& name, Time now) {
    const std::int64_t index = state_.workers.Find(name);
    if (index < 0 || state_.workers[index].barred_until > now)
      return;
    state_.workers.Update(index, now, [now](Worker& worker) {
      worker.barred_until = now + kReportedLeavingBar;
    });
  }

  void AskForSnapshot(const Peer& peer, Time now) {
    const bool is_ahead =
        peer.configuration_version > state_.configuration.version ||
        peer.inventory_version > state_.inventory.version + kInventoryLag ||
        (peer.inventory_version > 0 && state_.inventory.version == 0);
    if (!is_ahead || now < next_snapshot_)
      return;
    next_snapshot_ = now + kSnapshotInterval;
    wire::Envelope envelope = state_.NewEnvelope();
    envelope.mutable_snapshot_request();
    state_.Send(Membership::EndpointOf(peer.identity), std::move(envelope));
  }

  void MergeInventory(Inventory changes, Time now) {
    if (changes.version < state_.inventory.version)
      return;
    state_.workers.ApplyInventory(changes, now);
    state_.inventory.Merge(std::move(changes));
    state_.membership.DidReadInventory(state_.inventory);
    state_.RefreshMasks();
    lending_.InvalidateHomes();
  }

  DispatchState& state_;
  LendingSystem& lending_;
  Time next_heartbeat_;
  Time next_snapshot_;
};

}  // namespace mustardbank
