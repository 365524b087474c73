#include "lease_simulation.h"

#include <algorithm>
#include <utility>

namespace mustardbank {

namespace {

constexpr int kStepMs = 10;
constexpr int kNetworkDelayMs = 1;
constexpr int kStoreMs = 6;
constexpr int kResendMs = 1300;  // from a lost connection to the next try
constexpr int kCallerTimeoutMs = 2500;
constexpr int kLongestLeaseMs = 1000;
constexpr int kStopMs = 50;
constexpr int kLongDelayMs = 2500;  // of delayed commands and store changes
constexpr int kDrainMs = 2000;  // from a leaving registration to no new starts
constexpr int kEvacuateMs = 1000;  // the project's own target
// A start must respect a smaller capacity this long after the change.
constexpr int kCapacityNoticeMs = 4500;
constexpr int kCapacityMarginMs = 300;
constexpr std::int64_t kFullMillicores = 64'000;
constexpr std::int64_t kShrunkMillicores = 32'000;
constexpr int kMinRestartMs = 1600;
constexpr int kWorkersIntervalMs = 1000;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(150);
constexpr double kSlowClock = 0.98;

int ToMs(Duration duration) {
  return static_cast<int>(ToMilliseconds(duration));
}

}  // namespace

bool LeaseSimulation::IsActive(LeaseFaultKind kind, int target) const {
  return std::any_of(
      active_.begin(), active_.end(), [&](const LeaseFault& fault) {
        const int count = kind == LeaseFaultKind::kLoseAnswers ||
                                  kind == LeaseFaultKind::kDelayOrders
                              ? kWorkers
                              : kVms;
        return fault.kind == kind && fault.target % count == target;
      });
}

void LeaseSimulation::RunOnVm(int vm,
                              int incarnation_id,
                              std::function<void()> action) {
  Vm& machine = vms_[vm];
  if (!machine.alive || machine.incarnation_id != incarnation_id)
    return;
  if (IsRunning(machine))
    action();
  else
    machine.deferred.push_back(std::move(action));
}

void LeaseSimulation::StartVm(int index) {
  Vm& vm = vms_[index];
  ++vm.incarnation_id;
  vm.alive = true;
  vm.paused_until = 0;
  vm.deferred.clear();
  vm.read_version = 0;
  vm.workers_at = 0;
  vm.name =
      "vm" + std::to_string(vm.replacements) + "-" + std::to_string(index);
  vm.log = std::make_unique<EventLog>(
      vm.name, EventLog::Limits{.lines_per_second = 0, .buffer_bytes = 0});
  LeaseTiming timing;
  if (defect_ == LeaseDefect::kFastClockAssumed)
    timing.clock_drift = -1;
  if (defect_ != LeaseDefect::kCapacityNeverOutdated)
    timing.capacity.validity =
        std::chrono::milliseconds(kCapacityNoticeMs - kCapacityMarginMs);
  const auto incarnation = static_cast<std::uint64_t>(vm.incarnation_id);
  vm.control = std::make_unique<LeaseControl>(
      Ownership::Self{
          .name = vm.name, .data_center = "rif", .incarnation = incarnation},
      timing, *vm.log);
  vm.control->SetSinks(SinksOf(index));
  member_rows_[vm.name] = {.name = vm.name,
                           .data_center = "rif",
                           .endpoint = {.ip = 1, .port = 1},
                           .incarnation = incarnation,
                           .power = 1};
  ++store_version_;
}

void LeaseSimulation::StopVm(int index) {
  Vm& vm = vms_[index];
  if (!vm.alive)
    return;
  vm.alive = false;
  // Connections to the VM close, which callers and owners notice.
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    Job& job = jobs_[i];
    if (!job.is_open)
      continue;
    if (job.home == index) {
      const int owner = job.owner;
      const int owner_incarnation_id =
          owner >= 0 ? vms_[owner].incarnation_id : 0;
      if (owner >= 0 && owner != index && ReachesPeers(index, owner)) {
        Schedule(now_ + kNetworkDelayMs,
                 [this, owner, owner_incarnation_id, id = job.id] {
                   RunOnVm(owner, owner_incarnation_id, [this, owner, id] {
                     vms_[owner].control->dispatcher().Cancel(
                         id, JobCause::kCancelled, Now());
                     vms_[owner].control->Pump(Now());
                   });
                 });
      }
      job.is_open = false;
      Resend(i, kResendMs);
    } else if (job.owner == index && ReachesPeers(index, job.home)) {
      Close(i, JobOutcome::kGivenUp);
    }
  }
}

