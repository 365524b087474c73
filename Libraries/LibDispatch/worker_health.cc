#include "LibDispatch/worker_health.h"

#include <algorithm>

namespace mustardbank {

namespace {

// Consecutive failures, each of another job, after which a worker is
// quarantined.
constexpr std::uint32_t kFailuresToQuarantine = 3;
constexpr Duration kQuarantine = std::chrono::seconds(2);
constexpr Duration kMaxQuarantine = std::chrono::seconds(60);
constexpr Duration kUnreachableBar = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxQuarantineRound = 6;
// Longer than the delay with which the platform lists a worker as leaving.
constexpr Duration kLeavingBar = std::chrono::seconds(30);
constexpr Duration kMinForeignTime = std::chrono::milliseconds(20);
constexpr Duration kMaxForeignTime = std::chrono::milliseconds(500);
constexpr double kSlownessSmoothing = 0.2;
// No further worker is quarantined once one in this many is barred: when so
// many fail, the jobs are at fault, not the workers.
constexpr std::size_t kQuarantineDivisor = 3;

}  // namespace

void WorkerHealth::DidEnd(const InFlightAttempt& attempt,
                          const AttemptEnded& event,
                          Time now) {
  state_.workers.Update(attempt.worker, now, [&](Worker& worker) {
    worker.running -= std::min(worker.running, 1U);
    switch (event.result) {
      case AttemptResult::kSucceeded:
        DidSucceed(attempt, event, worker);
        break;
      case AttemptResult::kFailed:
        state_.counters.Add(Counter::kTaskFailures);
        DidFail(event, worker, now);
        break;
      case AttemptResult::kUnknown:
        state_.counters.Add(Counter::kTaskUnknown);
        DidFail(event, worker, now);
        break;
      case AttemptResult::kRefusedBusy:
        state_.counters.Add(Counter::kWastedBusyRefusals);
        DidRefuseBusy(attempt, worker, now);
        break;
      case AttemptResult::kRefusedLeaving:
        state_.counters.Add(Counter::kWastedLeavingRefusals);
        worker.barred_until = now + kLeavingBar;
        state_.leaving_workers[worker.vm.name] = worker.barred_until;
        break;
      case AttemptResult::kNotSent:
        state_.counters.Add(Counter::kWastedUnreachable);
        if (worker.barred_until <= now)
          Bar(worker, kUnreachableBar, now);
        break;
      case AttemptResult::kStale:
        break;
    }
  });
}

void WorkerHealth::DidSucceed(const InFlightAttempt& attempt,
                              const AttemptEnded& event,
                              Worker& worker) {
  state_.counters.Add(Counter::kTaskSuccesses);
  worker.failures = 0;
  worker.on_trial = false;
  worker.quarantine_round = 0;
  const double ratio = static_cast<double>(event.run_time.count()) /
                       std::max<double>(1e6, attempt.expected.count());
  worker.slowness += kSlownessSmoothing * (ratio - worker.slowness);
  state_.run_times.DidRun(attempt.service, attempt.request, event.run_time);
}

void WorkerHealth::DidFail(const AttemptEnded& event,
                           Worker& worker,
                           Time now) {
  if (worker.last_failed_job == event.sent.sequence && !worker.on_trial)
    return;
  worker.last_failed_job = event.sent.sequence;
  ++worker.failures;
  const bool is_due =
      worker.on_trial || worker.failures >= kFailuresToQuarantine;
  if (is_due && worker.barred_until <= now && MayQuarantineMore(now)) {
    state_.counters.Add(Counter::kQuarantines);
    Bar(worker, kQuarantine, now);
  }
}

void WorkerHealth::DidRefuseBusy(const InFlightAttempt& attempt,
                                 Worker& worker,
                                 Time now) {
  ++worker.foreign;
  const Duration until_free = std::clamp<Duration>(
      state_.run_times.mean() / 2, kMinForeignTime, kMaxForeignTime);
  state_.timers.Add(Timer{.at = now + until_free,
                          .kind = TimerKind::kForeignExpiry,
                          .subject = attempt.worker});
}

void WorkerHealth::Bar(Worker& worker, Duration duration, Time now) {
  const Duration scaled = duration * (1U << worker.quarantine_round);
  worker.barred_until = now + std::min(scaled, kMaxQuarantine);
  worker.quarantine_round =
      std::min(worker.quarantine_round + 1, kMaxQuarantineRound);
  worker.on_trial = true;
}

bool WorkerHealth::MayQuarantineMore(Time now) const {
  std::size_t barred = 0;
  for (WorkerIndex i = 0; i < state_.workers.size(); ++i)
    barred += state_.workers[i].barred_until > now ? 1 : 0;
  return barred * kQuarantineDivisor < state_.workers.size() ||
         state_.workers.size() < kQuarantineDivisor;
}

}  // namespace mustardbank
