// Simulates several entry VMs with their production control state, workers, a
// store and callers, in simulated time. Workers follow the lease protocol but
// accept tasks beyond their capacity; violations of guarantees are recorded.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Harness/worker_model.h"
#include "LibLeaseEntry/lease_control.h"
#include "lease_scenario.h"

namespace mustardbank {

// Defects that a test can inject into the simulation or the production code, to
// show that the checks detect the resulting violations.
enum class LeaseDefect {
  kNone,
  kWorkersIgnoreTokens,
  // Late start commands are carried out, even those of stopped runs.
  kStartsHaveNoLease,
  kFastClockAssumed,       // owners assume too early that leases have expired
  kRefusalsOfStartedJobs,  // jobs that are given up are reported as refused
  kLeavingIgnored,
  kBusyWorkersUnlisted,  // heartbeats of leaving VMs list no busy workers
  // Processes that have read the operator's table are not told of changes.
  kEvacuationsUnread,
  // Owners count on the last capacity that they read, however old.
  kCapacityNeverOutdated,
  kNoIntroductions,  // VMs that start are unknown to those without the store
};

enum class LeaseGuarantee {
  kRoomKept,       // no start exceeds the capacity of its worker
  kOneRun,         // no task runs twice at the same time
  kTrueRefusal,    // no task of a refused job has been started
  kLeavingSpared,  // a worker that leaves gets no new tasks
  kOneOwner,       // no command of a former owner has an effect
  kGracefulLeave,  // planned stops end no task; checked without other faults
  // No task starts a second after its evacuation was requested, or after the
  // last cut or outage since.
  kEvacuated,
  // An owner that runs, hears its peers and reaches the store loses no shard
  // but to a VM that it was offered to.
  kLivingOwnerKept,
};

inline constexpr EnumNames<LeaseGuarantee, 8> kLeaseGuaranteeNames{
    {"room_kept", "one_run", "true_refusal", "leaving_spared", "one_owner",
     "graceful_leave", "evacuated", "living_owner_kept"}};

class LeaseSimulation {
 public:
  static constexpr int kVms = 3;
  static constexpr int kWorkers = 4;
  static constexpr int kEndMs = 12'000;

  LeaseSimulation(LeaseScenario scenario,
                  LeaseDefect defect = LeaseDefect::kNone)
      : scenario_(std::move(scenario)), defect_(defect) {}

  std::map<LeaseGuarantee, std::vector<std::string>> Run();

  std::size_t starts() const { return starts_; }
  std::size_t succeeded() const { return succeeded_; }

 private:
  struct Vm {
    std::string name;
    std::unique_ptr<EventLog> log;
    std::unique_ptr<LeaseControl> control;
    int incarnation_id = 0;
    bool alive = false;
    int paused_until = 0;
    int replacements = 0;  // VMs that had its place before
    // Callbacks that run when the paused VM resumes.
    std::vector<std::function<void()>> deferred;
    std::uint64_t read_version = 0;
    int heartbeat_at = 0;
    int workers_at = 0;
  };
  struct RenewWaiter {
    RenewCommand command;
    int vm = 0;
    int incarnation_id = 0;
    int until = 0;
  };
  struct Worker {
    WorkerEntry entry;
    WorkerModel::Options options;
    WorkerModel model{{}, 0};
    bool alive = true;
    std::vector<RenewWaiter> waiters;
    int left_at = kEndMs * 2;  // when its registration was marked as leaving
    int shrinks_active = 0;
    int shrunk_at = 0;
  };
  struct Job {
    LeaseJobPlan plan;
    std::string id;
    int tries = 0;
    int refusals = 0;
    int home = 0;
    int home_incarnation_id = 0;
    int owner = -1;
    int try_started_at = 0;
    bool is_open = false;
    bool has_started = false;
    bool is_done = false;
  };

  Time Now() const {
    return Time{} + std::chrono::milliseconds(100'000 + now_);
  }
  void Schedule(int when, std::function<void()> action) {
    events_.emplace(std::max(when, now_), std::move(action));
  }
  bool IsActive(LeaseFaultKind kind, int target) const;
  bool IsRunning(const Vm& vm) const {
    return vm.alive && now_ >= vm.paused_until;
  }
  bool ReachesPeers(int a, int b) const {
    return !IsActive(LeaseFaultKind::kCutPeers, a) &&
           !IsActive(LeaseFaultKind::kCutPeers, b);
  }
  void RecordViolation(LeaseGuarantee guarantee, std::string what) {
    violations_[guarantee].push_back(std::to_string(now_) +
                                     " ms: " + std::move(what));
  }
  // Runs `action` on the VM's thread: once it resumes if it is paused, never if
  // that incarnation has ended.
  void RunOnVm(int vm, int incarnation_id, std::function<void()> action);

  void StartVm(int vm);
  void StopVm(int vm);
  void StepVm(int vm);
  void BeginFault(const LeaseFault& fault);
  void EndFault(const LeaseFault& fault);
  void ReadStore(Vm& vm);
  bool IsStoreDown() const;
  // Whether the VM has run for a while with its links to peers and the store.
  bool IsSound(int vm) const;
  void CheckClaim(const ShardRecord& former, int claimant);
  // The capacity that starts must respect by now.
  static std::int64_t BindingCapacity(const Worker& worker, int now);
  void ReadEvacuations(Vm& vm, Time read_began);
  void SendHeartbeats(int vm);
  LeaseControl::Sinks SinksOf(int vm);

  void AnswerRenewals(Worker& worker);
  // Calls `deliver` with the worker when the command arrives, or `fail` on the
  // VM if it does not.
  void SendCommand(int vm,
                   const CommandTarget& target,
                   Duration timeout,
                   const std::function<void(Worker&)>& deliver,
                   const std::function<void(CommandAnswer)>& fail);
  void Reply(int vm,
             int incarnation_id,
             const std::string& worker,
             Duration timeout,
             std::function<void()> on_answer,
             std::function<void()> on_loss);
  CommandAnswer StartRun(Worker& worker, const StartCommand& command);
  // At the time `when`, ends the worker's runs that are due, and answers the
  // renewals that wait for an end.
  void ScheduleRenewalAnswers(int when, const std::string& worker);
  void CheckToken(const Worker& worker, std::uint64_t token);

  void Submit(std::size_t index);
  void RunAtOwner(std::size_t index, int owner);
  void DidFinish(int vm, const FinishJob& finish);
  void Close(std::size_t index, JobOutcome outcome);
  void BreakCallerConnection(std::size_t index, int attempt);
  void Resend(std::size_t index, int after);
  void CheckCallerTimeouts();

  const LeaseScenario scenario_;
  const LeaseDefect defect_;
  int now_ = 0;
  std::multimap<int, std::function<void()>> events_;
  std::vector<LeaseFault> active_;
  std::vector<Vm> vms_ = std::vector<Vm>(kVms);
  std::map<std::string, Worker> workers_;
  std::vector<Job> jobs_;
  std::map<ShardId, ShardRecord> shard_rows_;
  std::map<std::string, MemberRecord> member_rows_;
  std::uint64_t store_version_ = 10;
  EvacuationTable evacuation_rows_;
  int evacuations_active_ = 0;
  int evacuated_at_ = 0;
  int quiet_since_ = 0;  // no cut or outage
  std::map<LeaseGuarantee, std::vector<std::string>> violations_;
  bool is_delivering_late_ = false;
  std::size_t starts_ = 0;
  std::size_t succeeded_ = 0;
};

}  // namespace mustardbank