void LeaseSimulation::BeginFault(const LeaseFault& fault) {
  const int vm = fault.target % kVms;
  const int end = now_ + fault.for_ms;
  auto worker = std::next(workers_.begin(), fault.target % kWorkers);
  switch (fault.kind) {
    case LeaseFaultKind::kFreezeVm:
      vms_[vm].paused_until = std::max(vms_[vm].paused_until, end);
      return;
    case LeaseFaultKind::kKillVm:
      if (!vms_[vm].alive)
        return;
      StopVm(vm);
      Schedule(end, [this, vm] { StartVm(vm); });
      return;
    case LeaseFaultKind::kReplaceVm:
      if (!vms_[vm].alive)
        return;
      StopVm(vm);
      member_rows_.erase(vms_[vm].name);
      ++store_version_;
      ++vms_[vm].replacements;
      Schedule(end, [this, vm] { StartVm(vm); });
      return;
    case LeaseFaultKind::kStoreDownForVm:
      active_.push_back(fault);
      Schedule(now_ + 4 * fault.for_ms, [this, fault] { EndFault(fault); });
      return;
    case LeaseFaultKind::kLeaveVm: {
      if (!IsRunning(vms_[vm]))
        return;
      vms_[vm].control->Leave(Now());
      const int incarnation_id = vms_[vm].incarnation_id;
      Schedule(now_ + 3000, [this, vm, incarnation_id] {
        if (vms_[vm].incarnation_id != incarnation_id || !vms_[vm].alive)
          return;
        StopVm(vm);
        Schedule(now_ + 300, [this, vm] { StartVm(vm); });
      });
      return;
    }
    case LeaseFaultKind::kCrashWorker: {
      Worker& crashed = worker->second;
      if (!crashed.alive)
        return;
      crashed.alive = false;
      crashed.model = WorkerModel(crashed.options, now_);
      Schedule(
          std::max(end, now_ + kMinRestartMs), [this, id = crashed.entry.id] {
            Worker& restarted = workers_.at(id);
            restarted.alive = true;
            restarted.model = WorkerModel(restarted.options, now_);
            restarted.waiters.clear();
            restarted.entry.incarnation = static_cast<std::uint64_t>(now_) + 1;
          });
      return;
    }
    case LeaseFaultKind::kWorkerLeaves:
      worker->second.entry.leaving = true;
      worker->second.left_at = std::min(worker->second.left_at, now_);
      return;
    case LeaseFaultKind::kEvacuate:
      if (evacuations_active_++ == 0)
        evacuated_at_ = now_;
      evacuation_rows_["rif"] = {.version = ++store_version_,
                                 .is_requested = true};
      Schedule(now_ + 4 * fault.for_ms, [this] {
        ++store_version_;
        if (--evacuations_active_ == 0)
          evacuation_rows_.clear();
      });
      return;
    case LeaseFaultKind::kLongStoreOutage:
      active_.push_back({.kind = LeaseFaultKind::kStoreDown,
                         .target = fault.target,
                         .at_ms = fault.at_ms});
      Schedule(now_ + 4 * fault.for_ms,
               [this, down = active_.back()] { EndFault(down); });
      return;
    case LeaseFaultKind::kShrinkWorker:
      if (worker->second.shrinks_active++ == 0)
        worker->second.shrunk_at = now_;
      worker->second.entry.capacity.millicores = kShrunkMillicores;
      Schedule(now_ + 4 * fault.for_ms, [this, id = worker->first] {
        Worker& shrunk = workers_.at(id);
        if (--shrunk.shrinks_active == 0)
          shrunk.entry.capacity.millicores = kFullMillicores;
      });
      return;
    default:
      active_.push_back(fault);
      Schedule(end, [this, fault] { EndFault(fault); });
  }
}

void LeaseSimulation::EndFault(const LeaseFault& fault) {
  quiet_since_ = now_;
  const auto it = std::find_if(
      active_.begin(), active_.end(), [&](const LeaseFault& other) {
        return other.kind == fault.kind && other.target == fault.target &&
               other.at_ms == fault.at_ms;
      });
  active_.erase(it);
}

