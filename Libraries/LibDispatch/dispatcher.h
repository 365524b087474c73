// The decision core of one entry VM. It turns events into actions and does no
// I/O itself. The current time is an argument of each call, so that equal
// events at equal times yield equal actions.
#pragma once

#include <utility>
#include <variant>
#include <vector>

#include "LibDispatch/attempt_system.h"
#include "LibDispatch/caller_system.h"
#include "LibDispatch/dispatch_state.h"
#include "LibDispatch/lending_system.h"
#include "LibDispatch/peer_system.h"
#include "LibDispatch/safeguards.h"
#include "LibDispatch/succession_system.h"

namespace mustardbank {

template <PlacementPolicy Placement, Safeguards Guards = StandardSafeguards>
class Dispatcher {
 public:
  explicit Dispatcher(DispatchOptions options)
      : state_(std::move(options), Placement::kLendsSlots, Guards::AcceptsWork),
        callers_(state_),
        attempts_(state_),
        lending_(state_),
        peers_(state_, lending_),
        succession_(state_) {}
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void Handle(Event&& event, Time now) {
    ObserveTime(now);
    state_.counters.Add(Counter::kEvents);
    std::visit([&](auto& concrete) { Dispatch(concrete, now); }, event);
  }

  // Runs all systems over the tables. Call it after each batch of events and
  // at least every few milliseconds while there is work.
  void Tick(ClockReading clock) {
    const Time now = clock.boot;
    ObserveTime(now);
    ObserveWallClock(clock);
    Join(now);
    FireTimers(now);
    state_.workers.ReindexUnbarred(now);
    RunSlowSystems(now);
    attempts_.Place(now);
    lending_.Tick(now);
    if (auto batch = state_.keys.NextBatch())
      state_.actions.emplace_back(std::move(*batch));
    if (succession_.Tick(now))
      peers_.SendHeartbeats(now);
    peers_.Tick(now);
  }

  std::vector<Action> TakeActions() {
    return std::exchange(state_.actions, {});
  }

  const DispatchState& state() const { return state_; }

 private:
  static constexpr Duration kSlowInterval = std::chrono::milliseconds(50);

  void Dispatch(IssueIds& event, Time now) { callers_.Handle(event, now); }
  void Dispatch(SubmitJob& event, Time now) { callers_.Handle(event, now); }
  void Dispatch(QueryJob& event, Time now) { callers_.Handle(event, now); }
  void Dispatch(CancelJob& event, Time now) { callers_.Handle(event, now); }
  void Dispatch(KeysBound& event, Time now) { callers_.Handle(event, now); }
  void Dispatch(AttemptEnded& event, Time now) { attempts_.Handle(event, now); }
  void Dispatch(ConfigurationRead& event, Time) { peers_.Handle(event); }
  void Dispatch(InventoryRead& event, Time now) { peers_.Handle(event, now); }
  void Dispatch(RegistrationsRead& event, Time now) {
    peers_.Handle(event, now);
  }
  void Dispatch(DrainRequested& event, Time now) {
    succession_.Handle(event);
    lending_.UpdateHomes(now);
    peers_.SendHeartbeats(now);
  }

  void Dispatch(PeerContact& event, Time now) {
    if (event.reached)
      state_.membership.DidReach(event.peer, event.incarnation, now);
    if (event.known_incarnation > state_.incarnation())
      state_.AbandonIncarnation(event.known_incarnation + 1, now);
    callers_.Handle(event);
  }

  void Dispatch(PeerMessage& event, Time now) {
    wire::Envelope& envelope = event.envelope;
    const wire::VmIdentity& sender = envelope.sender();
    Peer* peer = state_.membership.DidReceiveFrom(sender, now);
    if (!peer)
      return;
    switch (envelope.body_case()) {
      case wire::Envelope::kHeartbeat:
        peers_.Handle(sender, envelope.heartbeat(), *peer, now);
        break;
      case wire::Envelope::kBorrow:
        lending_.Handle(sender, envelope.borrow(), now);
        break;
      case wire::Envelope::kGrant:
        lending_.Handle(sender, envelope.grant(), now);
        break;
      case wire::Envelope::kClaim:
        lending_.Handle(sender, envelope.claim(), now);
        break;
      case wire::Envelope::kForward:
        callers_.Handle(sender, *envelope.mutable_forward(), now);
        break;
      case wire::Envelope::kForwardReply:
        callers_.Handle(*envelope.mutable_forward_reply());
        break;
      case wire::Envelope::kSnapshotRequest:
        peers_.Handle(sender, envelope.snapshot_request());
        break;
      case wire::Envelope::kSnapshot:
        peers_.Handle(*envelope.mutable_snapshot(), now);
        break;
      case wire::Envelope::kHandOver:
        succession_.Handle(sender, envelope.hand_over(), now);
        break;
      case wire::Envelope::kHandOverAccepted:
        succession_.Handle(sender, envelope.hand_over_accepted());
        break;
      case wire::Envelope::BODY_NOT_SET:
        break;
    }
  }

