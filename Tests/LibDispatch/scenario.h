// Input of one simulation run: jobs, resubmissions and faults.
#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include "LibCore/enum_names.h"

namespace mustardbank {

enum class FaultKind {
  kKillVm,
  kFreezeVm,  // pauses the process
  kCutVm,     // network partition from its peers and from the platform
  kDrainVm,
  kClockJump,
  kPlatformOutage,
  kLoseWriteAnswer,
  kKillWorker,
  kFailingWorker,
  kLeavingWorker,
  kCrossedAnswers,
  kLostAnswers,
  kApply,  // two operators apply a configuration at once
};
inline constexpr EnumNames<FaultKind, 13> kFaultKindNames{
    {"kill_vm", "freeze_vm", "cut_vm", "drain_vm", "clock_jump",
     "platform_outage", "lose_write_answer", "kill_worker", "failing_worker",
     "leaving_worker", "crossed_answers", "lost_answers", "apply"}};

struct Fault {
  FaultKind kind = FaultKind::kKillVm;
  int target = 0;
  int at_ms = 0;
  int for_ms = 0;
};

struct Resubmission {
  int after_ms = 0;
  int vm = 0;
};

struct JobPlan {
  int at_ms = 0;
  int vm = 0;
  int tasks = 1;
  int run_ms = 50;
  bool by_key = false;
  bool retry_service = false;
  bool non_idempotent = false;
  std::vector<Resubmission> resubmissions;
};

struct Scenario {
  std::vector<JobPlan> jobs;
  std::vector<Fault> faults;
  std::uint32_t seed = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << kFaultKindNames[fault.kind] << '(' << fault.target << ") at "
             << fault.at_ms << " for " << fault.for_ms;
}

inline std::ostream& operator<<(std::ostream& out, const JobPlan& job) {
  out << "job at " << job.at_ms << " vm " << job.vm << " tasks " << job.tasks
      << " run " << job.run_ms << (job.by_key ? " key" : "")
      << (job.retry_service ? " retry" : "")
      << (job.non_idempotent ? " non-idempotent" : "");
  for (const Resubmission& again : job.resubmissions)
    out << " again +" << again.after_ms << "@" << again.vm;
  return out;
}

inline std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  out << "seed " << scenario.seed << '\n';
  for (const JobPlan& job : scenario.jobs)
    out << "  " << job << '\n';
  for (const Fault& fault : scenario.faults)
    out << "  " << fault << '\n';
  return out;
}

}  // namespace mustardbank