std::int64_t LeaseSimulation::BindingCapacity(const Worker& worker, int now) {
  return worker.shrinks_active > 0 && now > worker.shrunk_at + kCapacityNoticeMs
             ? kShrunkMillicores
             : kFullMillicores;
}

bool LeaseSimulation::IsStoreDown() const {
  return IsActive(LeaseFaultKind::kStoreDown, 0) ||
         IsActive(LeaseFaultKind::kStoreDown, 1) ||
         IsActive(LeaseFaultKind::kStoreDown, 2);
}

void LeaseSimulation::ReadEvacuations(Vm& vm, Time read_began) {
  if (defect_ == LeaseDefect::kEvacuationsUnread &&
      vm.control->evacuations().is_known())
    return;
  vm.control->ReplaceEvacuations(evacuation_rows_, store_version_, "read",
                                 read_began, Now());
}

void LeaseSimulation::ReadStore(Vm& vm) {
  const auto index = static_cast<int>(&vm - vms_.data());
  const bool is_down =
      IsStoreDown() || IsActive(LeaseFaultKind::kStoreDownForVm, index);
  Ownership& ownership = vm.control->ownership();
  if (is_down && ownership.has_store())
    ownership.DidLoseStore();
  else if (!is_down && !ownership.has_store())
    ownership.DidRegainStore(Now());
  if (is_down)
    return;
  if (vm.read_version < store_version_) {
    vm.read_version = store_version_;
    // A read that was answered before a pause.
    ReadEvacuations(vm, Time::min());
    vm.control->ownership().SetShardCount("rif", 2);
    for (const auto& [name, member] : member_rows_)
      vm.control->ownership().DidReadMember(member, Now());
    for (const auto& [id, record] : shard_rows_)
      vm.control->ownership().DidReadShard(record, Now());
    vm.control->ownership().DidReadStoreThrough(store_version_);
  }
  if (now_ < vm.workers_at && !vm.control->NeedsFreshWorkerList())
    return;
  vm.workers_at = now_ + kWorkersIntervalMs;
  std::vector<WorkerEntry> entries;
  for (const auto& [id, worker] : workers_) {
    entries.push_back(worker.entry);
    entries.back().registered.ms = worker.model.ClockAt(now_);
    if (defect_ == LeaseDefect::kLeavingIgnored)
      entries.back().leaving = false;
  }
  vm.control->SetWorkers({.workers = std::move(entries), .read_at = Now()},
                         Now());
}

void LeaseSimulation::SendHeartbeats(int index) {
  Vm& vm = vms_[index];
  if (now_ < vm.heartbeat_at)
    return;
  vm.heartbeat_at = now_ + ToMs(kHeartbeatInterval);
  Ownership& ownership = vm.control->ownership();
  ownership.TakeIntroduced();
  Heartbeat heartbeat = vm.control->MakeHeartbeat(kHeartbeatInterval, Now());
  if (defect_ == LeaseDefect::kBusyWorkersUnlisted) {
    for (ShardStatus& status : heartbeat.shards)
      status.busy.clear();
  }
  for (int peer = 0; peer < kVms; ++peer) {
    const auto known = ownership.peers().find(vms_[peer].name);
    if (peer == index || known == ownership.peers().end() ||
        !ReachesPeers(index, peer))
      continue;
    heartbeat.introduction.reset();
    if (known->second.IsUnheard() && defect_ != LeaseDefect::kNoIntroductions)
      heartbeat.introduction = ownership.MakeIntroduction();
    Schedule(
        now_ + kNetworkDelayMs,
        [this, peer, heartbeat, incarnation_id = vms_[peer].incarnation_id] {
          RunOnVm(peer, incarnation_id, [this, peer, heartbeat] {
            vms_[peer].control->DidReceiveHeartbeat(heartbeat, Now());
          });
        });
  }
}

void LeaseSimulation::StepVm(int index) {
  Vm& vm = vms_[index];
  if (!IsRunning(vm))
    return;
  for (const auto& action : std::exchange(vm.deferred, {}))
    action();
  if (!IsRunning(vm))
    return;
  ReadStore(vm);
  vm.control->Tick(Now());
  SendHeartbeats(index);
}