  Duration pause_lease() const {
    return std::chrono::milliseconds(state_.options.timing.pause_lease_ms);
  }

  // Ends the incarnation, before any further decision, if the process was
  // paused for longer than `pause_lease_ms`.
  void ObserveTime(Time now) {
    if (last_time_ && now - *last_time_ > pause_lease())
      state_.AbandonIncarnation(0, now);
    last_time_ = now;
  }

  // Detects a suspension that the boot clock does not count: the wall clock
  // then advances further than the boot clock.
  void ObserveWallClock(const ClockReading& clock) {
    if (last_reading_) {
      const Duration wall = clock.wall - last_reading_->wall;
      const Duration boot = clock.boot - last_reading_->boot;
      if (wall - boot > pause_lease())
        state_.AbandonIncarnation(0, clock.boot);
    }
    last_reading_ = clock;
  }

  void Join(Time now) {
    if (!state_.started_at)
      state_.started_at = now;
    const Duration settling =
        std::chrono::milliseconds(2 * state_.options.timing.heartbeat_ms);
    if (state_.phase == Phase::kJoining && now - *state_.started_at >= settling)
      state_.phase = Phase::kServing;
  }

  void FireTimers(Time now) {
    while (const auto timer = state_.timers.TakeDue(now)) {
      switch (timer->kind) {
        case TimerKind::kJobDeadline:
          GiveUpJob(timer->subject, now);
          break;
        case TimerKind::kWaiterTimeout:
          EndWaiter(timer->subject, timer->detail, now);
          break;
        case TimerKind::kForwardTimeout:
          callers_.EndForward(timer->subject);
          break;
        case TimerKind::kForeignExpiry:
          state_.workers.Update(static_cast<WorkerIndex>(timer->subject), now,
                                [](Worker& worker) {
                                  worker.foreign -=
                                      std::min(worker.foreign, 1U);
                                });
          break;
      }
    }
  }

  // Fails a job if some of its tasks are still queued after the delay tolerance
  // of its service plus a multiple of the expected run time of the job.
  void GiveUpJob(std::uint64_t sequence, Time now) {
    const auto job = state_.jobs.find(sequence);
    if (job == state_.jobs.end() || job->second.queued == 0)
      return;
    state_.FailJob(
        sequence, Problem::kGivenUp, Guards::RanSoFar(job->second.started),
        "Some tasks were still queued at the deadline for starting.", now);
  }

  void EndWaiter(std::uint64_t sequence, std::uint64_t waiter, Time now) {
    const auto job = state_.jobs.find(sequence);
    if (job == state_.jobs.end())
      return;
    std::vector<Waiter>& waiters = job->second.waiters;
    const auto it = std::ranges::find(waiters, waiter, &Waiter::timer);
    if (it == waiters.end())
      return;
    const Requester requester = it->requester;
    waiters.erase(it);
    state_.AddWaiter(job->second, requester, Duration::zero(), now);
  }

  void RunSlowSystems(Time now) {
    if (now < next_slow_)
      return;
    next_slow_ = now + kSlowInterval;
    lending_.UpdateHomes(now);
    const auto count = static_cast<TeamIndex>(state_.teams.teams().size());
    for (TeamIndex i = 0; i < count; ++i) {
      const Team& team = state_.teams[i];
      if (team.running + team.queued > 0)
        state_.UpdateShare(i, now);
    }
    state_.record.Expire(state_.answer_limits(), now);
    for (auto& [home, record] : state_.inherited)
      record.Expire(state_.answer_limits(), now);
  }

  DispatchState state_;
  CallerSystem<Guards> callers_;
  AttemptSystem<Placement, Guards> attempts_;
  LendingSystem lending_;
  PeerSystem<Guards> peers_;
  SuccessionSystem<Guards> succession_;
  std::optional<Time> last_time_;
  std::optional<ClockReading> last_reading_;
  Time next_slow_;
};

}  // namespace mustardbank
