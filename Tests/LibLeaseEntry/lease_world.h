// Several entry VMs with their unchanged control state, workers, a store and
// callers, in simulated time. Workers keep to the lease protocol and do not
// guard their room; what they are told to do wrongly is recorded.
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

// What is taken out of the world or the core, to show that the checks see it.
enum class LeaseBreak {
  kNone,
  kWorkersIgnoreTokens,
  kStartsHaveNoLease,  // late orders are carried out
  kFastClockAssumed,   // leases are taken to lapse too early
  kRefusalsOfStartedJobs,
  kLeavingIgnored,
  kBusyWorkersUnlisted,  // in the heartbeats of VMs that leave
};

enum class LeaseGuarantee {
  kRoomKept,       // no start brings a worker over its room
  kOneRun,         // no task runs twice at the same time
  kTrueRefusal,    // a job that was refused has never started
  kLeavingSpared,  // a worker that leaves gets nothing new
  kOneOwner,       // no order of a former owner has an effect
  kGracefulLeave,  // a planned stop ends no task; with such stops alone
};

inline constexpr EnumNames<LeaseGuarantee, 6> kLeaseGuaranteeNames{
    {"room_kept", "one_run", "true_refusal", "leaving_spared", "one_owner",
     "graceful_leave"}};

class LeaseWorld {
 public:
  static constexpr int kVms = 3;
  static constexpr int kWorkers = 4;
  static constexpr int kEndMs = 12'000;

  LeaseWorld(LeaseScenario scenario, LeaseBreak broken = LeaseBreak::kNone)
      : scenario_(std::move(scenario)), broken_(broken) {}

  std::map<LeaseGuarantee, std::vector<std::string>> Run();

  std::size_t starts() const { return starts_; }
  std::size_t succeeded() const { return succeeded_; }

 private:
  struct Vm {
    std::string name;
    std::unique_ptr<EventLog> log;
    std::unique_ptr<LeaseControl> control;
    int life = 0;
    bool alive = false;
    int frozen_until = 0;
    std::vector<std::function<void()>> thawed;  // answers of a frozen VM
    std::uint64_t read_version = 0;
    int heartbeat_at = 0;
    int workers_at = 0;
  };
  struct RenewWaiter {
    RenewCommand order;
    int vm = 0;
    int life = 0;
    int until = 0;
  };
  struct Worker {
    WorkerEntry entry;
    WorkerModel::Options options;
    WorkerModel model{{}, 0};
    bool alive = true;
    std::vector<RenewWaiter> waiters;
    int left_at = kEndMs * 2;  // when the store was told that it leaves
  };
  struct Job {
    LeaseJobPlan plan;
    std::string id;
    int tries = 0;
    int refusals = 0;
    int home = 0;
    int home_life = 0;
    int owner = -1;
    int try_began = 0;
    bool is_open = false;
    bool has_started = false;
    bool is_done = false;
  };

  Time Now() const {
    return Time{} + std::chrono::milliseconds(100'000 + now_);
  }
  void At(int when, std::function<void()> what) {
    events_.emplace(std::max(when, now_), std::move(what));
  }
  bool Is(LeaseFaultKind kind, int target) const;
  bool Runs(const Vm& vm) const { return vm.alive && now_ >= vm.frozen_until; }
  bool ReachesPeers(int a, int b) const {
    return !Is(LeaseFaultKind::kCutPeers, a) &&
           !Is(LeaseFaultKind::kCutPeers, b);
  }
  void Violate(LeaseGuarantee guarantee, std::string what) {
    violations_[guarantee].push_back(std::to_string(now_) +
                                     " ms: " + std::move(what));
  }
  // Runs `what` on the VM's thread: later if it is frozen, never if its life
  // is over.
  void OnVm(int vm, int life, std::function<void()> what);

  void StartVm(int vm);
  void StopVm(int vm);
  void StepVm(int vm);
  void BeginFault(const LeaseFault& fault);
  void ReadStore(Vm& vm);
  void SendHeartbeats(int vm);
  LeaseControl::Sinks SinksOf(int vm);

  void AnswerWaiters(Worker& worker);
  // Calls `deliver` on the worker when the order arrives, and tells the VM.
  void SendCommand(int vm,
                   const CommandTarget& target,
                   Duration timeout,
                   const std::function<void(Worker&)>& deliver,
                   const std::function<void(CommandAnswer)>& fail);
  void Reply(int vm,
             int life,
             const std::string& worker,
             Duration timeout,
             std::function<void()> answer,
             std::function<void()> lose);
  CommandAnswer Begin(Worker& worker, const StartCommand& order);
  // Settles the worker at a later time, and answers holds that wait.
  void SettleAt(int when, const std::string& worker);
  void CheckToken(const Worker& worker, std::uint64_t token);

  void Submit(std::size_t index);
  void RunAtOwner(std::size_t index, int owner);
  void DidFinish(int vm, const FinishJob& finish);
  void Close(std::size_t index, JobOutcome outcome);
  void BreakCaller(std::size_t index, int attempt);
  void Resend(std::size_t index, int after);
  void WatchCallers();

  const LeaseScenario scenario_;
  const LeaseBreak broken_;
  int now_ = 0;
  std::multimap<int, std::function<void()>> events_;
  std::vector<LeaseFault> active_;
  std::vector<Vm> vms_ = std::vector<Vm>(kVms);
  std::map<std::string, Worker> workers_;
  std::vector<Job> jobs_;
  std::map<ShardId, ShardRecord> shard_rows_;
  std::map<std::string, MemberRecord> member_rows_;
  std::uint64_t store_version_ = 10;
  std::map<LeaseGuarantee, std::vector<std::string>> violations_;
  bool is_delivering_late_ = false;
  std::size_t starts_ = 0;
  std::size_t succeeded_ = 0;
};

}  // namespace mustardbank