LeaseControl::Sinks LeaseSimulation::SinksOf(int vm) {
  const int incarnation_id = vms_[vm].incarnation_id;
  const auto dispatcher = [this, vm]() -> LeaseDispatcher& {
    return vms_[vm].control->dispatcher();
  };
  const auto pump = [this, vm] { vms_[vm].control->Pump(Now()); };
  return {
      .start =
          [=, this](StartCommand&& command) {
            if (defect_ == LeaseDefect::kStartsHaveNoLease)
              command.lease_until_ms = 1'000'000;
            const auto complete = [=, this](CommandAnswer answer,
                                            std::int64_t clock) {
              dispatcher().DidStart(command, answer, clock, Now());
              pump();
            };
            SendCommand(
                vm, command.target, command.timeout,
                [=, this](Worker& worker) {
                  const CommandAnswer answer = StartRun(worker, command);
                  const std::int64_t clock = worker.model.ClockAt(now_);
                  Reply(
                      vm, incarnation_id, command.target.worker,
                      command.timeout, [=] { complete(answer, clock); },
                      [=] { complete(CommandAnswer::kNoAnswer, 0); });
                },
                [=](CommandAnswer answer) { complete(answer, 0); });
          },
      .stop =
          [=, this](StopCommand&& command) {
            const auto complete = [=, this](CommandAnswer answer) {
              dispatcher().DidStop(command, answer, Now());
              pump();
            };
            SendCommand(
                vm, command.target, command.timeout,
                [=, this](Worker& worker) {
                  CheckToken(worker, command.target.fencing_token);
                  // The worker then carries out a start that arrives later.
                  const bool is_forgotten =
                      defect_ == LeaseDefect::kStartsHaveNoLease &&
                      !worker.model.runs().contains(command.run.task);
                  const CommandAnswer answer =
                      is_forgotten ? CommandAnswer::kAccepted
                                   : worker.model.Stop(
                                         command.run,
                                         command.target.fencing_token, now_);
                  ScheduleRenewalAnswers(now_ + kStopMs, worker.entry.id);
                  Reply(
                      vm, incarnation_id, command.target.worker,
                      command.timeout, [=] { complete(answer); },
                      [=] { complete(CommandAnswer::kNoAnswer); });
                },
                complete);
          },
      .renew =
          [=, this](RenewCommand&& command) {
            const auto fail = [=, this](CommandAnswer answer) {
              dispatcher().DidRenew(command, answer, {}, Now());
              pump();
            };
            SendCommand(
                vm, command.target, command.timeout,
                [=, this](Worker& worker) {
                  CheckToken(worker, command.target.fencing_token);
                  const CommandAnswer answer = worker.model.Renew(
                      command.target.fencing_token, command.lease_until_ms,
                      command.acknowledged, now_);
                  if (answer != CommandAnswer::kAccepted) {
                    Reply(
                        vm, incarnation_id, command.target.worker,
                        command.timeout, [=] { fail(answer); },
                        [=] { fail(CommandAnswer::kNoAnswer); });
                    return;
                  }
                  if (is_delivering_late_)
                    return;
                  worker.waiters.push_back(
                      {command, vm, incarnation_id, now_ + ToMs(command.wait)});
                  const std::string id = worker.entry.id;
                  AnswerRenewals(worker);
                  Schedule(now_ + ToMs(command.wait),
                           [this, id] { AnswerRenewals(workers_.at(id)); });
                },
                fail);
          },
      .finish = [=, this](FinishJob&& finish) { DidFinish(vm, finish); },
      .claim =
          [=, this](ClaimShard&& claim) {
            const bool is_down = IsActive(LeaseFaultKind::kStoreDown, vm) ||
                                 IsActive(LeaseFaultKind::kStoreDownForVm, vm);
            const bool is_lost =
                IsActive(LeaseFaultKind::kStoreLosesAnswers, vm);
            const auto complete = [=,
                                   this](std::optional<std::uint64_t> version) {
              RunOnVm(vm, incarnation_id, [=, this] {
                vms_[vm].control->ownership().DidClaim(claim, version, Now());
                pump();
              });
            };
            // The store may apply a change seconds after its answer is lost.
            Schedule(now_ + (is_lost ? kLongDelayMs : kStoreMs), [=, this] {
              auto& row = shard_rows_[claim.shard];
              std::optional<std::uint64_t> version;
              if (!is_down && row.version == claim.expected_version) {
                version = ++store_version_;
                CheckClaim(row, vm);
                row = {.shard = claim.shard,
                       .owner = vms_[vm].name,
                       .owner_incarnation =
                           static_cast<std::uint64_t>(incarnation_id),
                       .version = *version};
              }
              if (row.version == 0)
                shard_rows_.erase(claim.shard);
              if (!is_lost)
                complete(version);
            });
            if (is_lost)
              Schedule(now_ + 1000, [=] { complete(std::nullopt); });
          },
      .probe =
          [=, this](ProbeDataCenter&& probe) {
            vms_[vm].control->ownership().DidProbe(probe.data_center, true,
                                                   Now());
          },
      .read_operator_table =
          [=, this] {
            Schedule(now_ + kStoreMs, [=, this, began = Now()] {
              RunOnVm(vm, incarnation_id, [=, this] {
                if (!IsStoreDown())
                  ReadEvacuations(vms_[vm], began);
              });
            });
          }};
}

