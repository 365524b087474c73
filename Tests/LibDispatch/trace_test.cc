// Regression tests: scenarios that once violated a guarantee.
#include <CppUTest/TestHarness.h>

#include "dispatch_simulation.h"

namespace mustardbank {

namespace {

void HoldsIn(const Scenario& scenario) {
  const Violations violations =
      DispatchSimulation<StandardSafeguards>(scenario).Run();
  for (const auto& [guarantee, lines] : violations)
    FAIL(lines.front().c_str());
}

}  // namespace

TEST_GROUP(Traces){};

// The key was bound to a job id whose issuer left before the job was submitted
// to it.
TEST(Traces, key_of_a_vm_that_left) {
  HoldsIn({.jobs = {{.run_ms = 5, .by_key = true}},
           .faults = {{.kind = FaultKind::kDrainVm, .for_ms = 20}}});
}

// During a platform outage, a resubmission under a key was refused with "not
// run" although the job had run.
TEST(Traces, key_refused_in_an_outage) {
  HoldsIn(
      {.jobs = {{.run_ms = 5,
                 .by_key = true,
                 .resubmissions = {{.after_ms = 5}}}},
       .faults = {
           {.kind = FaultKind::kPlatformOutage, .at_ms = 3, .for_ms = 20}}});
}

// The record of one VM was taken for that of another VM whose incarnation had
// the same number.
TEST(Traces, incarnations_with_equal_numbers) {
  HoldsIn({.jobs = {{.run_ms = 5}},
           .faults = {{.kind = FaultKind::kKillVm, .at_ms = 1, .for_ms = 20},
                      {.kind = FaultKind::kDrainVm,
                       .target = 1,
                       .at_ms = 20,
                       .for_ms = 20}},
           .seed = 41});
}

// A request to a leaving VM stayed unread while the VM was paused.
TEST(Traces, pause_of_a_leaving_vm) {
  HoldsIn({.jobs = {{.at_ms = 48, .run_ms = 5}},
           .faults = {{.kind = FaultKind::kDrainVm, .target = 1, .for_ms = 20},
                      {.kind = FaultKind::kDrainVm, .at_ms = 1, .for_ms = 20},
                      {.kind = FaultKind::kFreezeVm,
                       .target = 1,
                       .at_ms = 144,
                       .for_ms = 158}},
           .seed = 320});
}

}  // namespace mustardbank
