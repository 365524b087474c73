// The planned stop of an entry VM. Waits until its jobs have ended, hands their
// record and stored answers over to a successor, and announces the succession
// (which VM took over the jobs of the stopped incarnation) to the peers and on
// the platform.
#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "LibDispatch/dispatch_state.h"
#include "LibDispatch/safeguards.h"

namespace mustardbank {

template <Safeguards Guards>
class SuccessionSystem {
 public:
  explicit SuccessionSystem(DispatchState& state) : state_(state) {}

  void Handle(const DrainRequested& /*event*/) {
    if (!state_.is_leaving())
      state_.phase = Phase::kDraining;
  }

  // Returns whether heartbeats should be sent at once, to announce a change.
  bool Tick(Time now) {
    switch (state_.phase) {
      case Phase::kJoining:
      case Phase::kServing:
      case Phase::kLeft:
        return false;
      case Phase::kDraining:
        return LeaveIfIdle(now);
      case Phase::kHandingOver:
        return ContinueHandOver(now);
    }
    return false;
  }

  void Handle(const wire::VmIdentity& sender,
              const wire::HandOver& part,
              Time now) {
    const HomeId home = Membership::HomeIdOf(part.home());
    auto [it, is_new] = partial_records_.try_emplace(
        home, PartialRecord{.record = IncarnationRecord(part.home())});
    PartialRecord& partial = it->second;
    if (partial.parts.insert(part.part()).second)
      partial.record.AddPart(part, now);
    if (partial.parts.size() < part.parts() || state_.is_leaving())
      return;
    state_.inherited.insert_or_assign(home, std::move(partial.record));
    partial_records_.erase(it);
    state_.membership.AddSuccession(
        Membership::MakeSuccession(home, state_.endpoint(), part.hand_overs()));
    wire::Envelope envelope = state_.NewEnvelope();
    *envelope.mutable_hand_over_accepted()->mutable_home() = part.home();
    state_.Send(Membership::EndpointOf(sender), std::move(envelope));
  }

  void Handle(const wire::VmIdentity& sender,
              const wire::HandOverAccepted& accepted) {
    const Endpoint successor = Membership::EndpointOf(sender);
    if (state_.phase != Phase::kHandingOver || successor != successor_)
      return;
    unaccepted_.erase(Membership::HomeIdOf(accepted.home()));
  }

 private:
  // A record from another VM of which some parts have arrived.
  struct PartialRecord {
    IncarnationRecord record;
    std::set<std::uint32_t> parts;
  };

  static constexpr Duration kAcceptTimeout = std::chrono::seconds(2);
  // Time allowed for the announcement of the successor to reach the peers.
  static constexpr Duration kAnnounceTime = std::chrono::milliseconds(300);
  static constexpr int kMaxSuccessors = 3;

  std::size_t UnfinishedRequests() const {
    return state_.jobs.size() + state_.forwards.size() + state_.keys.pending();
  }

  bool LeaveIfIdle(Time now) {
    if (!Guards::MayStop(UnfinishedRequests()))
      return false;
    state_.phase = Phase::kHandingOver;
    StartHandOver(now);
    return true;
  }

  void StartHandOver(Time now) {
    successor_ = ChooseSuccessor(now);
    unaccepted_.clear();
    accept_deadline_ = now + kAcceptTimeout;
    if (!successor_ || tried_successors_.size() > kMaxSuccessors) {
      successor_.reset();
      return;
    }
    tried_successors_.insert(*successor_);
    SendRecord(state_.record);
    for (const auto& [home, record] : state_.inherited)
      SendRecord(record);
  }

  std::optional<Endpoint> ChooseSuccessor(Time now) const {
    std::optional<Endpoint> best;
    bool best_is_near = false;
    for (const auto& [endpoint, peer] : state_.membership.peers()) {
      if (!state_.membership.IsLive(peer, now) ||
          tried_successors_.contains(endpoint))
        continue;
      const bool is_near =
          peer.identity.data_center() == state_.membership.self().data_center();
      if (!best || (is_near && !best_is_near)) {
        best = endpoint;
        best_is_near = is_near;
      }
    }
    return best;
  }

  std::uint32_t NextHandOver(const IncarnationRecord& record) const {
    return state_.membership.HandOversOf(Membership::HomeIdOf(record.home())) +
           1;
  }

  void SendRecord(const IncarnationRecord& record) {
    unaccepted_.insert(Membership::HomeIdOf(record.home()));
    const std::uint32_t hand_overs = NextHandOver(record);
    for (wire::HandOver& part : record.ToHandOver()) {
      part.set_hand_overs(hand_overs);
      wire::Envelope envelope = state_.NewEnvelope();
      *envelope.mutable_hand_over() = std::move(part);
      state_.Send(*successor_, std::move(envelope));
    }
  }

  bool ContinueHandOver(Time now) {
    if (announced_at_)
      return FinishAfterAnnouncing(now);
    if (!successor_) {
      if (Guards::MayStop(UnfinishedRequests()))
        Finish();
      return false;
    }
    if (!unaccepted_.empty()) {
      if (now >= accept_deadline_)
        StartHandOver(now);
      return false;
    }
    announced_at_ = now;
    const auto publish = [&](const IncarnationRecord& record) {
      const wire::Succession succession =
          Membership::MakeSuccession(Membership::HomeIdOf(record.home()),
                                     *successor_, NextHandOver(record));
      state_.membership.AddSuccession(succession);
      state_.actions.emplace_back(PublishSuccession{.succession = succession});
    };
    publish(state_.record);
    for (const auto& [home, record] : state_.inherited)
      publish(record);
    return true;
  }

  bool FinishAfterAnnouncing(Time now) {
    // Requests may have arrived since the hand-over began.
    if (now - *announced_at_ >= kAnnounceTime &&
        Guards::MayStop(UnfinishedRequests())) {
      Finish();
    }
    return false;
  }

  void Finish() {
    state_.phase = Phase::kLeft;
    state_.actions.emplace_back(LeaveFinished{});
  }

  DispatchState& state_;
  std::map<HomeId, PartialRecord> partial_records_;
  std::optional<Endpoint> successor_;
  std::set<Endpoint> tried_successors_;
  std::set<HomeId> unaccepted_;  // records not accepted yet
  Time accept_deadline_;
  std::optional<Time> announced_at_;
};

}  // namespace mustardbank
