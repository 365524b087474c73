#include "lease_world.h"

#include <algorithm>
#include <utility>

namespace mustardbank {

namespace {

constexpr int kStepMs = 10;
constexpr int kHopMs = 1;
constexpr int kStoreMs = 6;
constexpr int kResendMs = 1300;    // of a caller, after a lost connection
constexpr int kPatienceMs = 2500;  // of a caller
constexpr int kLongestLeaseMs = 1000;
constexpr int kStopMs = 50;
constexpr int kLateMs = 2500;   // a delayed order arrives
constexpr int kDrainMs = 2000;  // from the record to no new starts
constexpr int kLeastRestartMs = 1600;
constexpr int kWorkersIntervalMs = 1000;
constexpr double kSlowClock = 0.98;

int ToMs(Duration duration) {
  return static_cast<int>(ToMilliseconds(duration));
}

}  // namespace

bool LeaseWorld::Is(LeaseFaultKind kind, int target) const {
  return std::any_of(
      active_.begin(), active_.end(), [&](const LeaseFault& fault) {
        const int count = kind == LeaseFaultKind::kLoseAnswers ||
                                  kind == LeaseFaultKind::kDelayOrders
                              ? kWorkers
                              : kVms;
        return fault.kind == kind && fault.target % count == target;
      });
}

void LeaseWorld::OnVm(int vm, int life, std::function<void()> what) {
  Vm& machine = vms_[vm];
  if (!machine.alive || machine.life != life)
    return;
  if (Runs(machine))
    what();
  else
    machine.thawed.push_back(std::move(what));
}

void LeaseWorld::StartVm(int index) {
  Vm& vm = vms_[index];
  ++vm.life;
  vm.alive = true;
  vm.frozen_until = 0;
  vm.thawed.clear();
  vm.read_version = 0;
  vm.workers_at = 0;
  vm.name = "vm" + std::to_string(index);
  vm.log = std::make_unique<EventLog>(
      vm.name, EventLog::Limits{.lines_per_second = 0, .buffer_bytes = 0});
  LeaseTiming timing;
  if (broken_ == LeaseBreak::kFastClockAssumed)
    timing.clock_drift = -1;
  const auto incarnation = static_cast<std::uint64_t>(vm.life);
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

void LeaseWorld::StopVm(int index) {
  Vm& vm = vms_[index];
  if (!vm.alive)
    return;
  vm.alive = false;
  // Connections end: callers and owners see it.
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    Job& job = jobs_[i];
    if (!job.is_open)
      continue;
    if (job.home == index) {
      const int owner = job.owner;
      const int owner_life = owner >= 0 ? vms_[owner].life : 0;
      if (owner >= 0 && owner != index && ReachesPeers(index, owner)) {
        At(now_ + kHopMs, [this, owner, owner_life, id = job.id] {
          OnVm(owner, owner_life, [this, owner, id] {
            vms_[owner].control->dispatcher().Cancel(id, JobCause::kCancelled,
                                                     Now());
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

void LeaseWorld::BeginFault(const LeaseFault& fault) {
  const int vm = fault.target % kVms;
  const int end = now_ + fault.for_ms;
  auto worker = std::next(workers_.begin(), fault.target % kWorkers);
  switch (fault.kind) {
    case LeaseFaultKind::kFreezeVm:
      vms_[vm].frozen_until = std::max(vms_[vm].frozen_until, end);
      return;
    case LeaseFaultKind::kKillVm:
      if (!vms_[vm].alive)
        return;
      StopVm(vm);
      At(end, [this, vm] { StartVm(vm); });
      return;
    case LeaseFaultKind::kLeaveVm: {
      if (!Runs(vms_[vm]))
        return;
      vms_[vm].control->Leave(Now());
      const int life = vms_[vm].life;
      At(now_ + 3000, [this, vm, life] {
        if (vms_[vm].life != life || !vms_[vm].alive)
          return;
        StopVm(vm);
        At(now_ + 300, [this, vm] { StartVm(vm); });
      });
      return;
    }
    case LeaseFaultKind::kCrashWorker: {
      Worker& crashed = worker->second;
      if (!crashed.alive)
        return;
      crashed.alive = false;
      crashed.model = WorkerModel(crashed.options, now_);
      At(std::max(end, now_ + kLeastRestartMs), [this, id = crashed.entry.id] {
        Worker& again = workers_.at(id);
        again.alive = true;
        again.model = WorkerModel(again.options, now_);
        again.waiters.clear();
        again.entry.incarnation = static_cast<std::uint64_t>(now_) + 1;
      });
      return;
    }
    case LeaseFaultKind::kWorkerLeaves:
      worker->second.entry.leaving = true;
      worker->second.left_at = std::min(worker->second.left_at, now_);
      return;
    default:
      active_.push_back(fault);
      At(end, [this, fault] {
        const auto it = std::find_if(
            active_.begin(), active_.end(), [&](const LeaseFault& other) {
              return other.kind == fault.kind && other.target == fault.target &&
                     other.at_ms == fault.at_ms;
            });
        active_.erase(it);
      });
  }
}

void LeaseWorld::ReadStore(Vm& vm) {
  if (Is(LeaseFaultKind::kStoreDown, 0) || Is(LeaseFaultKind::kStoreDown, 1) ||
      Is(LeaseFaultKind::kStoreDown, 2))
    return;
  if (vm.read_version < store_version_) {
    vm.read_version = store_version_;
    vm.control->ownership().SetShardCount("rif", 2);
    for (const auto& [name, member] : member_rows_)
      vm.control->ownership().DidReadMember(member, Now());
    for (const auto& [id, record] : shard_rows_)
      vm.control->ownership().DidReadShard(record, Now());
  }
  if (now_ < vm.workers_at && !vm.control->NeedsFreshWorkerList())
    return;
  vm.workers_at = now_ + kWorkersIntervalMs;
  std::vector<WorkerEntry> entries;
  for (const auto& [id, worker] : workers_) {
    entries.push_back(worker.entry);
    if (broken_ == LeaseBreak::kLeavingIgnored)
      entries.back().leaving = false;
  }
  vm.control->SetWorkers(std::move(entries), Now());
}

void LeaseWorld::SendHeartbeats(int index) {
  Vm& vm = vms_[index];
  if (now_ < vm.heartbeat_at)
    return;
  vm.heartbeat_at = now_ + 150;
  Heartbeat heartbeat = vm.control->ownership().MakeHeartbeat(
      vm.control->dispatcher().Load(Now()), 1, Now());
  if (broken_ == LeaseBreak::kBusyWorkersUnlisted) {
    for (ShardStatus& status : heartbeat.shards)
      status.busy.clear();
  }
  for (int peer = 0; peer < kVms; ++peer) {
    if (peer == index || !ReachesPeers(index, peer))
      continue;
    At(now_ + kHopMs, [this, peer, heartbeat, life = vms_[peer].life] {
      OnVm(peer, life, [this, peer, heartbeat] {
        vms_[peer].control->ownership().DidHear(heartbeat, Now());
        vms_[peer].control->router().DidReport(heartbeat.name);
      });
    });
  }
}

void LeaseWorld::StepVm(int index) {
  Vm& vm = vms_[index];
  if (!Runs(vm))
    return;
  for (const auto& what : std::exchange(vm.thawed, {}))
    what();
  if (!Runs(vm))
    return;
  ReadStore(vm);
  vm.control->Tick(Now());
  SendHeartbeats(index);
}

LeaseControl::Sinks LeaseWorld::SinksOf(int vm) {
  const int life = vms_[vm].life;
  const auto dispatcher = [this, vm]() -> LeaseDispatcher& {
    return vms_[vm].control->dispatcher();
  };
  const auto pump = [this, vm] { vms_[vm].control->Pump(Now()); };
  return {
      .start =
          [=, this](StartOrder&& order) {
            if (broken_ == LeaseBreak::kStartsHaveNoLease)
              order.lease_until_ms = 1'000'000;
            const auto tell = [=, this](OrderAnswer answer,
                                        std::int64_t clock) {
              dispatcher().DidStart(order, answer, clock, Now());
              pump();
            };
            SendOrder(
                vm, order.target, order.timeout,
                [=, this](Worker& worker) {
                  const OrderAnswer answer = Begin(worker, order);
                  const std::int64_t clock = worker.model.ClockAt(now_);
                  Reply(
                      vm, life, order.target.worker, order.timeout,
                      [=] { tell(answer, clock); },
                      [=] { tell(OrderAnswer::kNoAnswer, 0); });
                },
                [=](OrderAnswer answer) { tell(answer, 0); });
          },
      .stop =
          [=, this](StopOrder&& order) {
            const auto tell = [=, this](OrderAnswer answer) {
              dispatcher().DidStop(order, answer, Now());
              pump();
            };
            SendOrder(
                vm, order.target, order.timeout,
                [=, this](Worker& worker) {
                  CheckToken(worker, order.target.fencing_token);
                  const OrderAnswer answer = worker.model.Stop(
                      order.run, order.target.fencing_token, now_);
                  SettleAt(now_ + kStopMs, worker.entry.id);
                  Reply(
                      vm, life, order.target.worker, order.timeout,
                      [=] { tell(answer); },
                      [=] { tell(OrderAnswer::kNoAnswer); });
                },
                tell);
          },
      .renew =
          [=, this](HoldOrder&& order) {
            const auto fail = [=, this](OrderAnswer answer) {
              dispatcher().DidHold(order, answer, {}, Now());
              pump();
            };
            SendOrder(
                vm, order.target, order.timeout,
                [=, this](Worker& worker) {
                  CheckToken(worker, order.target.fencing_token);
                  const OrderAnswer answer = worker.model.Hold(
                      order.target.fencing_token, order.lease_until_ms,
                      order.acknowledged, now_);
                  if (answer != OrderAnswer::kAccepted) {
                    Reply(
                        vm, life, order.target.worker, order.timeout,
                        [=] { fail(answer); },
                        [=] { fail(OrderAnswer::kNoAnswer); });
                    return;
                  }
                  if (is_delivering_late_)
                    return;
                  worker.waiters.push_back(
                      {order, vm, life, now_ + ToMs(order.wait)});
                  const std::string id = worker.entry.id;
                  AnswerWaiters(worker);
                  At(now_ + ToMs(order.wait),
                     [this, id] { AnswerWaiters(workers_.at(id)); });
                },
                fail);
          },
      .finish = [=, this](FinishJob&& finish) { DidFinish(vm, finish); },
      .claim =
          [=, this](ClaimShard&& claim) {
            const bool is_down = Is(LeaseFaultKind::kStoreDown, vm);
            const bool is_lost = Is(LeaseFaultKind::kStoreLosesAnswers, vm);
            const auto tell = [=, this](std::optional<std::uint64_t> version) {
              OnVm(vm, life, [=, this] {
                vms_[vm].control->ownership().DidClaim(claim, version, Now());
                pump();
              });
            };
            // A change whose answer is lost may be made seconds later.
            At(now_ + (is_lost ? kLateMs : kStoreMs), [=, this] {
              auto& row = shard_rows_[claim.shard];
              std::optional<std::uint64_t> version;
              if (!is_down && row.version == claim.expected_version) {
                version = ++store_version_;
                row = {.shard = claim.shard,
                       .owner = vms_[vm].name,
                       .owner_incarnation = static_cast<std::uint64_t>(life),
                       .version = *version};
              }
              if (row.version == 0)
                shard_rows_.erase(claim.shard);
              if (!is_lost)
                tell(version);
            });
            if (is_lost)
              At(now_ + 1000, [=] { tell(std::nullopt); });
          },
      .probe =
          [=, this](ProbeDataCenter&& probe) {
            vms_[vm].control->ownership().DidProbe(probe.data_center, true,
                                                   Now());
          }};
}

void LeaseWorld::SendOrder(int vm,
                           const OrderTarget& target,
                           Duration timeout,
                           const std::function<void(Worker&)>& deliver,
                           const std::function<void(OrderAnswer)>& fail) {
  const int life = vms_[vm].life;
  const auto fail_on_vm = [this, vm, life, fail](OrderAnswer answer) {
    OnVm(vm, life, [fail, answer] { fail(answer); });
  };
  const int index = static_cast<int>(
      std::distance(workers_.begin(), workers_.find(target.worker)));
  const std::int64_t born = workers_.at(target.worker).model.born();
  if (Is(LeaseFaultKind::kDelayOrders, index)) {
    At(now_ + kLateMs, [this, target, born, deliver] {
      Worker& worker = workers_.at(target.worker);
      // What was on its way to an earlier life is gone.
      if (worker.alive && worker.model.born() == born) {
        // The VM has been told that no answer came, and hears no other.
        is_delivering_late_ = true;
        deliver(worker);
        is_delivering_late_ = false;
      }
    });
    At(now_ + ToMs(timeout),
       [fail_on_vm] { fail_on_vm(OrderAnswer::kNoAnswer); });
    return;
  }
  At(now_ + kHopMs, [this, vm, target, timeout, deliver, fail_on_vm] {
    Worker& worker = workers_.at(target.worker);
    if (Is(LeaseFaultKind::kResetWorkers, vm) ||
        (!Is(LeaseFaultKind::kCutWorkers, vm) && !worker.alive)) {
      fail_on_vm(OrderAnswer::kRefusedConnection);
    } else if (Is(LeaseFaultKind::kCutWorkers, vm)) {
      At(now_ + ToMs(timeout),
         [fail_on_vm] { fail_on_vm(OrderAnswer::kNoAnswer); });
    } else {
      deliver(worker);
    }
  });
}

void LeaseWorld::Reply(int vm,
                       int life,
                       const std::string& worker,
                       Duration timeout,
                       std::function<void()> answer,
                       std::function<void()> lose) {
  if (is_delivering_late_)
    return;
  const int index =
      static_cast<int>(std::distance(workers_.begin(), workers_.find(worker)));
  const bool is_lost = Is(LeaseFaultKind::kLoseAnswers, index) ||
                       Is(LeaseFaultKind::kCutWorkers, vm) ||
                       Is(LeaseFaultKind::kResetWorkers, vm);
  At(now_ + (is_lost ? ToMs(timeout) : kHopMs),
     [this, vm, life, what = is_lost ? std::move(lose) : std::move(answer)] {
       OnVm(vm, life, what);
     });
}

void LeaseWorld::CheckToken(const Worker& worker, std::uint64_t token) {
  if (token < worker.model.token() &&
      broken_ == LeaseBreak::kWorkersIgnoreTokens)
    Violate(LeaseGuarantee::kOneOwner,
            worker.entry.id + " obeyed token " + std::to_string(token) +
                " after " + std::to_string(worker.model.token()));
}

OrderAnswer LeaseWorld::Begin(Worker& worker, const StartOrder& order) {
  CheckToken(worker, order.target.fencing_token);
  Job& job = jobs_[std::stoul(order.run.task, nullptr, 16)];
  const auto had = worker.model.runs().find(order.run.task);
  const bool was_there = had != worker.model.runs().end();
  const OrderAnswer answer = worker.model.Start(
      order.run, order.target.fencing_token, order.lease_until_ms,
      {.millicores = job.plan.millicores, .run_ms = job.plan.run_ms}, now_);
  if (answer != OrderAnswer::kAccepted || was_there)
    return answer;
  ++starts_;
  job.has_started = true;
  for (auto& [other_id, other] : workers_) {
    other.model.Settle(now_);
    if (&other != &worker && other.alive &&
        other.model.runs().contains(order.run.task))
      Violate(LeaseGuarantee::kOneRun, order.run.task + " runs on " + other_id +
                                           " and starts on " + worker.entry.id);
  }
  if (worker.model.UsedMillicores() > worker.entry.capacity.millicores)
    Violate(LeaseGuarantee::kRoomKept,
            worker.entry.id + " runs " +
                std::to_string(worker.model.UsedMillicores()));
  if (now_ > worker.left_at + kDrainMs && active_.empty())
    Violate(LeaseGuarantee::kLeavingSpared, worker.entry.id);
  SettleAt(now_ + job.plan.run_ms, worker.entry.id);
  return answer;
}

void LeaseWorld::SettleAt(int when, const std::string& worker) {
  At(when, [this, worker] { AnswerWaiters(workers_.at(worker)); });
}

void LeaseWorld::AnswerWaiters(Worker& worker) {
  worker.model.Settle(now_);
  std::vector<HoldWaiter> waiting;
  for (HoldWaiter& waiter : std::exchange(worker.waiters, {})) {
    const bool has_news = worker.model.HasEndsAfter(waiter.order.acknowledged);
    if (!has_news && now_ < waiter.until) {
      waiting.push_back(std::move(waiter));
      continue;
    }
    const HoldReport report = worker.model.Report(now_);
    const auto tell = [this, waiter](OrderAnswer answer,
                                     const HoldReport& what) {
      LeaseControl& control = *vms_[waiter.vm].control;
      control.dispatcher().DidHold(waiter.order, answer, what, Now());
      control.Pump(Now());
    };
    Reply(
        waiter.vm, waiter.life, worker.entry.id, waiter.order.timeout,
        [tell, report] { tell(OrderAnswer::kAccepted, report); },
        [tell] { tell(OrderAnswer::kNoAnswer, {}); });
  }
  worker.waiters.insert(worker.waiters.end(), waiting.begin(), waiting.end());
}

void LeaseWorld::Submit(std::size_t index) {
  Job& job = jobs_[index];
  if (job.is_done || job.tries >= 4)
    return;
  job.home = (job.plan.vm + job.tries) % kVms;
  ++job.tries;
  job.try_began = now_;
  Vm& home = vms_[job.home];
  if (!Runs(home)) {
    Resend(index, kResendMs);
    return;
  }
  job.home_life = home.life;
  job.is_open = true;
  const std::string owner = home.control->router().Choose(
      home.control->Owners(Now()), job.plan.millicores * job.plan.tasks, {});
  if (owner.empty()) {
    Close(index, JobOutcome::kRefused);
    return;
  }
  job.owner = owner.back() - '0';
  if (job.plan.break_after_ms > 0)
    At(now_ + job.plan.break_after_ms,
       [this, index, attempt = job.tries] { BreakCaller(index, attempt); });
  if (job.owner == job.home) {
    RunAtOwner(index, job.owner);
  } else if (!ReachesPeers(job.home, job.owner)) {
    Close(index, JobOutcome::kRefused);
  } else {
    At(now_ + kHopMs,
       [this, index, owner = job.owner, life = vms_[job.owner].life] {
         if (!vms_[owner].alive)
           Close(index, JobOutcome::kGivenUp);
         OnVm(owner, life, [this, index, owner] { RunAtOwner(index, owner); });
       });
  }
}

void LeaseWorld::RunAtOwner(std::size_t index, int owner) {
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
      .deadline = Now() + std::chrono::milliseconds(kPatienceMs),
      .home = vms_[job.home].name};
  vms_[owner].control->Submit(std::move(request), Now());
  vms_[owner].control->Pump(Now());
}

void LeaseWorld::DidFinish(int vm, const FinishJob& finish) {
  const std::size_t index = std::stoul(finish.job, nullptr, 16);
  Job& job = jobs_[index];
  if (job.owner != vm || vms_[job.home].name != finish.home)
    return;
  const bool is_planned = std::all_of(
      scenario_.faults.begin(), scenario_.faults.end(),
      [](const auto& fault) { return fault.kind == LeaseFaultKind::kLeaveVm; });
  if (is_planned && finish.result.cause == JobCause::kOwnershipLost)
    Violate(LeaseGuarantee::kGracefulLeave, finish.job);
  JobOutcome outcome = finish.result.outcome;
  if (broken_ == LeaseBreak::kRefusalsOfStartedJobs &&
      outcome == JobOutcome::kGivenUp)
    outcome = JobOutcome::kRefused;
  if (vm != job.home && !ReachesPeers(vm, job.home))
    return;
  At(now_ + kHopMs, [this, index, outcome, attempt = job.tries] {
    if (jobs_[index].tries == attempt)
      Close(index, outcome);
  });
}

void LeaseWorld::Close(std::size_t index, JobOutcome outcome) {
  Job& job = jobs_[index];
  if (!job.is_open || !Runs(vms_[job.home]))
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
        Violate(LeaseGuarantee::kTrueRefusal, job.id);
      return;
    case JobOutcome::kGivenUp:
      Resend(index, kResendMs);
  }
}

void LeaseWorld::BreakCaller(std::size_t index, int attempt) {
  Job& job = jobs_[index];
  if (!job.is_open || job.tries != attempt)
    return;
  job.is_open = false;
  const int home = job.home;
  const int owner = job.owner;
  OnVm(home, job.home_life, [this, home, owner, id = job.id] {
    const int hops = home == owner ? 0 : kHopMs;
    if (home != owner && !ReachesPeers(home, owner))
      return;
    At(now_ + hops, [this, owner, id, life = vms_[owner].life] {
      OnVm(owner, life, [this, owner, id] {
        vms_[owner].control->dispatcher().Cancel(id, JobCause::kCancelled,
                                                 Now());
        vms_[owner].control->Pump(Now());
      });
    });
  });
  Resend(index, kResendMs);
}

void LeaseWorld::Resend(std::size_t index, int after) {
  At(now_ + after, [this, index] { Submit(index); });
}

// Homes give up on silent owners, callers on silent homes.
void LeaseWorld::WatchCallers() {
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    Job& job = jobs_[i];
    if (!job.is_open)
      continue;
    if (now_ - job.try_began >= kPatienceMs) {
      BreakCaller(i, job.tries);
      continue;
    }
    const Vm& home = vms_[job.home];
    if (job.owner == job.home || !Runs(home))
      continue;
    const auto& peers = home.control->ownership().peers();
    const auto peer = peers.find(vms_[job.owner].name);
    if (peer == peers.end() ||
        Now() - peer->second.heard >
            home.control->ownership_timing().owner_silence)
      Close(i, JobOutcome::kGivenUp);
  }
}

std::map<LeaseGuarantee, std::vector<std::string>> LeaseWorld::Run() {
  for (int i = 0; i < kWorkers; ++i) {
    const std::string id = "worker" + std::to_string(i);
    Worker& worker = workers_[id];
    worker.entry = {.id = id,
                    .service = "guide",
                    .endpoint = {.ip = 2, .port = 1},
                    .data_center = "rif",
                    .capacity = {.millicores = 64'000, .memory_mb = 1000}};
    worker.options = {
        .clock_rate = i % 2 == 0 ? 1 : kSlowClock,
        .longest_lease_ms = kLongestLeaseMs,
        .stop_ms = kStopMs,
        .ignores_tokens = broken_ == LeaseBreak::kWorkersIgnoreTokens};
    worker.model = WorkerModel(worker.options, 0);
  }
  for (int i = 0; i < kVms; ++i)
    StartVm(i);
  for (std::size_t i = 0; i < scenario_.jobs.size(); ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016zx", i);
    jobs_.push_back({.plan = scenario_.jobs[i], .id = id});
    At(1500 + scenario_.jobs[i].at_ms, [this, i] { Submit(i); });
  }
  for (const LeaseFault& fault : scenario_.faults)
    At(1500 + fault.at_ms, [this, fault] { BeginFault(fault); });
  for (now_ = 0; now_ < kEndMs; ++now_) {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
    if (now_ % kStepMs == 0) {
      for (int vm = 0; vm < kVms; ++vm)
        StepVm(vm);
      WatchCallers();
    }
  }
  return violations_;
}

}  // namespace mustardbank
