// Accounts for the slots of the workers whose home is this VM, and lends and
// borrows slots between entry VMs in blocks. The home of a worker is the entry
// VM that allots its slots. A wrong count causes a refusal by the worker, never
// a second start of a task.
#pragma once

#include <map>
#include <set>

#include "LibDispatch/dispatch_state.h"

namespace mustardbank {

class LendingSystem {
 public:
  explicit LendingSystem(DispatchState& state) : state_(state) {}

  // Recomputes the homes of all workers if the set of live VMs has changed.
  void UpdateHomes(Time now);
  void InvalidateHomes() { live_digest_.reset(); }

  // Borrows slots from peers while tasks wait, and returns idle ones.
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
  // Corrects the slots lent to a peer by the held slots of its heartbeat. The
  // two differ after messages about loans were lost.
  void Reconcile(const wire::VmIdentity& sender,
                 const wire::Heartbeat& heartbeat,
                 Time now);
  // Adds to a heartbeat the slots that this VM holds of workers whose home is
  // `peer`.
  void AddHeldSlots(Endpoint peer, wire::Heartbeat& heartbeat) const;
  // Returns borrowed slots while this VM has more than an equal share of all
  // free slots.
  void ReturnSurplus(Time now);
  // Lends free slots to a peer that has less than an equal share of all free
  // slots. The loan is part of a heartbeat, so it costs no extra message.
  void AddGrantedSlots(const Peer& peer, wire::Heartbeat& heartbeat, Time now);
  // Accepts slots that a peer lent to this VM.
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
  // How the free slots are distributed over the live VMs.
  struct FreeSlotDistribution {
    std::uint32_t own = 0;
    std::uint32_t equal_share = 0;
    std::uint32_t surplus = 0;  // above the equal share, summed over all VMs
  };
  FreeSlotDistribution DistributionOfFree(Time now) const;
  void ReturnFree(WorkerIndex index, std::uint32_t slots, Time now);
  // Lends up to `wanted` free slots of a pool's workers whose home is this VM.
  // Returns how many were lent.
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
