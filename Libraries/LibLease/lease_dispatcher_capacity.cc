// Capacity of the workers of LeaseDispatcher: what registrations and reports
// say of it, and for how long they confirm it.
#include <algorithm>
#include <utility>

#include "LibLease/lease_dispatcher.h"

namespace mustardbank {

void LeaseDispatcher::Confirm(const WorkerEntry& entry, Time now) {
  const auto it = workers_.find(entry.id);
  if (it == workers_.end() ||
      it->second.entry.registered.ms >= entry.registered.ms)
    return;
  const bool was_confirmed = now <= it->second.confirmed_until;
  ReadRegistration(it->second, entry, now);
  schedule_due_ = schedule_due_ || !was_confirmed;
}

void LeaseDispatcher::ReadRegistration(LeasedWorker& worker,
                                       const WorkerEntry& entry,
                                       Time now) {
  const WorkerEntry last = std::exchange(worker.entry, entry);
  if (entry.incarnation > last.incarnation)
    worker.largest_capacity = {};
  worker.largest_capacity =
      GreaterOf(worker.largest_capacity, worker.entry.capacity);
  unconfirmed_capacity_.DidRegister(worker.entry.capacity,
                                    worker.largest_capacity, now);
  UpdateConfirmation(worker, now);
}

void LeaseDispatcher::UpdateConfirmation(LeasedWorker& worker, Time now) {
  worker.unconfirmed_capacity =
      unconfirmed_capacity_.Assume(worker.largest_capacity, now);
  if (!worker.has_clock) {
    worker.confirmed_until = Time::max();
    return;
  }
  // The worker has restarted since it registered.
  const bool is_outdated = worker.entry.incarnation != 0 &&
                           worker.entry.incarnation < worker.incarnation;
  const Time registered_until =
      is_outdated
          ? Time::min()
          : unconfirmed_capacity_.ConfirmedUntil(
                worker.entry.registered.ms, worker.clock_ms, worker.clock_at);
  worker.confirmed_until = std::max(registered_until, worker.reported_until);
}

std::size_t LeaseDispatcher::UnconfirmedWorkers(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.second.phase == WorkerPhase::kHeld &&
               now > entry.second.confirmed_until;
      }));
}

void LeaseDispatcher::LogUnconfirmed(Time now) {
  const std::size_t workers = UnconfirmedWorkers(now);
  if ((workers > 0) == unconfirmed_since_.has_value())
    return;
  if (workers > 0) {
    unconfirmed_since_ = now;
    log_.Write(LogEvent::kCapacityUnconfirmed, now, LogBudget::kState)
        .Add(LogField::kCount, workers);
    return;
  }
  log_.Write(LogEvent::kCapacityConfirmed, now, LogBudget::kState)
      .Add(LogField::kElapsedMs, now - *unconfirmed_since_);
  unconfirmed_since_.reset();
}

void LeaseDispatcher::ReadClock(LeasedWorker& worker,
                                std::int64_t clock_ms,
                                Time now) {
  worker.ReadClock(clock_ms, now);
  UpdateConfirmation(worker, now);
}

void LeaseDispatcher::ReadCapacity(LeasedWorker& worker,
                                   const RenewReport& report,
                                   Time now) {
  // The last capacity stays in force.
  if (report.is_capacity_unreadable)
    ++counters_.unreadable_capacities;
  // Answers to overlapping renewals may arrive in another order.
  const bool is_older =
      worker.has_report && report.clock_ms < worker.report_clock_ms;
  if (!report.capacity || is_older)
    return;
  worker.reported_until = unconfirmed_capacity_.ConfirmedUntil(
      report.clock_ms, report.clock_ms, now);
  if (report.capacity == worker.reported_capacity)
    return;
  if (*report.capacity !=
      worker.reported_capacity.value_or(worker.entry.capacity))
    log_.Write(LogEvent::kWorkerCapacity, now, LogBudget::kState)
        .Add(LogField::kWorker, worker.entry.id)
        .Add(LogField::kRoom, report.capacity->millicores)
        .Add(LogField::kCount, worker.runs.size());
  worker.reported_capacity = report.capacity;
}

}  // namespace mustardbank
