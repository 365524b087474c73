// Evacuations and cold workers in LeaseDispatcher.
#include <CppUTest/TestHarness.h>

#include "lease_fixture.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

WorkerEntry WorkerIn(const std::string& id, const std::string& data_center) {
  WorkerEntry entry = MakeWorker(id);
  entry.data_center = data_center;
  return entry;
}

WorkerEntry ColdWorker(const std::string& id) {
  WorkerEntry entry = MakeWorker(id);
  entry.cold.remaining = milliseconds(3000);
  return entry;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(LeaseEvacuation) {
  LeaseFixture fixture;

  void Evacuate(Duration last_starts = {}) {
    fixture.dispatcher.SetEvacuated({{"rif", fixture.now + last_starts}},
                                    fixture.now);
    fixture.Pump();
  }

  void Withdraw() {
    fixture.dispatcher.SetEvacuated({}, fixture.now);
    fixture.Pump();
  }

  // Keeps the worker's runs reported as running.
  void AdvanceRunning(Duration duration,
                      const std::vector<StartCommand>& runs) {
    for (Duration passed{}; passed < duration; passed += milliseconds(10)) {
      fixture.Advance(milliseconds(10));
      RenewReport report;
      for (const StartCommand& start : runs)
        report.running.push_back({start.run, 10});
      fixture.AnswerRenewals(report);
    }
  }
};

TEST(LeaseEvacuation, job_for_evacuated_workers_only_is_refused_at_once) {
  fixture.OwnVerified(MakeWorker("a"));
  Evacuate();
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kRefused);
  CHECK(fixture.finished[0].result.cause == JobCause::kEvacuated);
  CHECK(fixture.finished[0].result.retry_after.count() > 0);
  CHECK_EQUAL(0, fixture.dispatcher.Load(fixture.now).capacity_millicores);
}

TEST(LeaseEvacuation, queued_job_is_refused_at_once) {
  fixture.OwnVerified(MakeWorker("a", 30'000));
  fixture.Submit(MakeJob("one", fixture.now));
  fixture.Submit(MakeJob("two", fixture.now, {.target = milliseconds(500)}));
  CHECK_EQUAL(1, fixture.starts.size());
  CHECK_EQUAL(1, fixture.dispatcher.queued_jobs());
  Evacuate(milliseconds(300));
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK_EQUAL("two", fixture.finished[0].job);
  CHECK(fixture.finished[0].result.cause == JobCause::kEvacuated);
}

// An owner may have workers of several data centres.
TEST(LeaseEvacuation, workers_of_other_data_centers_go_on) {
  fixture.OwnVerified(WorkerIn("a", "rif"));
  fixture.OwnVerified(WorkerIn("b", "tanger"));
  Evacuate();
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 2}));
  CHECK_EQUAL(2, fixture.starts.size());
  for (const StartCommand& start : fixture.starts)
    CHECK_EQUAL("b", start.target.worker);
  CHECK_EQUAL(64'000, fixture.dispatcher.Load(fixture.now).capacity_millicores);
}

// A worker that is listed later, or again with another token, is evacuated too.
TEST(LeaseEvacuation, worker_owned_later_gets_no_task) {
  Evacuate();
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
}

TEST(LeaseEvacuation, running_tasks_are_left_alone_and_renewed) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now, {.run_time = milliseconds(2000)}));
  const std::vector<StartCommand> starts = fixture.starts;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  Evacuate();
  // Without progress for longer than the stall time, since a stopped run might
  // not start again.
  AdvanceRunning(milliseconds(1000), starts);
  CHECK_EQUAL(0, fixture.stops.size());
  fixture.Advance(milliseconds(250));
  CHECK(!fixture.renewals.empty());
  CHECK(fixture.renewals.back().lease_until_ms > 0);
  fixture.AnswerRenewals({.ended = {{1, starts[0].run, RunEnd::kDone}}});
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kSucceeded);
}

TEST(LeaseEvacuation, started_job_may_start_its_other_tasks_for_a_short_time) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 4}));
  const std::vector<StartCommand> starts = fixture.starts;
  CHECK_EQUAL(2, starts.size());
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  Evacuate(milliseconds(300));
  AdvanceRunning(milliseconds(100), starts);
  fixture.Advance(milliseconds(10));
  fixture.AnswerRenewals({.running = {{starts[1].run, 50}},
                          .ended = {{1, starts[0].run, RunEnd::kDone}}});
  fixture.Advance(milliseconds(10));
  CHECK_EQUAL(1, fixture.starts.size());
  const StartCommand third = fixture.starts[0];
  CHECK(fixture.dispatcher.MaySend(third, fixture.now));
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  // The fourth finds no capacity in time.
  AdvanceRunning(milliseconds(250), {starts[1], third});
  CHECK_EQUAL(0, fixture.starts.size());
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kGivenUp);
  CHECK(fixture.finished[0].result.cause == JobCause::kEvacuated);
}

// The connection to the worker took longer, or the process was paused.
TEST(LeaseEvacuation, start_issued_before_the_evacuation_is_not_sent) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now));
  const StartCommand start = fixture.starts.at(0);
  CHECK(fixture.dispatcher.MaySend(start, fixture.now));
  CHECK(
      !fixture.dispatcher.MaySend(start, start.send_before + milliseconds(1)));
  Evacuate();
  CHECK(!fixture.dispatcher.MaySend(start, fixture.now));
  fixture.AnswerStarts(CommandAnswer::kNotSent);
  fixture.Advance(milliseconds(10));
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.cause == JobCause::kEvacuated);
}

TEST(LeaseEvacuation, starts_resume_after_the_withdrawal) {
  fixture.OwnVerified(MakeWorker("a"));
  Evacuate();
  Withdraw();
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(1, fixture.starts.size());
}

TEST(LeaseEvacuation, held_starts_are_made_up_for) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.dispatcher.HoldStarts(true);
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  CHECK_EQUAL(0, fixture.dispatcher.Load(fixture.now).capacity_millicores);
  fixture.dispatcher.HoldStarts(false);
  fixture.Pump();
  CHECK_EQUAL(1, fixture.starts.size());
}

TEST(LeaseEvacuation, cold_workers_get_one_task_each_after_warm_ones) {
  fixture.OwnVerified(ColdWorker("a"));
  fixture.OwnVerified(MakeWorker("b"));
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 4}));
  CHECK_EQUAL(3, fixture.starts.size());
  CHECK_EQUAL("b", fixture.starts[0].target.worker);
  CHECK_EQUAL("b", fixture.starts[1].target.worker);
  CHECK_EQUAL("a", fixture.starts[2].target.worker);
}

// The registration is not renewed during an outage of the store.
TEST(LeaseEvacuation, cold_worker_is_warm_after_its_time) {
  fixture.OwnVerified(ColdWorker("a"));
  for (int i = 0; i < 310; ++i) {
    fixture.Advance(milliseconds(10));
    fixture.AnswerRenewals({});
  }
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 2}));
  CHECK_EQUAL(2, fixture.starts.size());
}

// A countdown must not make each read of the list a change.
TEST(LeaseEvacuation, countdown_is_no_change_of_the_registration) {
  WorkerEntry later = ColdWorker("a");
  later.cold.remaining -= milliseconds(1500);
  CHECK(later == ColdWorker("a"));
  CHECK(!(MakeWorker("a") == ColdWorker("a")));
}

}  // namespace mustardbank
