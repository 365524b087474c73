// A process that starts in the middle of a burst, with and without what earlier
// ones learned about the demand of queues.
#include <CppUTest/TestHarness.h>

#include "lease_fixture.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(QueueSharesRestart) {
  LeaseFixture fixture;

  void Submit(const std::string& id, const std::string& queue,
              std::uint32_t tasks, Duration run_time) {
    JobRequest job =
        MakeJob(id, fixture.now, {.tasks = tasks, .run_time = run_time});
    job.policy.name = queue;
    job.policy.priority = queue == "urgent" ? 0 : 2;
    fixture.Submit(std::move(job));
  }

  // Twelve workers have room for 24 tasks, and the burst asks for 40.
  void CheckBurst() {
    for (int i = 0; i < 12; ++i)
      fixture.OwnVerified(MakeWorker("w" + std::to_string(10 + i)));
    Submit("first", "urgent", 1, milliseconds(60));
    const RunId first = fixture.starts.back().run;
    fixture.AnswerStarts(CommandAnswer::kAccepted);
    fixture.Advance(milliseconds(60));
    fixture.AnswerRenewals({.ended = {{1, first, RunEnd::kDone}}});
    for (int i = 0; i < 10; ++i)
      Submit("long" + std::to_string(i), "long", 4, milliseconds(900));
    fixture.starts.clear();
    Submit("urgent", "urgent", 4, milliseconds(60));
    // Guards against a burst that takes all capacity from the other queue.
    CHECK_EQUAL(4, fixture.starts.size());
    CHECK(fixture.dispatcher.counters().over_share.contains("long"));
  }
};

TEST(QueueSharesRestart, without_learned_demand_capacity_is_divided_equally) {
  CheckBurst();
}

TEST(QueueSharesRestart, corrupt_row_changes_nothing_and_is_logged) {
  fixture.dispatcher.Recall(
      {{"urgent", {.demand = QueueDemand::Unreadable()}},
       {"long", {.demand = {.load = 1e9, .seconds = 1e9}}}},
      fixture.now);
  CHECK(fixture.log.pending().find(
            "event=store_row_unreadable queue=long reason=demand") !=
        std::string_view::npos);
  CheckBurst();
}

}  // namespace mustardbank
