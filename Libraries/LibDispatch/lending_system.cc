#include "LibDispatch/lending_system.h"

#include <algorithm>
#include <vector>

namespace mustardbank {

namespace {

constexpr Duration kBorrowInterval = std::chrono::milliseconds(100);
constexpr Duration kReturnInterval = std::chrono::milliseconds(50);
// A lender keeps this many of its free slots, plus their number divided by
// kReserveDivisor.
constexpr std::uint32_t kReserveSlots = 1;
constexpr std::uint32_t kReserveDivisor = 4;
constexpr std::uint32_t kMinBorrowed = 2;
// Slots are borrowed once the queue is longer than the number of allotted slots
// divided by this.
constexpr std::size_t kQueueDivisor = 2;
// Time after which a message about a loan has either arrived or is lost.
constexpr Duration kLoanTransitTime = std::chrono::milliseconds(300);

void AddLoan(wire::SlotLoan* loan,
             const std::string& worker,
             std::uint32_t slots) {
  loan->set_worker(worker);
  loan->set_slots(slots);
}

std::uint32_t SumOf(
    const std::unordered_map<std::string, std::uint32_t>& slots) {
  std::uint32_t sum = 0;
  for (const auto& [data_center, count] : slots)
    sum += count;
  return sum;
}

}  // namespace

void LendingSystem::UpdateHomes(Time now) {
  if (!state_.workers.lends_slots())
    return;
  for (const Endpoint& peer : state_.membership.TakeRestarted())
    Reclaim(peer, now);
  const bool is_absent = state_.is_absent();
  const std::uint64_t digest = state_.membership.LiveDigest(now, is_absent);
  if (live_digest_ == digest)
    return;
  live_digest_ = digest;
  for (const auto& [endpoint, peer] : state_.membership.peers()) {
    if (!state_.membership.IsLive(peer, now) && !peer.leaving)
      Reclaim(endpoint, now);
  }
  LoansByPeer claims;
  for (WorkerIndex i = 0; i < state_.workers.size(); ++i) {
    const VmRecord& vm = state_.workers[i].vm;
    const Endpoint home =
        state_.membership.HomeOf(vm.name, vm.data_center, now, is_absent);
    MoveHome(i, home, claims, now);
  }
  for (auto& [peer, envelope] : claims) {
    state_.counters.Add(Counter::kWastedLending);
    state_.Send(peer, std::move(envelope));
  }
}

void LendingSystem::MoveHome(WorkerIndex index,
                             Endpoint home,
                             LoansByPeer& claims,
                             Time now) {
  const bool is_here = home == state_.endpoint() && !state_.is_absent();
  const Worker& before = state_.workers[index];
  if (before.home == home && before.is_home_here == is_here)
    return;
  std::uint32_t held = before.is_home_here ? before.running : before.borrowed;
  held = std::max(held, before.running);
  for (const auto& [peer, loan] : before.lent)
    lent_to_[peer].erase(index);
  state_.workers.Update(index, now, [&](Worker& worker) {
    worker.home = home;
    worker.is_home_here = is_here;
    worker.lent.clear();
    worker.lent_total = 0;
    worker.borrowed = is_here ? 0 : held;
  });
  if (is_here || held == 0) {
    borrowing_.erase(index);
    return;
  }
  borrowing_.insert(index);
  if (home == state_.endpoint())
    return;
  auto [it, is_new] = claims.try_emplace(home);
  if (is_new)
    it->second = state_.NewEnvelope();
  AddLoan(it->second.mutable_claim()->add_loans(), before.vm.name, held);
}

std::uint32_t LendingSystem::LentTo(WorkerIndex index, Endpoint peer) const {
  const auto lent = state_.workers[index].lent.find(peer);
  return lent == state_.workers[index].lent.end() ? 0 : lent->second.slots;
}

void LendingSystem::SetLent(WorkerIndex index,
                            Endpoint peer,
                            std::uint32_t slots,
                            Time now) {
  state_.workers.Update(index, now, [&](Worker& worker) {
    Loan& loan = worker.lent[peer];
    worker.lent_total += slots - loan.slots;
    loan = Loan{.slots = slots, .changed_at = now};
    if (slots == 0)
      worker.lent.erase(peer);
  });
  if (slots == 0)
    lent_to_[peer].erase(index);
  else
    lent_to_[peer].insert(index);
}

void LendingSystem::Reclaim(Endpoint peer, Time now) {
  const auto node = lent_to_.extract(peer);
  if (node.empty())
    return;
  for (const WorkerIndex index : node.mapped())
    SetLent(index, peer, 0, now);
}

void LendingSystem::Reconcile(const wire::VmIdentity& sender,
                              const wire::Heartbeat& heartbeat,
                              Time now) {
  const Endpoint borrower = Membership::EndpointOf(sender);
  const auto lent = lent_to_.find(borrower);
  if (lent == lent_to_.end())
    return;
  std::map<std::string_view, std::uint32_t> held;
  for (const wire::SlotLoan& loan : heartbeat.held())
    held[loan.worker()] = loan.slots();
  const std::set<WorkerIndex> indexes = lent->second;
  for (const WorkerIndex index : indexes) {
    const Worker& worker = state_.workers[index];
    const Loan& loan = worker.lent.at(borrower);
    const auto it = held.find(worker.vm.name);
    const std::uint32_t slots = it == held.end() ? 0 : it->second;
    if (slots != loan.slots && now - loan.changed_at > kLoanTransitTime)
      SetLent(index, borrower, slots, now);
  }
}

void LendingSystem::AddHeldSlots(Endpoint peer,
                                 wire::Heartbeat& heartbeat) const {
  for (const WorkerIndex index : borrowing_) {
    const Worker& worker = state_.workers[index];
    if (worker.home == peer && worker.borrowed > 0)
      AddLoan(heartbeat.add_held(), worker.vm.name, worker.borrowed);
  }
}

void LendingSystem::Tick(Time now) {
  if (!state_.workers.lends_slots())
    return;
  for (PlacementClass& entry : state_.classes) {
    // A short queue empties by itself; borrowing for it isn't worth a message.
    const std::size_t allotted = state_.workers.AllottedInPools(entry.mask);
    if (entry.queue.size() > allotted / kQueueDivisor &&
        now >= entry.next_borrow &&
        state_.workers.FreeInPools(entry.mask) == 0) {
      Borrow(entry, now);
    }
  }
  if (now >= next_return_) {
    next_return_ = now + kReturnInterval;
    ReturnIdle(now);
  }
}

void LendingSystem::Borrow(PlacementClass& entry, Time now) {
  entry.next_borrow = now + kBorrowInterval;
  Peer* lender = nullptr;
  std::uint32_t most = 0;
  for (auto& [endpoint, peer] : state_.membership.peers()) {
    if (!state_.membership.IsLive(peer, now))
      continue;
    std::uint32_t free = 0;
    for (const std::string& place : entry.places) {
      const auto it = peer.lendable_slots.find(place);
      free += it == peer.lendable_slots.end() ? 0 : it->second;
    }
    free -= std::min(free, peer.requested_slots);
    if (free >= kMinBorrowed && free > most) {
      lender = &peer;
      most = free;
    }
  }
  if (!lender)
    return;
  wire::Envelope envelope = state_.NewEnvelope();
  wire::BorrowSlots* borrow = envelope.mutable_borrow();
  borrow->set_slots(
      std::min(static_cast<std::uint32_t>(entry.queue.size()), most));
  borrow->set_accelerator(entry.accelerator);
  for (const std::string& place : entry.places)
    borrow->add_data_centers(place);
  state_.counters.Add(Counter::kWastedLending);
  state_.Send(Membership::EndpointOf(lender->identity), std::move(envelope));
  lender->requested_slots += most;
}

void LendingSystem::ReturnIdle(Time now) {
  const Duration idle =
      std::chrono::milliseconds(state_.options.timing.loan_idle_ms);
  for (auto it = borrowing_.begin(); it != borrowing_.end();) {
    const WorkerIndex index = *it;
    const Worker& worker = state_.workers[index];
    const bool is_idle = worker.borrowed > worker.running &&
                         now - worker.borrowed_idle_since >= idle;
    // No message is sent: the home sees the return in the held slots of the
    // next heartbeat.
    if (is_idle)
      ReturnFree(index, worker.borrowed - worker.running, now);
    it = state_.workers[index].borrowed == 0 ? borrowing_.erase(it)
                                             : std::next(it);
  }
}

bool LendingSystem::HasQueuedTasksFor(std::uint32_t pool) const {
  return std::ranges::any_of(state_.classes, [pool](const auto& entry) {
    return entry.queue.size() > 0 && WorkerTable::Contains(entry.mask, pool);
  });
}

void LendingSystem::Handle(const wire::VmIdentity& sender,
                           const wire::BorrowSlots& message,
                           Time now) {
  const Endpoint borrower = Membership::EndpointOf(sender);
  wire::Envelope envelope = state_.NewEnvelope();
  wire::GrantSlots* grant = envelope.mutable_grant();
  std::uint32_t wanted = message.slots();
  const std::vector<std::string> places(message.data_centers().begin(),
                                        message.data_centers().end());
  const PoolMask mask = state_.workers.MaskOf(places, message.accelerator());
  for (std::uint32_t pool = 0; pool < state_.workers.pool_count(); ++pool) {
    if (!WorkerTable::Contains(mask, pool) || HasQueuedTasksFor(pool))
      continue;
    const std::uint32_t free = state_.workers.HomeFreeInPool(pool);
    const std::uint32_t kept = kReserveSlots + free / kReserveDivisor;
    const std::uint32_t lendable = free - std::min(free, kept);
    wanted -= Lend(pool, std::min(wanted, lendable), borrower,
                   *grant->mutable_loans(), now);
  }
  state_.counters.Add(Counter::kWastedLending);
  state_.Send(borrower, std::move(envelope));
}

void LendingSystem::Handle(const wire::VmIdentity& sender,
                           const wire::GrantSlots& message,
                           Time now) {
  TakeLoans(sender, message.loans(), now);
}

void LendingSystem::TakeLoans(
    const wire::VmIdentity& sender,
    const google::protobuf::RepeatedPtrField<wire::SlotLoan>& loans,
    Time now) {
  const Endpoint lender = Membership::EndpointOf(sender);
  for (const wire::SlotLoan& loan : loans) {
    const std::int64_t index = state_.workers.Find(loan.worker());
    // Skips workers whose home is no longer the lender. The lender sees from
    // the held slots of the next heartbeat that they were not accepted.
    if (index < 0 || state_.workers[index].is_home_here ||
        state_.workers[index].home != lender) {
      continue;
    }
    state_.workers.Update(index, now, [&](Worker& worker) {
      worker.borrowed += loan.slots();
      worker.borrowed_idle_since = now;
    });
    borrowing_.insert(static_cast<WorkerIndex>(index));
  }
}

std::uint32_t LendingSystem::Lend(
    std::uint32_t pool,
    std::uint32_t wanted,
    Endpoint borrower,
    google::protobuf::RepeatedPtrField<wire::SlotLoan>& loans,
    Time now) {
  std::uint32_t left = wanted;
  // Lending changes the set of free workers, so iterate over a copy.
  const auto free_workers = state_.workers.FreeWorkers(pool);
  for (const WorkerTable::FreeEntry& entry : free_workers) {
    if (left == 0)
      break;
    const Worker& worker = state_.workers[entry.worker];
    if (!worker.is_home_here || worker.on_trial)
      continue;
    const std::uint32_t slots =
        std::min(left, state_.workers.FreeSlots(entry.worker, now));
    SetLent(entry.worker, borrower, slots + LentTo(entry.worker, borrower),
            now);
    AddLoan(loans.Add(), worker.vm.name, slots);
    left -= slots;
  }
  return wanted - left;
}

LendingSystem::FreeSlotDistribution LendingSystem::DistributionOfFree(
    Time now) const {
  FreeSlotDistribution distribution;
  distribution.own = state_.workers.FreeInPools(~PoolMask{0});
  std::uint32_t total = distribution.own;
  std::uint32_t vms = 1;
  for (const auto& [endpoint, peer] : state_.membership.peers()) {
    if (!state_.membership.IsLive(peer, now))
      continue;
    total += SumOf(peer.free_slots);
    ++vms;
  }
  distribution.equal_share = total / vms;
  const auto above_share = [&distribution](std::uint32_t slots) {
    return slots - std::min(slots, distribution.equal_share);
  };
  distribution.surplus = above_share(distribution.own);
  for (const auto& [endpoint, peer] : state_.membership.peers()) {
    if (state_.membership.IsLive(peer, now))
      distribution.surplus += above_share(SumOf(peer.free_slots));
  }
  return distribution;
}

void LendingSystem::ReturnSurplus(Time now) {
  const FreeSlotDistribution distribution = DistributionOfFree(now);
  std::uint32_t left =
      distribution.own - std::min(distribution.own, distribution.equal_share);
  for (auto it = borrowing_.begin(); it != borrowing_.end() && left > 0;) {
    const WorkerIndex index = *it;
    const std::uint32_t slots =
        std::min(left, state_.workers.FreeSlots(index, now));
    ReturnFree(index, slots, now);
    left -= slots;
    it = state_.workers[index].borrowed == 0 ? borrowing_.erase(it)
                                             : std::next(it);
  }
}

void LendingSystem::ReturnFree(WorkerIndex index,
                               std::uint32_t slots,
                               Time now) {
  state_.workers.Update(index, now, [slots](Worker& worker) {
    worker.borrowed -= std::min(worker.borrowed, slots);
  });
}

void LendingSystem::AddGrantedSlots(const Peer& peer,
                                    wire::Heartbeat& heartbeat,
                                    Time now) {
  if (!state_.workers.lends_slots() || state_.is_absent() ||
      !state_.membership.IsLive(peer, now)) {
    return;
  }
  const FreeSlotDistribution distribution = DistributionOfFree(now);
  const std::uint32_t peer_free = SumOf(peer.free_slots);
  const bool is_even =
      distribution.own <= distribution.equal_share + kReserveSlots ||
      peer_free + kReserveSlots >= distribution.equal_share;
  if (is_even)
    return;
  // Each VM with surplus slots covers a share of the peer's deficit in
  // proportion to its surplus.
  std::uint32_t granted = (distribution.equal_share - peer_free) *
                          (distribution.own - distribution.equal_share) /
                          distribution.surplus;
  for (std::uint32_t pool = 0;
       pool < state_.workers.pool_count() && granted > 0; ++pool) {
    if (HasQueuedTasksFor(pool))
      continue;
    granted -=
        Lend(pool, std::min(granted, state_.workers.HomeFreeInPool(pool)),
             Membership::EndpointOf(peer.identity),
             *heartbeat.mutable_granted(), now);
  }
}

void LendingSystem::Handle(const wire::VmIdentity& sender,
                           const wire::ClaimSlots& message,
                           Time now) {
  const Endpoint borrower = Membership::EndpointOf(sender);
  // The sender may have noticed the change of homes before this VM.
  UpdateHomes(now);
  for (const wire::SlotLoan& loan : message.loans()) {
    const std::int64_t index = state_.workers.Find(loan.worker());
    if (index >= 0 && state_.workers[index].is_home_here)
      SetLent(static_cast<WorkerIndex>(index), borrower, loan.slots(), now);
  }
}

}  // namespace mustardbank
