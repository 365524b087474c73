// Property tests: the production control state of several entry VMs keeps its
// guarantees under random jobs and faults.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <iostream>
#include <sstream>

#include "Harness/proof.h"
#include "lease_simulation.h"

namespace mustardbank {

namespace {

constexpr int kDefectCases = 400;
constexpr std::uint64_t kSeed = 20261204;

rc::Gen<LeaseFault> GenFault(const std::vector<LeaseFaultKind>& kinds) {
  return rc::gen::build<LeaseFault>(
      rc::gen::set(&LeaseFault::kind, rc::gen::elementOf(kinds)),
      rc::gen::set(&LeaseFault::target, InRange<int>(0, 12)),
      rc::gen::set(&LeaseFault::at_ms, InRange<int>(0, 4000)),
      rc::gen::set(&LeaseFault::for_ms, InRange<int>(20, 2500)));
}

rc::Gen<LeaseJobPlan> GenJob() {
  return rc::gen::build<LeaseJobPlan>(
      rc::gen::set(&LeaseJobPlan::at_ms, InRange<int>(0, 5000)),
      rc::gen::set(&LeaseJobPlan::vm, InRange<int>(0, LeaseSimulation::kVms)),
      rc::gen::set(&LeaseJobPlan::tasks, InRange<int>(1, 6)),
      rc::gen::set(&LeaseJobPlan::run_ms, InRange<int>(20, 1500)),
      rc::gen::set(&LeaseJobPlan::millicores, InRange<int>(15'000, 41'000)),
      rc::gen::set(&LeaseJobPlan::break_after_ms,
                   rc::gen::weightedOneOf<int>(
                       {{3, rc::gen::just(0)}, {1, InRange<int>(5, 900)}})));
}

const std::vector<LeaseFaultKind> kAllFaults{
    LeaseFaultKind::kCutWorkers,  LeaseFaultKind::kResetWorkers,
    LeaseFaultKind::kFreezeVm,    LeaseFaultKind::kKillVm,
    LeaseFaultKind::kLeaveVm,     LeaseFaultKind::kCutPeers,
    LeaseFaultKind::kCrashWorker, LeaseFaultKind::kWorkerLeaves,
    LeaseFaultKind::kLoseAnswers, LeaseFaultKind::kDelayOrders,
    LeaseFaultKind::kStoreDown,   LeaseFaultKind::kStoreLosesAnswers};

const std::vector<LeaseFaultKind> kPlannedFaults{LeaseFaultKind::kLeaveVm};

// Without lost answers: a claim whose answer was lost may take effect later.
const std::vector<LeaseFaultKind> kMembershipFaults{
    LeaseFaultKind::kFreezeVm,        LeaseFaultKind::kKillVm,
    LeaseFaultKind::kLeaveVm,         LeaseFaultKind::kCutPeers,
    LeaseFaultKind::kLongStoreOutage, LeaseFaultKind::kReplaceVm,
    LeaseFaultKind::kStoreDownForVm,  LeaseFaultKind::kStoreDownForVm};

std::vector<LeaseFaultKind> FaultsFor(LeaseGuarantee guarantee) {
  if (guarantee == LeaseGuarantee::kGracefulLeave)
    return kPlannedFaults;
  if (guarantee == LeaseGuarantee::kLivingOwnerKept)
    return kMembershipFaults;
  std::vector<LeaseFaultKind> kinds = kAllFaults;
  if (guarantee == LeaseGuarantee::kRoomKept)
    kinds.insert(
        kinds.end(),
        {LeaseFaultKind::kLongStoreOutage, LeaseFaultKind::kShrinkWorker,
         LeaseFaultKind::kLongStoreOutage, LeaseFaultKind::kShrinkWorker});
  if (guarantee == LeaseGuarantee::kEvacuated)
    kinds.insert(kinds.end(), 4, LeaseFaultKind::kEvacuate);
  return kinds;
}

rc::Gen<LeaseScenario> GenScenario(const std::vector<LeaseFaultKind>& kinds) {
  return rc::gen::build<LeaseScenario>(
      rc::gen::set(
          &LeaseScenario::jobs,
          rc::gen::resize(40, rc::gen::nonEmpty(
                                  rc::gen::container<std::vector<LeaseJobPlan>>(
                                      GenJob())))),
      rc::gen::set(
          &LeaseScenario::faults,
          rc::gen::resize(8, rc::gen::container<std::vector<LeaseFault>>(
                                 GenFault(kinds)))));
}

rc::detail::TestParams Params(int cases, LeaseDefect defect) {
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = cases;
  // If a safeguard is disabled on purpose, a minimal example of the violation
  // is not needed.
  params.disableShrinking = defect != LeaseDefect::kNone;
  return params;
}

struct Tally {
  int cases = 0;
  std::size_t faults = 0;
  std::size_t starts = 0;
  std::size_t succeeded = 0;
};

// Returns 1 if a case violates the guarantee, and describes it in `first`;
// otherwise 0. Stops at the first violation.
int CountViolations(LeaseGuarantee guarantee,
                    LeaseDefect defect,
                    int cases,
                    Tally& tally,
                    std::string& first) {
  const auto result = rc::detail::checkTestable(
      [&] {
        const LeaseScenario scenario = *GenScenario(FaultsFor(guarantee));
        LeaseSimulation simulation(scenario, defect);
        const auto violations = simulation.Run();
        ++tally.cases;
        tally.faults += scenario.faults.size();
        tally.starts += simulation.starts();
        tally.succeeded += simulation.succeeded();
        if (const auto it = violations.find(guarantee);
            it != violations.end()) {
          std::ostringstream text;
          text << it->second.front() << '\n' << scenario;
          first = text.str();
          RC_FAIL(first);
        }
      },
      rc::detail::TestMetadata{}, Params(cases, defect));
  return result.template is<rc::detail::SuccessResult>() ? 0 : 1;
}

void CheckHolds(LeaseGuarantee guarantee) {
  Tally tally;
  std::string first;
  const int violations = CountViolations(guarantee, LeaseDefect::kNone,
                                         ProofCases(), tally, first);
  RecordProof(kLeaseGuaranteeNames[guarantee], tally.cases, tally.faults,
              violations);
  std::cout << kLeaseGuaranteeNames[guarantee] << ": " << tally.cases
            << " cases, " << tally.faults << " faults, " << tally.starts
            << " starts, " << tally.succeeded << " jobs\n";
  CHECK_EQUAL_TEXT(0, violations, first.c_str());
  CHECK(tally.succeeded > 0);
}

// Checks that a violation is detected when the safeguard is disabled.
void CheckDetected(LeaseGuarantee guarantee, LeaseDefect defect) {
  Tally tally;
  std::string first;
  const int violations =
      CountViolations(guarantee, defect, kDefectCases, tally, first);
  RecordProof(kLeaseGuaranteeNames[guarantee], tally.cases, tally.faults,
              violations);
  CHECK_EQUAL(1, violations);
}

}  // namespace

// NOLINTBEGIN(readability-identifier-naming)
TEST_GROUP(LeaseGuarantees){};
TEST_GROUP(BrokenLeaseGuarantees){};
// NOLINTEND(readability-identifier-naming)

TEST(LeaseGuarantees, room_kept) {
  CheckHolds(LeaseGuarantee::kRoomKept);
}
TEST(LeaseGuarantees, one_run) {
  CheckHolds(LeaseGuarantee::kOneRun);
}
TEST(LeaseGuarantees, true_refusal) {
  CheckHolds(LeaseGuarantee::kTrueRefusal);
}
TEST(LeaseGuarantees, leaving_spared) {
  CheckHolds(LeaseGuarantee::kLeavingSpared);
}
TEST(LeaseGuarantees, one_owner) {
  CheckHolds(LeaseGuarantee::kOneOwner);
}
TEST(LeaseGuarantees, graceful_leave) {
  CheckHolds(LeaseGuarantee::kGracefulLeave);
}
TEST(LeaseGuarantees, evacuated) {
  CheckHolds(LeaseGuarantee::kEvacuated);
}

TEST(LeaseGuarantees, living_owner_kept) {
  CheckHolds(LeaseGuarantee::kLivingOwnerKept);
}

TEST(BrokenLeaseGuarantees, room_kept) {
  CheckDetected(LeaseGuarantee::kRoomKept, LeaseDefect::kStartsHaveNoLease);
}
TEST(BrokenLeaseGuarantees, room_kept_without_the_store) {
  CheckDetected(LeaseGuarantee::kRoomKept, LeaseDefect::kCapacityNeverOutdated);
}
TEST(BrokenLeaseGuarantees, one_run) {
  CheckDetected(LeaseGuarantee::kOneRun, LeaseDefect::kFastClockAssumed);
}
TEST(BrokenLeaseGuarantees, true_refusal) {
  CheckDetected(LeaseGuarantee::kTrueRefusal,
                LeaseDefect::kRefusalsOfStartedJobs);
}
TEST(BrokenLeaseGuarantees, leaving_spared) {
  CheckDetected(LeaseGuarantee::kLeavingSpared, LeaseDefect::kLeavingIgnored);
}
TEST(BrokenLeaseGuarantees, graceful_leave) {
  CheckDetected(LeaseGuarantee::kGracefulLeave,
                LeaseDefect::kBusyWorkersUnlisted);
}
TEST(BrokenLeaseGuarantees, evacuated) {
  CheckDetected(LeaseGuarantee::kEvacuated, LeaseDefect::kEvacuationsUnread);
}
TEST(BrokenLeaseGuarantees, living_owner_kept) {
  CheckDetected(LeaseGuarantee::kLivingOwnerKept,
                LeaseDefect::kNoIntroductions);
}
TEST(BrokenLeaseGuarantees, one_owner) {
  CheckDetected(LeaseGuarantee::kOneOwner, LeaseDefect::kWorkersIgnoreTokens);
}

}  // namespace mustardbank
