// The jobs and faults of one run of LeaseSimulation.
#pragma once

#include <ostream>
#include <vector>

#include "LibCore/enum_names.h"

namespace mustardbank {

enum class LeaseFaultKind {
  kCutWorkers,    // a VM can't reach the workers; its requests time out
  kResetWorkers,  // a VM can't reach the workers; connections are refused
  kFreezeVm,      // the VM's process is paused
  kKillVm,        // the VM restarts afterwards
  kLeaveVm,       // graceful stop; the VM restarts afterwards
  kCutPeers,      // a VM can't reach the other VMs
  // The worker restarts afterwards under the same id, but not before its owner
  // has noticed the crash (LeaseTiming::max_answer_age).
  kCrashWorker,
  kWorkerLeaves,
  kLoseAnswers,  // answers of a worker are lost
  kDelayOrders,  // commands to a worker are carried out seconds later
  kStoreDown,
  kStoreLosesAnswers,
  // The operator evacuates the data centre, for four times as long.
  kEvacuate,
  // The store is unavailable for four times as long.
  kLongStoreOutage,
  // The worker's capacity shrinks to half, for four times as long.
  kShrinkWorker,
  // The VM is gone for good; one with another name takes its place afterwards.
  kReplaceVm,
  // The VM can't read the store, for four times as long.
  kStoreDownForVm,
};

inline constexpr EnumNames<LeaseFaultKind, 17> kLeaseFaultNames{
    {"cut_workers", "reset_workers", "freeze_vm", "kill_vm", "leave_vm",
     "cut_peers", "crash_worker", "worker_leaves", "lose_answers",
     "delay_orders", "store_down", "store_loses_answers", "evacuate",
     "long_store_outage", "shrink_worker", "replace_vm", "store_down_for_vm"}};

struct LeaseFault {
  LeaseFaultKind kind = LeaseFaultKind::kCutWorkers;
  int target = 0;
  int at_ms = 0;
  int for_ms = 500;
};

struct LeaseJobPlan {
  int at_ms = 0;
  int vm = 0;
  int tasks = 1;
  int run_ms = 100;
  int millicores = 27'000;
  // Time from each try until the caller's connection breaks; 0: never.
  int break_after_ms = 0;
};

struct LeaseScenario {
  std::vector<LeaseJobPlan> jobs;
  std::vector<LeaseFault> faults;
};

inline std::ostream& operator<<(std::ostream& out, const LeaseScenario& s) {
  for (const LeaseJobPlan& job : s.jobs)
    out << "job at " << job.at_ms << " vm " << job.vm << " tasks " << job.tasks
        << " run_ms " << job.run_ms << " millicores " << job.millicores
        << " break " << job.break_after_ms << '\n';
  for (const LeaseFault& fault : s.faults)
    out << kLeaseFaultNames[fault.kind] << " target " << fault.target << " at "
        << fault.at_ms << " for " << fault.for_ms << '\n';
  return out;
}

}  // namespace mustardbank