void LeaseSimulation::SendCommand(
    int vm,
    const CommandTarget& target,
    Duration timeout,
    const std::function<void(Worker&)>& deliver,
    const std::function<void(CommandAnswer)>& fail) {
  const int incarnation_id = vms_[vm].incarnation_id;
  const auto fail_on_vm = [this, vm, incarnation_id,
                           fail](CommandAnswer answer) {
    RunOnVm(vm, incarnation_id, [fail, answer] { fail(answer); });
  };
  const int index = static_cast<int>(
      std::distance(workers_.begin(), workers_.find(target.worker)));
  const std::int64_t started_at = workers_.at(target.worker).model.started_at();
  if (IsActive(LeaseFaultKind::kDelayOrders, index)) {
    Schedule(now_ + kLongDelayMs, [this, target, started_at, deliver] {
      Worker& worker = workers_.at(target.worker);
      // Commands sent to an earlier incarnation of the worker are lost.
      if (worker.alive && worker.model.started_at() == started_at) {
        // The command has already timed out at the VM, so no answer is sent.
        is_delivering_late_ = true;
        deliver(worker);
        is_delivering_late_ = false;
      }
    });
    Schedule(now_ + ToMs(timeout),
             [fail_on_vm] { fail_on_vm(CommandAnswer::kNoAnswer); });
    return;
  }
  Schedule(
      now_ + kNetworkDelayMs, [this, vm, target, timeout, deliver, fail_on_vm] {
        Worker& worker = workers_.at(target.worker);
        if (IsActive(LeaseFaultKind::kResetWorkers, vm) ||
            (!IsActive(LeaseFaultKind::kCutWorkers, vm) && !worker.alive)) {
          fail_on_vm(CommandAnswer::kRefusedConnection);
        } else if (IsActive(LeaseFaultKind::kCutWorkers, vm)) {
          Schedule(now_ + ToMs(timeout),
                   [fail_on_vm] { fail_on_vm(CommandAnswer::kNoAnswer); });
        } else {
          deliver(worker);
        }
      });
}

void LeaseSimulation::Reply(int vm,
                            int incarnation_id,
                            const std::string& worker,
                            Duration timeout,
                            std::function<void()> on_answer,
                            std::function<void()> on_loss) {
  if (is_delivering_late_)
    return;
  const int index =
      static_cast<int>(std::distance(workers_.begin(), workers_.find(worker)));
  const bool is_lost = IsActive(LeaseFaultKind::kLoseAnswers, index) ||
                       IsActive(LeaseFaultKind::kCutWorkers, vm) ||
                       IsActive(LeaseFaultKind::kResetWorkers, vm);
  Schedule(now_ + (is_lost ? ToMs(timeout) : kNetworkDelayMs),
           [this, vm, incarnation_id,
            action = is_lost ? std::move(on_loss) : std::move(on_answer)] {
             RunOnVm(vm, incarnation_id, action);
           });
}

