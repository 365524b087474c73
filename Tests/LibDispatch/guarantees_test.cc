// Property tests of the guarantees: several entry VMs under random
// interleavings of jobs, resubmissions and faults.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <iostream>
#include <sstream>

#include "Harness/proof.h"
#include "broken_safeguards.h"
#include "dispatch_simulation.h"

namespace mustardbank {

namespace {

constexpr int kBrokenCases = 300;
constexpr std::uint64_t kSeed = 20261203;

rc::Gen<Fault> GenFault(std::vector<FaultKind> kinds) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::elementOf(std::move(kinds))),
      rc::gen::set(&Fault::target, InRange<int>(0, 12)),
      rc::gen::set(&Fault::at_ms, InRange<int>(0, 3000)),
      rc::gen::set(&Fault::for_ms, InRange<int>(20, 2000)));
}

rc::Gen<JobPlan> GenJob() {
  return rc::gen::build<JobPlan>(
      rc::gen::set(&JobPlan::at_ms, InRange<int>(0, 3000)),
      rc::gen::set(&JobPlan::vm, InRange<int>(0, 3)),
      rc::gen::set(&JobPlan::tasks, InRange<int>(1, 6)),
      rc::gen::set(&JobPlan::run_ms, InRange<int>(5, 1200)),
      rc::gen::set(&JobPlan::by_key,
                   rc::gen::weightedElement<bool>({{3, false}, {1, true}})),
      rc::gen::set(&JobPlan::retry_service, rc::gen::arbitrary<bool>()),
      rc::gen::set(&JobPlan::non_idempotent, rc::gen::arbitrary<bool>()),
      rc::gen::set(
          &JobPlan::resubmissions,
          rc::gen::resize(3, rc::gen::container<std::vector<Resubmission>>(
                                 rc::gen::build<Resubmission>(
                                     rc::gen::set(&Resubmission::after_ms,
                                                  InRange<int>(1, 1500)),
                                     rc::gen::set(&Resubmission::vm,
                                                  InRange<int>(0, 3)))))));
}

rc::Gen<Scenario> GenScenario(std::vector<FaultKind> kinds) {
  return rc::gen::build<Scenario>(
      rc::gen::set(
          &Scenario::jobs,
          rc::gen::resize(
              12, rc::gen::nonEmpty(
                      rc::gen::container<std::vector<JobPlan>>(GenJob())))),
      rc::gen::set(&Scenario::faults,
                   rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(
                                          GenFault(std::move(kinds))))),
      rc::gen::set(&Scenario::seed, InRange<std::uint32_t>(0, 1000)));
}

std::vector<FaultKind> AllFaults() {
  std::vector<FaultKind> kinds;
  for (std::size_t i = 0; i < kFaultKindNames.names.size(); ++i)
    kinds.push_back(static_cast<FaultKind>(i));
  return kinds;
}

struct ProofResult {
  int cases = 0;
  std::uint64_t faults = 0;
  std::uint64_t violations = 0;
  std::string trace;
};

template <Safeguards Guards>
ProofResult Prove(Guarantee guarantee, int cases) {
  ProofResult result;
  rc::detail::TestParams params;
  params.seed = kSeed + static_cast<std::uint64_t>(guarantee);
  params.maxSuccess = cases;
  rc::detail::TestMetadata metadata;
  metadata.id = std::string(kGuaranteeNames[guarantee]);
  const auto property = [&] {
    const Scenario scenario = *GenScenario(AllFaults());
    ++result.cases;
    result.faults += scenario.faults.size();
    const Violations violations = DispatchSimulation<Guards>(scenario).Run();
    const auto found = violations.find(guarantee);
    if (found == violations.end())
      return;
    ++result.violations;
    std::ostringstream text;
    text << scenario;
    for (const std::string& line : found->second)
      text << "  violated at " << line << '\n';
    result.trace = text.str();
    RC_FAIL(found->second.front());
  };
  const rc::detail::TestResult outcome =
      rc::detail::checkTestable(property, metadata, params);
  // Cases that were run only to shrink a counterexample are not counted.
  rc::detail::FailureResult failure;
  if (outcome.match(failure)) {
    result.cases = failure.numSuccess + 1;
    result.violations = 1;
  }
  return result;
}

void Holds(Guarantee guarantee) {
  const ProofResult result = Prove<StandardSafeguards>(guarantee, ProofCases());
  RecordProof(kGuaranteeNames[guarantee], result.cases, result.faults,
              result.violations);
  if (result.violations > 0)
    FAIL(("shortest trace found:\n" + result.trace).c_str());
}

// Verifies that the check of a guarantee fails when its safeguard is disabled.
template <Safeguards Guards>
void FailsWithout(Guarantee guarantee) {
  const ProofResult result = Prove<Guards>(guarantee, kBrokenCases);
  RecordProof(kGuaranteeNames[guarantee], result.cases, result.faults,
              result.violations);
  if (ProofFile())
    std::cerr << result.trace;
  CHECK_TRUE(result.violations > 0);
}

}  // namespace

TEST_GROUP(Guarantees){};

TEST(Guarantees, starts_once) {
  Holds(Guarantee::kStartsOnce);
}
TEST(Guarantees, whole_or_failed) {
  Holds(Guarantee::kWholeOrFailed);
}
TEST(Guarantees, right_caller) {
  Holds(Guarantee::kRightCaller);
}
TEST(Guarantees, true_refusals) {
  Holds(Guarantee::kTrueRefusals);
}
TEST(Guarantees, at_most_once) {
  Holds(Guarantee::kAtMostOnce);
}
TEST(Guarantees, leaving_drained) {
  Holds(Guarantee::kLeavingDrained);
}
TEST(Guarantees, graceful_stop) {
  Holds(Guarantee::kGracefulStop);
}
TEST(Guarantees, config_in_force) {
  Holds(Guarantee::kConfigInForce);
}

TEST_GROUP(BrokenGuarantees){};

TEST(BrokenGuarantees, starts_once) {
  FailsWithout<ForgetsSubmissions>(Guarantee::kStartsOnce);
}
TEST(BrokenGuarantees, whole_or_failed) {
  FailsWithout<AnswersEarly>(Guarantee::kWholeOrFailed);
}
TEST(BrokenGuarantees, right_caller) {
  FailsWithout<TakesAnyAnswer>(Guarantee::kRightCaller);
}
TEST(BrokenGuarantees, true_refusals) {
  FailsWithout<AlwaysSaysNotRun>(Guarantee::kTrueRefusals);
}
TEST(BrokenGuarantees, at_most_once) {
  FailsWithout<AlwaysStartsAgain>(Guarantee::kAtMostOnce);
}
TEST(BrokenGuarantees, leaving_drained) {
  FailsWithout<IgnoresLeaving>(Guarantee::kLeavingDrained);
}
TEST(BrokenGuarantees, graceful_stop) {
  FailsWithout<StopsAtOnce>(Guarantee::kGracefulStop);
}
TEST(BrokenGuarantees, config_in_force) {
  FailsWithout<TakesAnyConfiguration>(Guarantee::kConfigInForce);
}

}  // namespace mustardbank
