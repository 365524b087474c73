// Workers of LeaseDispatcher: ownership, lease renewals, reports and answers to
// commands.
#include <algorithm>
#include <utility>

#include "LibLease/lease_dispatcher.h"

namespace mustardbank {

namespace {

// Whether a registration is known to be older than another of the worker.
bool IsOlder(const WorkerEntry& entry, const WorkerEntry& than) {
  return entry.incarnation < than.incarnation ||
         (entry.incarnation == than.incarnation && entry.registered.ms != 0 &&
          entry.registered.ms < than.registered.ms);
}

// Of what is known and what a list holds, which may have been read before. An
// older registration never raises the capacity.
WorkerEntry NewerRegistration(const WorkerEntry& known,
                              const WorkerEntry& listed) {
  if (!IsOlder(listed, known))
    return listed;
  WorkerEntry newer = known;
  newer.capacity = LesserOf(known.capacity, listed.capacity);
  return newer;
}

// Between lookups of the registration of a worker that has restarted. Workers
// register when they start.
constexpr Duration kFirstLookupInterval = std::chrono::milliseconds(100);
constexpr Duration kMostLookupInterval = std::chrono::milliseconds(800);
// At a time. Where a whole rack restarts, the next list has its workers as
// soon.
constexpr std::size_t kMostLookups = 8;
// Speeds change over seconds; a fit takes some microseconds.
constexpr Duration kSpeedsInterval = std::chrono::milliseconds(100);

}  // namespace

void LeaseDispatcher::Own(const WorkerEntry& listed,
                          std::uint64_t fencing_token,
                          Time now) {
  const auto [it, is_new] = workers_.try_emplace(listed.id);
  LeasedWorker& worker = it->second;
  const WorkerEntry entry =
      is_new ? listed : NewerRegistration(worker.entry, listed);
  const bool has_changed = !is_new && (worker.fencing_token != fencing_token ||
                                       worker.entry.endpoint != entry.endpoint);
  if (is_new || has_changed) {
    log_.Write(LogEvent::kWorkerAdded, now, LogBudget::kState)
        .Add(LogField::kWorker, entry.id)
        .Add(LogField::kToken, fencing_token)
        .Add(LogField::kRoom, entry.capacity.millicores);
    worker.phase = WorkerPhase::kUnverified;
    worker.next_renewal_at = now;
  }
  if (worker.phase == WorkerPhase::kDown &&
      worker.entry.incarnation != entry.incarnation)
    worker.next_renewal_at = now;
  const std::uint64_t last_registered = worker.entry.incarnation;
  if (is_new || worker.entry != entry)
    worker.cold_until = now + entry.cold.remaining;
  worker.fencing_token = fencing_token;
  ReadRegistration(worker, entry, now);
  // The worker has restarted: its first report shows what it runs.
  if (worker.AwaitsReport() && worker.entry.incarnation > last_registered)
    ProbeNow(worker, now);
  const auto evacuated = evacuated_.find(entry.data_center);
  worker.is_evacuated = evacuated != evacuated_.end();
  worker.last_starts_until =
      worker.is_evacuated ? evacuated->second : Time::min();
  speeds_.Add(entry.id, {.labels = entry.labels,
                         .millicores = entry.capacity.millicores,
                         .incarnation = entry.incarnation});
  worker.unlisted = false;
  worker.releasing = worker.releasing && !has_changed;
  schedule_due_ = true;
}

void LeaseDispatcher::SetEvacuated(
    std::map<std::string, Time> last_starts_until,
    Time now) {
  evacuated_ = std::move(last_starts_until);
  for (auto& [id, worker] : workers_) {
    const auto it = evacuated_.find(worker.entry.data_center);
    worker.is_evacuated = it != evacuated_.end();
    worker.last_starts_until = worker.is_evacuated ? it->second : Time::min();
  }
  EndEvacuatedJobs(now);
  schedule_due_ = true;
}

void LeaseDispatcher::HoldStarts(bool is_held) {
  schedule_due_ = schedule_due_ || (are_starts_held_ && !is_held);
  are_starts_held_ = is_held;
}

bool LeaseDispatcher::MaySend(const StartCommand& command, Time now) const {
  if (now > command.send_before || are_starts_held_)
    return false;
  const auto it = workers_.find(command.target.worker);
  return it != workers_.end() &&
         command.incarnation == it->second.incarnation &&
         !it->second.HasForeignRegistration() &&
         (!it->second.is_evacuated || now < it->second.last_starts_until);
}

void LeaseDispatcher::Unlist(const std::string& id, Time now) {
  const auto it = workers_.find(id);
  if (it == workers_.end())
    return;
  it->second.unlisted = true;
  if (!it->second.IsIdle() && now < it->second.lapsed_at)
    return;
  DidLoseWorker(it->second, LossEvidence::kUnlisted, now);
  EndAllRuns(it->second, RunEnd::kLapsed, now);
  log_.Write(LogEvent::kWorkerRemoved, now, LogBudget::kState)
      .Add(LogField::kWorker, id)
      .Add(LogField::kCause, "unlisted");
  speeds_.Remove(id);
  workers_.erase(it);
}

void LeaseDispatcher::Release(const std::string& id) {
  if (const auto it = workers_.find(id); it != workers_.end())
    it->second.releasing = true;
}

void LeaseDispatcher::Disown(const std::string& id, Time now) {
  const auto it = workers_.find(id);
  if (it == workers_.end())
    return;
  std::set<std::string> jobs;
  for (const auto& [task, run] : it->second.runs)
    jobs.insert(std::string(JobOf(task)));
  log_.Write(LogEvent::kWorkerRemoved, now, LogBudget::kState)
      .Add(LogField::kWorker, id)
      .Add(LogField::kCause, "owned_elsewhere")
      .Add(LogField::kCount, it->second.runs.size());
  // The runs continue until the new owner stops them. This VM must therefore
  // not start their tasks again, and gives up their jobs.
  speeds_.Remove(id);
  workers_.erase(it);
  for (const std::string& job : jobs)
    Finish(job,
           {.outcome = JobOutcome::kGivenUp, .cause = JobCause::kOwnershipLost},
           now);
}

CommandTarget LeaseDispatcher::TargetOf(const LeasedWorker& worker) const {
  return {.worker = worker.entry.id,
          .endpoint = worker.entry.endpoint,
          .fencing_token = worker.fencing_token};
}

void LeaseDispatcher::SetPhase(LeasedWorker& worker,
                               WorkerPhase phase,
                               Time now) {
  if (worker.phase == phase)
    return;
  log_.Write(LogEvent::kWorkerPhase, now, LogBudget::kState)
      .Add(LogField::kWorker, worker.entry.id)
      .Add(LogField::kPhase, kWorkerPhaseNames[phase])
      .Add(LogField::kAgeMs, now - worker.answered_at)
      .Add(LogField::kCount, worker.runs.size());
  worker.phase = phase;
  schedule_due_ = true;
}

bool LeaseDispatcher::NeedsRenewal(const LeasedWorker& worker, Time now) const {
  // An idle worker that is released may already have its next owner.
  if (now < worker.next_renewal_at || (worker.releasing && worker.IsIdle()))
    return false;
  if (worker.awaited_renewal != 0) {
    return !worker.runs.empty() && now < worker.lossy_until &&
           now >= worker.renewal_overdue_at &&
           worker.overlapping_renewals < timing_.most_overlapping_renewals;
  }
  return worker.phase != WorkerPhase::kHeld || !worker.IsIdle() ||
         !worker.unsettled_starts.empty() ||
         worker.acknowledged > worker.acknowledged_sent ||
         worker.AwaitsReport() ||
         now - worker.answered_at >= timing_.idle_interval;
}

// Makes the next lease renewal due at once, although an earlier one may still
// be waiting at the worker.
void LeaseDispatcher::ProbeNow(LeasedWorker& worker, Time now) {
  worker.awaited_renewal = 0;
  worker.next_renewal_at = now;
}

void LeaseDispatcher::SendRenewal(LeasedWorker& worker, Time now) {
  const bool is_probe = worker.phase != WorkerPhase::kHeld;
  const bool renews =
      worker.has_clock && !worker.runs.empty() &&
      (worker.phase == WorkerPhase::kHeld ||
       worker.phase == WorkerPhase::kSuspect) &&
      worker.unanswered_renewals < timing_.renewals_without_answer;
  // Workers that are idle or have only foreign runs answer at once.
  const bool waits = !is_probe && !worker.runs.empty();
  const Duration wait = now < worker.lossy_until ? timing_.lossy_renewal_wait
                                                 : timing_.renewal_wait;
  RenewCommand command{
      .target = TargetOf(worker),
      .number = worker.next_renewal_number++,
      .lease_until_ms = renews ? worker.GrantLease(timing_, now) : 0,
      .acknowledged = worker.acknowledged,
      .wait = waits ? wait : Duration{},
      .fresh_connection = worker.unanswered_renewals > 0,
      .send_before = now + timing_.lease};
  command.timeout = command.wait + timing_.command_timeout;
  if (worker.awaited_renewal != 0)
    ++worker.overlapping_renewals;
  worker.renewal_overdue_at = now + command.wait + timing_.answer_overdue;
  worker.awaited_renewal = command.number;
  actions_.emplace_back(command);
}

void LeaseDispatcher::DidRenew(const RenewCommand& command,
                               CommandAnswer answer,
                               const RenewReport& report,
                               Time now) {
  ++counters_.renewals[static_cast<std::size_t>(answer)];
  const auto it = workers_.find(command.target.worker);
  if (it == workers_.end())
    return;
  LeasedWorker& worker = it->second;
  const bool is_awaited = worker.awaited_renewal == command.number;
  if (is_awaited)
    worker.awaited_renewal = 0;
  if (command.target.fencing_token != worker.fencing_token ||
      command.target.endpoint != worker.entry.endpoint)
    return;
  switch (answer) {
    case CommandAnswer::kAccepted:
      worker.unanswered_renewals = 0;
      worker.overlapping_renewals = 0;
      worker.answered_at = now;
      worker.acknowledged_sent =
          std::max(worker.acknowledged_sent, command.acknowledged);
      ReadReport(worker, command, report, now);
      if (!is_awaited)
        return;
      worker.next_renewal_at = now;
      if (worker.IsIdle())
        worker.next_renewal_at += timing_.acknowledge_delay;
      else if (worker.runs.empty())
        worker.next_renewal_at += timing_.foreign_run_interval;
      return;
    case CommandAnswer::kFenced:
      DidFindFenced(worker, now);
      return;
    case CommandAnswer::kRefusedConnection:
      DidFindDown(worker, now);
      return;
    case CommandAnswer::kOtherWorker:
      DidFindReplaced(worker, now);
      return;
    default:
      worker.lossy_until = now + timing_.lossy_period;
      if (!is_awaited)
        return;
      ++worker.unanswered_renewals;
      worker.next_renewal_at =
          now + (worker.unanswered_renewals > 1 ? timing_.probe_interval
                                                : Duration{});
      if (worker.phase == WorkerPhase::kHeld)
        SetPhase(worker, WorkerPhase::kSuspect, now);
  }
}

void LeaseDispatcher::DidFindFenced(LeasedWorker& worker, Time now) {
  const std::string id = worker.entry.id;
  // A command that was in flight during the hand-over of its worker is refused
  // as fenced, too. That does not mean that this VM has lost the other workers
  // of the shard.
  if (!worker.releasing || !worker.IsIdle())
    fenced_.push_back(id);
  Disown(id, now);
}

// Nothing listens at the worker's address, or a network partition resets the
// connections to it. Its tasks may continue until their lease has lapsed.
void LeaseDispatcher::DidFindDown(LeasedWorker& worker, Time now) {
  if (worker.phase != WorkerPhase::kDown)
    worker.down_since = now;
  SetPhase(worker, WorkerPhase::kDown, now);
  worker.next_renewal_at = now + timing_.down_probe_interval;
}

// Another incarnation answers at the worker's address. The process that ran the
// tasks is gone, so its runs have ended.
void LeaseDispatcher::DidFindReplaced(LeasedWorker& worker, Time now) {
  DidFindDown(worker, now);
  DidLoseWorker(worker, LossEvidence::kReplaced, now);
  worker.foreign_tasks.clear();
  worker.unsettled_starts.clear();
  EndAllRuns(worker, RunEnd::kLapsed, now);
}

void LeaseDispatcher::ReadReport(LeasedWorker& worker,
                                 const RenewCommand& command,
                                 const RenewReport& report,
                                 Time now) {
  // A late report of an earlier incarnation.
  if (report.incarnation < worker.incarnation)
    return;
  const bool is_restarted = report.incarnation > worker.incarnation;
  if (is_restarted) {
    // The new incarnation numbers the ends of runs from the start. It does not
    // list the runs of the old one, but may list a run that was started since.
    worker.acknowledged = 0;
    worker.acknowledged_sent = 0;
    if (worker.incarnation != 0) {
      speeds_.Forget(worker.entry.id);
      DidLoseWorker(worker, LossEvidence::kRestarted, now);
      crash_limits_.DidReturn(worker.entry.id);
    }
    worker.has_report = false;
    worker.reported_capacity.reset();
    worker.reported_until = Time::min();
  }
  worker.incarnation = report.incarnation;
  if (is_restarted)
    AwaitRegistration(worker, now);
  if (worker.lost == worker.IncarnationKey()) {
    crashes_.Withdraw(worker.IncarnationKey());
    worker.lost.reset();
  }
  ReadCapacity(worker, report, now);
  const Time made_at = worker.ReadReportTime(report.clock_ms, now);
  ReadClock(worker, report.clock_ms, now);
  for (const EndedTask& ended : report.ended) {
    worker.acknowledged = std::max(worker.acknowledged, ended.sequence);
    const auto it = worker.runs.find(ended.run.task);
    if (it != worker.runs.end() && it->second.id == ended.run)
      EndRun(worker, ended.run.task, ended.end, now);
  }
  // A worker that was unreachable or had foreign runs may now have free
  // capacity.
  schedule_due_ = true;
  worker.foreign_tasks.clear();
  std::set<std::string> present;
  for (const RunningTask& running : report.running) {
    const auto it = worker.runs.find(running.run.task);
    if (it == worker.runs.end() || it->second.id != running.run) {
      worker.foreign_tasks.insert(running.run.task);
      actions_.emplace_back(StopCommand{.target = TargetOf(worker),
                                        .run = running.run,
                                        .timeout = answer_timeout_.Timeout()});
      continue;
    }
    LeasedRun& run = it->second;
    present.insert(running.run.task);
    if (running.percent > run.percent) {
      run.percent = running.percent;
      run.progressed = made_at;
    }
    run.was_seen = true;
    if (run.state == RunState::kStarting || run.state == RunState::kUnknown)
      run.state = RunState::kRunning;
  }
  std::erase_if(worker.unsettled_starts, [&](const auto& entry) {
    const auto& conclusive = entry.second.conclusive_renewal;
    return conclusive && command.number >= *conclusive;
  });
  std::vector<std::string> vanished;
  for (const auto& [task, run] : worker.runs) {
    if (run.conclusive_renewal && command.number >= *run.conclusive_renewal &&
        !present.contains(task))
      vanished.push_back(task);
  }
  for (const std::string& task : vanished) {
    ++counters_.runs_vanished;
    EndRun(worker, task, RunEnd::kLapsed, now);
  }
  if (worker.phase == WorkerPhase::kDown ||
      worker.phase == WorkerPhase::kUnverified)
    crash_limits_.DidReturn(worker.entry.id);
  SetPhase(worker, WorkerPhase::kHeld, now);
  StopMissingStarts(worker, command.number, now);
  StopStragglers(worker, made_at, now);
}

void LeaseDispatcher::AwaitRegistration(LeasedWorker& worker, Time now) {
  if (!worker.HasForeignRegistration())
    return;
  worker.lookup_at = now;
  worker.lookup_interval = kFirstLookupInterval;
  log_.Write(LogEvent::kRegistrationAwaited, now, LogBudget::kState)
      .Add(LogField::kWorker, worker.entry.id)
      .Add(LogField::kVersion, worker.incarnation);
}

std::size_t LeaseDispatcher::UnregisteredWorkers() const {
  return static_cast<std::size_t>(std::count_if(
      workers_.begin(), workers_.end(),
      [](const auto& entry) { return entry.second.HasForeignRegistration(); }));
}

std::vector<std::string> LeaseDispatcher::TakeLookups(Time now) {
  std::vector<std::string> ids;
  for (auto& [id, worker] : workers_) {
    if (ids.size() == kMostLookups)
      break;
    if (!worker.HasForeignRegistration() || worker.AwaitsReport() ||
        now < worker.lookup_at)
      continue;
    ids.push_back(id);
    worker.lookup_at = now + worker.lookup_interval;
    worker.lookup_interval =
        std::min(2 * worker.lookup_interval, kMostLookupInterval);
  }
  return ids;
}

void LeaseDispatcher::ExcludeWorker(LeasedWorker& worker, Time now) {
  ++counters_.exclusions;
  worker.outcome_health.DidFail(now);
  log_.Write(LogEvent::kWorkerExcluded, now)
      .Add(LogField::kWorker, worker.entry.id)
      .Add(LogField::kStrikes, worker.outcome_health.strikes())
      .Add(LogField::kFactorPercent, FactorPercent(worker));
}

void LeaseDispatcher::DidStart(const StartCommand& command,
                               CommandAnswer answer,
                               std::int64_t clock_ms,
                               Time now) {
  ++counters_.starts[static_cast<std::size_t>(answer)];
  const auto it = workers_.find(command.target.worker);
  if (it == workers_.end())
    return;
  LeasedWorker& worker = it->second;
  const auto run_it = worker.runs.find(command.run.task);
  const bool is_known =
      run_it != worker.runs.end() && run_it->second.id == command.run;
  if (is_known) {
    counters_.start_time.Observe(now - run_it->second.started);
    if (answer == CommandAnswer::kAccepted)
      answer_timeout_.DidAnswer(now - run_it->second.started);
  }
  if (answer != CommandAnswer::kAccepted) {
    log_.Write(LogEvent::kTaskStartFailed, now)
        .Add(LogField::kTask, command.run.task)
        .Add(LogField::kRun, command.run.number)
        .Add(LogField::kWorker, worker.entry.id)
        .Add(LogField::kToken, command.target.fencing_token)
        .Add(LogField::kCause, kCommandAnswerNames[answer]);
  }
  if (clock_ms != 0 && command.target.fencing_token == worker.fencing_token) {
    ReadClock(worker, clock_ms, now);
    worker.answered_at = now;
  }
  switch (answer) {
    case CommandAnswer::kAccepted:
      if (!is_known)
        return;
      run_it->second.was_seen = true;
      if (run_it->second.state == RunState::kStarting)
        run_it->second.state = RunState::kRunning;
      if (run_it->second.state == RunState::kRunning)
        run_it->second.conclusive_renewal = worker.next_renewal_number;
      return;
    case CommandAnswer::kFenced:
      if (command.target.fencing_token == worker.fencing_token) {
        DidFindFenced(worker, now);
      }
      return;
    case CommandAnswer::kRefusedConnection:
      // The command did not arrive, so the run does not exist.
      if (is_known)
        EndRun(worker, command.run.task, RunEnd::kBroken, now);
      DidFindDown(worker, now);
      return;
    case CommandAnswer::kOtherWorker:
      DidFindReplaced(worker, now);
      return;
    case CommandAnswer::kNoAnswer:
      // If only the answer was lost, the next lease renewal shows the run.
      // Otherwise the command may still be carried out, so the capacity stays
      // reserved until a stop command settles it.
      if (is_known && run_it->second.state == RunState::kStarting) {
        run_it->second.state = RunState::kUnknown;
        run_it->second.stop_again = now + timing_.command_timeout;
        run_it->second.first_probe = worker.next_renewal_number;
      }
      worker.lossy_until = now + timing_.lossy_period;
      SetPhase(worker, WorkerPhase::kSuspect, now);
      ProbeNow(worker, now);
      return;
    case CommandAnswer::kUnhealthy:
    case CommandAnswer::kNoRoom:
    case CommandAnswer::kLate:
    case CommandAnswer::kSuperseded:
    case CommandAnswer::kMalformed:
    case CommandAnswer::kNotSent:
      break;
  }
  if (answer == CommandAnswer::kUnhealthy)
    ExcludeWorker(worker, now);
  if (answer == CommandAnswer::kNoRoom || answer == CommandAnswer::kLate ||
      answer == CommandAnswer::kNotSent) {
    // The state kept of the worker may be wrong: polls it before the next
    // start.
    SetPhase(worker, WorkerPhase::kSuspect, now);
    ProbeNow(worker, now);
  }
  if (is_known)
    EndRun(worker, command.run.task, RunEnd::kBroken, now);
}

void LeaseDispatcher::DidStop(const StopCommand& command,
                              CommandAnswer answer,
                              Time now) {
  const auto it = workers_.find(command.target.worker);
  if (it == workers_.end() ||
      command.target.fencing_token != it->second.fencing_token)
    return;
  LeasedWorker& worker = it->second;
  if (answer == CommandAnswer::kFenced) {
    DidFindFenced(worker, now);
    return;
  }
  if (answer == CommandAnswer::kOtherWorker) {
    DidFindReplaced(worker, now);
    return;
  }
  if (answer == CommandAnswer::kRefusedConnection)
    DidFindDown(worker, now);
  const auto unsettled = worker.unsettled_starts.find(command.run.task);
  if (unsettled != worker.unsettled_starts.end() &&
      unsettled->second.id == command.run) {
    unsettled->second.stop_in_flight = false;
    unsettled->second.stop_again = now + timing_.probe_interval;
    if (answer == CommandAnswer::kAccepted)
      unsettled->second.conclusive_renewal = worker.next_renewal_number;
    return;
  }
  const auto run_it = worker.runs.find(command.run.task);
  if (run_it == worker.runs.end() || run_it->second.id != command.run)
    return;
  LeasedRun& run = run_it->second;
  run.stop_in_flight = false;
  if (answer == CommandAnswer::kAccepted) {
    // Lease renewals sent from now on show whether the run has ended.
    run.conclusive_renewal = worker.next_renewal_number;
  } else {
    run.stop_again = now + timing_.probe_interval;
  }
}

void LeaseDispatcher::Tick(Time now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    LeasedWorker& worker = (it++)->second;
    if (worker.phase != WorkerPhase::kHeld && !worker.runs.empty() &&
        now > worker.lapsed_at)
      LapseAllRuns(worker, now);
    SettleStarts(worker, now);
    for (auto& [task, run] : worker.runs) {
      const bool needs_stop =
          run.state == RunState::kUnknown ||
          (run.state == RunState::kStopping && !run.conclusive_renewal);
      if (needs_stop && !run.stop_in_flight && now >= run.stop_again)
        StopRun(worker, run, now);
    }
    if (NeedsRenewal(worker, now))
      SendRenewal(worker, now);
  }
  RecordCrashes(now);
  if (now - speeds_fitted_at_ >= kSpeedsInterval) {
    speeds_fitted_at_ = now;
    speeds_.Fit();
  }
  LogUnconfirmed(now);
  RefuseOverdue(now);
  EndEvacuatedJobs(now);
  // Queued tasks are tried at each tick, since the exclusion of a worker ends
  // without an event.
  schedule_due_ = schedule_due_ || !queue_.empty();
}

std::vector<std::string> LeaseDispatcher::TakeFenced() {
  return std::exchange(fenced_, {});
}

}  // namespace mustardbank