bool LeaseSimulation::IsSound(int vm) const {
  constexpr int kSettledMs = 3000;
  const auto is_recent = [&](const LeaseFault& fault) {
    const int end = 1500 + fault.at_ms + fault.for_ms;
    return fault.target % kVms == vm &&
           (fault.kind == LeaseFaultKind::kCutPeers ||
            fault.kind == LeaseFaultKind::kFreezeVm) &&
           now_ >= 1500 + fault.at_ms && now_ < end + kSettledMs;
  };
  return IsRunning(vms_[vm]) && !IsStoreDown() &&
         std::none_of(scenario_.faults.begin(), scenario_.faults.end(),
                      is_recent);
}

void LeaseSimulation::CheckClaim(const ShardRecord& former, int claimant) {
  for (int i = 0; i < kVms; ++i) {
    const Vm& owner = vms_[i];
    if (i == claimant || !owner.alive || owner.name != former.owner ||
        former.owner_incarnation !=
            static_cast<std::uint64_t>(owner.incarnation_id) ||
        !IsSound(i) || !IsSound(claimant))
      continue;
    const auto heartbeat =
        owner.control->MakeHeartbeat(kHeartbeatInterval, Now());
    const ShardStatus* status = FindStatus(heartbeat, former.shard);
    if (status && status->successor.empty())
      RecordViolation(LeaseGuarantee::kLivingOwnerKept,
                      former.shard.ToString() + " of " + owner.name +
                          " is claimed by " + vms_[claimant].name);
  }
}

void LeaseSimulation::CheckToken(const Worker& worker, std::uint64_t token) {
  if (token < worker.model.token() &&
      defect_ == LeaseDefect::kWorkersIgnoreTokens)
    RecordViolation(LeaseGuarantee::kOneOwner,
                    worker.entry.id + " accepted token " +
                        std::to_string(token) + " after " +
                        std::to_string(worker.model.token()));
}

CommandAnswer LeaseSimulation::StartRun(Worker& worker,
                                        const StartCommand& command) {
  CheckToken(worker, command.target.fencing_token);
  Job& job = jobs_[std::stoul(command.run.task, nullptr, 16)];
  const auto known = worker.model.runs().find(command.run.task);
  const bool is_repeated = known != worker.model.runs().end();
  const CommandAnswer answer = worker.model.Start(
      command.run, command.target.fencing_token, command.lease_until_ms,
      {.millicores = job.plan.millicores, .run_ms = job.plan.run_ms}, now_);
  if (answer != CommandAnswer::kAccepted || is_repeated)
    return answer;
  ++starts_;
  job.has_started = true;
  for (auto& [other_id, other] : workers_) {
    other.model.EndDueRuns(now_);
    if (&other != &worker && other.alive &&
        other.model.runs().contains(command.run.task))
      RecordViolation(LeaseGuarantee::kOneRun,
                      command.run.task + " runs on " + other_id +
                          " and starts on " + worker.entry.id);
  }
  if (worker.model.UsedMillicores() > BindingCapacity(worker, now_))
    RecordViolation(LeaseGuarantee::kRoomKept,
                    worker.entry.id + " runs " +
                        std::to_string(worker.model.UsedMillicores()));
  if (now_ > worker.left_at + kDrainMs && active_.empty())
    RecordViolation(LeaseGuarantee::kLeavingSpared, worker.entry.id);
  if (evacuations_active_ > 0 && active_.empty() &&
      now_ > std::max(evacuated_at_, quiet_since_) + kEvacuateMs)
    RecordViolation(LeaseGuarantee::kEvacuated, worker.entry.id);
  ScheduleRenewalAnswers(now_ + job.plan.run_ms, worker.entry.id);
  return answer;
}

void LeaseSimulation::ScheduleRenewalAnswers(int when,
                                             const std::string& worker) {
  Schedule(when, [this, worker] { AnswerRenewals(workers_.at(worker)); });
}

