// Counts the slots of the workers whose home this VM is, and lends and borrows
// slots between entry VMs in blocks. A wrong count costs a refusal at a
// worker, never a second start.
#pragma once

#include <map>
#include <set>

#include "LibDispatch/dispatch_state.h"

namespace mustardbank {

class LendingSystem {
 public:
  explicit LendingSystem(DispatchState& state) : state_(state) {}

  // Finds the homes of all workers anew when the set of live VMs has changed.
  void UpdateHomes(Time now);
  void ForgetHomes() { live_digest_.reset(); }

  // Asks peers for slots while tasks wait, and gives idle ones back.
  void Tick(Time now);

  void Handle(const wire::VmIdentity& sender,
              const wire::BorrowSlots& message,
              Time now);
  void Handle(const wire::VmIdentity& sender,
              const wire::GrantSlots& message,
              Time now);
  void Handle(const wire::VmIdentity& sender,
              const wire::ClaimSlots& message,
              Time now);
  // Settles what a peer holds with what was lent to it, where messages of
  // loans were lost.
  void Reconcile(const wire::VmIdentity& sender,
                 const wire::Heartbeat& heartbeat,
                 Time now);
  // The slots that this VM holds of workers whose home is `peer`.
  void AddHeldSlots(Endpoint peer, wire::Heartbeat& heartbeat) const;
  // Gives borrowed slots back while this VM has more than an equal part of all
  // free ones.
  void ReturnSurplus(Time now);
  // Lends free slots to a peer that has fewer than an equal part of all free
  // ones. Travels with heartbeats, so that it costs no message.
  void AddGrantedSlots(const Peer& peer, wire::Heartbeat& heartbeat, Time now);
  // Takes slots that a peer lent.
  void TakeLoans(
      const wire::VmIdentity& sender,
      const google::protobuf::RepeatedPtrField<wire::SlotLoan>& loans,
      Time now);

 private:
  using LoansByPeer = std::map<Endpoint, wire::Envelope>;

  void MoveHome(WorkerIndex index,
                Endpoint home,
                LoansByPeer& claims,
                Time now);
  void Reclaim(Endpoint peer, Time now);
  void Borrow(PlacementClass& entry, Time now);
  void ReturnIdle(Time now);
  bool HasQueuedTasksFor(std::uint32_t pool) const;
  // How the free slots of all live VMs are spread.
  struct FreeSpread {
    std::uint32_t own = 0;
    std::uint32_t part = 0;     // an equal part for each VM
    std::uint32_t surplus = 0;  // of all VMs, over their parts
  };
  FreeSpread SpreadOfFree(Time now) const;
  void ReturnFree(WorkerIndex index, std::uint32_t slots, Time now);
  // Lends up to `wanted` free slots of a pool's workers whose home is here.
  std::uint32_t Lend(std::uint32_t pool,
                     std::uint32_t wanted,
                     Endpoint borrower,
                     google::protobuf::RepeatedPtrField<wire::SlotLoan>& loans,
                     Time now);
  std::uint32_t LentTo(WorkerIndex index, Endpoint peer) const;
  void SetLent(WorkerIndex index, Endpoint peer, std::uint32_t slots, Time now);

  DispatchState& state_;
  std::optional<std::uint64_t> live_digest_;
  std::set<WorkerIndex> borrowing_;
  std::map<Endpoint, std::set<WorkerIndex>> lent_to_;
  Time next_return_;
};

}  // namespace mustardbank