void LeaseSimulation::AnswerRenewals(Worker& worker) {
  worker.model.EndDueRuns(now_);
  std::vector<RenewWaiter> waiting;
  for (RenewWaiter& waiter : std::exchange(worker.waiters, {})) {
    const bool has_new_ends =
        worker.model.HasEndsAfter(waiter.command.acknowledged);
    if (!has_new_ends && now_ < waiter.until) {
      waiting.push_back(std::move(waiter));
      continue;
    }
    const RenewReport report = worker.model.Report(now_);
    const auto complete = [this, waiter](CommandAnswer answer,
                                         const RenewReport& reported) {
      LeaseControl& control = *vms_[waiter.vm].control;
      control.dispatcher().DidRenew(waiter.command, answer, reported, Now());
      control.Pump(Now());
    };
    Reply(
        waiter.vm, waiter.incarnation_id, worker.entry.id,
        waiter.command.timeout,
        [complete, report] { complete(CommandAnswer::kAccepted, report); },
        [complete] { complete(CommandAnswer::kNoAnswer, {}); });
  }
  worker.waiters.insert(worker.waiters.end(), waiting.begin(), waiting.end());
}

void LeaseSimulation::Submit(std::size_t index) {
  Job& job = jobs_[index];
  if (job.is_done || job.tries >= 4)
    return;
  job.home = (job.plan.vm + job.tries) % kVms;
  ++job.tries;
  job.try_started_at = now_;
  Vm& home = vms_[job.home];
  if (!IsRunning(home)) {
    Resend(index, kResendMs);
    return;
  }
  job.home_incarnation_id = home.incarnation_id;
  job.is_open = true;
  const std::string owner = home.control->router().Choose(
      home.control->Owners(Now()), job.plan.millicores * job.plan.tasks, {});
  if (owner.empty()) {
    Close(index, JobOutcome::kRefused);
    return;
  }
  job.owner = owner.back() - '0';
  if (job.plan.break_after_ms > 0)
    Schedule(now_ + job.plan.break_after_ms,
             [this, index, attempt = job.tries] {
               BreakCallerConnection(index, attempt);
             });
  if (job.owner == job.home) {
    RunAtOwner(index, job.owner);
  } else if (!ReachesPeers(job.home, job.owner)) {
    Close(index, JobOutcome::kRefused);
  } else {
    Schedule(now_ + kNetworkDelayMs,
             [this, index, owner = job.owner,
              incarnation_id = vms_[job.owner].incarnation_id] {
               if (!vms_[owner].alive)
                 Close(index, JobOutcome::kGivenUp);
               RunOnVm(owner, incarnation_id,
                       [this, index, owner] { RunAtOwner(index, owner); });
             });
  }
}

void LeaseSimulation::RunAtOwner(std::size_t index, int owner) {
  const Job& job = jobs_[index];
  if (!job.is_open || job.owner != owner)
    return;
  JobRequest request{
      .id = job.id,
      .groups = {{.count = static_cast<std::uint32_t>(job.plan.tasks),
                  .each = {.millicores = job.plan.millicores, .memory_mb = 1},
                  .declared_run_time =
                      std::chrono::milliseconds(job.plan.run_ms)}},
      .policy = {.name = "queue",
                 .service = "guide",
                 .attempts = 2,
                 .stretch = 1.6,
                 .target_latency = std::chrono::milliseconds(60)},
      .arrived = Now(),
      .deadline = Now() + std::chrono::milliseconds(kCallerTimeoutMs),
      .home = vms_[job.home].name};
  vms_[owner].control->Submit(std::move(request), Now());
  vms_[owner].control->Pump(Now());
}

void LeaseSimulation::DidFinish(int vm, const FinishJob& finish) {
  const std::size_t index = std::stoul(finish.job, nullptr, 16);
  Job& job = jobs_[index];
  if (job.owner != vm || vms_[job.home].name != finish.home)
    return;
  const bool is_planned = std::all_of(
      scenario_.faults.begin(), scenario_.faults.end(),
      [](const auto& fault) { return fault.kind == LeaseFaultKind::kLeaveVm; });
  if (is_planned && finish.result.cause == JobCause::kOwnershipLost)
    RecordViolation(LeaseGuarantee::kGracefulLeave, finish.job);
  JobOutcome outcome = finish.result.outcome;
  if (defect_ == LeaseDefect::kRefusalsOfStartedJobs &&
      outcome == JobOutcome::kGivenUp)
    outcome = JobOutcome::kRefused;
  if (vm != job.home && !ReachesPeers(vm, job.home))
    return;
  Schedule(now_ + kNetworkDelayMs, [this, index, outcome, attempt = job.tries] {
    if (jobs_[index].tries == attempt)
      Close(index, outcome);
  });
}

void LeaseSimulation::Close(std::size_t index, JobOutcome outcome) {
  Job& job = jobs_[index];
  if (!job.is_open || !IsRunning(vms_[job.home]))
    return;
  job.is_open = false;
  switch (outcome) {
    case JobOutcome::kSucceeded:
      ++succeeded_;
      job.is_done = true;
      return;
    case JobOutcome::kFailed:
      job.is_done = true;
      return;
    case JobOutcome::kRefused:
      ++job.refusals;
      job.is_done = true;
      if (job.refusals == job.tries && job.has_started)
        RecordViolation(LeaseGuarantee::kTrueRefusal, job.id);
      return;
    case JobOutcome::kGivenUp:
      Resend(index, kResendMs);
  }
}

void LeaseSimulation::BreakCallerConnection(std::size_t index, int attempt) {
  Job& job = jobs_[index];
  if (!job.is_open || job.tries != attempt)
    return;
  job.is_open = false;
  const int home = job.home;
  const int owner = job.owner;
  RunOnVm(home, job.home_incarnation_id, [this, home, owner, id = job.id] {
    const int delay_ms = home == owner ? 0 : kNetworkDelayMs;
    if (home != owner && !ReachesPeers(home, owner))
      return;
    Schedule(now_ + delay_ms,
             [this, owner, id, incarnation_id = vms_[owner].incarnation_id] {
               RunOnVm(owner, incarnation_id, [this, owner, id] {
                 vms_[owner].control->dispatcher().Cancel(
                     id, JobCause::kCancelled, Now());
                 vms_[owner].control->Pump(Now());
               });
             });
  });
  Resend(index, kResendMs);
}

void LeaseSimulation::Resend(std::size_t index, int after) {
  Schedule(now_ + after, [this, index] { Submit(index); });
}

// Homes give up on owners that became unreachable, and callers on homes that do
// not answer in time.
void LeaseSimulation::CheckCallerTimeouts() {
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    Job& job = jobs_[i];
    if (!job.is_open)
      continue;
    if (now_ - job.try_started_at >= kCallerTimeoutMs) {
      BreakCallerConnection(i, job.tries);
      continue;
    }
    const Vm& home = vms_[job.home];
    if (job.owner == job.home || !IsRunning(home))
      continue;
    const auto& peers = home.control->ownership().peers();
    const auto peer = peers.find(vms_[job.owner].name);
    if (peer == peers.end() ||
        Now() - peer->second.last_heartbeat_at >
            home.control->ownership_timing().owner_timeout)
      Close(i, JobOutcome::kGivenUp);
  }
}

std::map<LeaseGuarantee, std::vector<std::string>> LeaseSimulation::Run() {
  for (int i = 0; i < kWorkers; ++i) {
    const std::string id = "worker" + std::to_string(i);
    Worker& worker = workers_[id];
    worker.entry = {
        .id = id,
        .service = "guide",
        .endpoint = {.ip = 2, .port = 1},
        .data_center = "rif",
        .capacity = {.millicores = kFullMillicores, .memory_mb = 1000},
        .incarnation = 1};
    worker.options = {
        .clock_rate = i % 2 == 0 ? 1 : kSlowClock,
        .longest_lease_ms = kLongestLeaseMs,
        .stop_ms = kStopMs,
        .ignores_tokens = defect_ == LeaseDefect::kWorkersIgnoreTokens};
    worker.model = WorkerModel(worker.options, 0);
  }
  for (int i = 0; i < kVms; ++i)
    StartVm(i);
  for (std::size_t i = 0; i < scenario_.jobs.size(); ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016zx", i);
    jobs_.push_back({.plan = scenario_.jobs[i], .id = id});
    Schedule(1500 + scenario_.jobs[i].at_ms, [this, i] { Submit(i); });
  }
  for (const LeaseFault& fault : scenario_.faults)
    Schedule(1500 + fault.at_ms, [this, fault] { BeginFault(fault); });
  for (now_ = 0; now_ < kEndMs; ++now_) {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    if (now_ % kStepMs == 0) {
      for (int vm = 0; vm < kVms; ++vm)
        StepVm(vm);
      CheckCallerTimeouts();
    }
  }
  return violations_;
}

}  // namespace mustardbank
