// Use of the speed of workers by the dispatcher.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <cmath>
#include <iostream>

#include "load_simulation.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

// A third of the workers is slow, and has the label "old".
LoadWorkers LabelledWorkers() {
  return {.count = 12,
          .factor = [](int i, Duration) { return i < 4 ? 1.85 : 0.8; },
          .label = [](int i) { return i < 4 ? "old" : "new"; },
          .spread_within_job = 0.15};
}

const LoadKind kShortJobs{.name = "queue",
                          .per_second = 40,
                          .run_ms = 100,
                          .tasks = 4,
                          .most_tasks = 8};

}  // namespace

// Workers "a" to "d" are old, "e" to "l" new; each takes one task.
// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(WorkerSpeedsDispatcher) {
  void OwnWorkers() {
    for (char id = 'a'; id <= 'l'; ++id) {
      WorkerEntry entry = MakeWorker(std::string(1, id), 30'000);
      entry.labels = {id < 'e' ? "old" : "new", entry.id};
      fixture.OwnVerified(entry);
    }
  }

  void RecallSlowOldWorkers() {
    fixture.dispatcher.Recall(LearnedClasses{
        {"old", {.mean_log_factor = 0.75, .deviation = 0.05, .workers = 4}},
        {"new", {.mean_log_factor = -0.75, .deviation = 0.05, .workers = 8}}});
    fixture.Advance(milliseconds(100));
    fixture.AnswerRenewals({});
  }

  // Reports the progress of all runs that were started, in order of starts.
  void ReportProgress(const std::vector<int>& percents) {
    const std::vector<StartCommand> starts = fixture.starts;
    fixture.AnswerStarts(CommandAnswer::kAccepted);
    fixture.Advance(milliseconds(100));
    for (const RenewCommand& renewal : std::exchange(fixture.renewals, {})) {
      RenewReport report{.incarnation = 1, .clock_ms = 200'000};
      for (std::size_t i = 0; i < starts.size(); ++i) {
        if (starts[i].target.worker == renewal.target.worker)
          report.running.push_back({starts[i].run, percents.at(i)});
      }
      fixture.dispatcher.DidRenew(renewal, CommandAnswer::kAccepted, report,
                                  fixture.now);
    }
    fixture.Advance(milliseconds(10));
  }

  LeaseFixture fixture;
};

// After a restart, one task of most jobs went to a slow worker until each
// worker was known.
TEST(WorkerSpeedsDispatcher,
     restarted_dispatcher_places_like_one_that_learned) {
  LoadSimulation simulation(11, 0, 0, LabelledWorkers());
  simulation.Run({kShortJobs}, 10);
  const LearnedClasses learned = simulation.dispatcher().LearnedWorkers();
  CHECK(learned.contains("old"));
  OwnWorkers();
  fixture.dispatcher.Recall(learned);
  fixture.Advance(milliseconds(100));
  fixture.AnswerRenewals({});
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 4}));
  CHECK_EQUAL(4, fixture.starts.size());
  for (const StartCommand& start : fixture.starts)
    CHECK(start.target.worker >= "e");
}

// Each run on a slow worker was taken for a straggler.
TEST(WorkerSpeedsDispatcher, run_on_a_slow_worker_is_no_straggler) {
  OwnWorkers();
  RecallSlowOldWorkers();
  JobRequest job = MakeJob("job", fixture.now);
  job.groups[0].required_label = "old";
  fixture.Submit(job);
  ReportProgress({24});  // 417 ms in all, 100 ms on a reference worker
  CHECK_EQUAL(0, fixture.stops.size());
  CHECK_EQUAL(0, fixture.dispatcher.counters().exclusions);
}

// Runs of long jobs were moved, and their workers excluded.
TEST(WorkerSpeedsDispatcher, runs_of_a_long_job_are_no_stragglers) {
  OwnWorkers();
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 4}));
  ReportProgress({14, 15, 13, 14});
  CHECK_EQUAL(0, fixture.stops.size());
  CHECK_EQUAL(0, fixture.dispatcher.counters().exclusions);
}

TEST(WorkerSpeedsDispatcher, run_on_a_faulty_worker_is_moved) {
  OwnWorkers();
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 4}));
  const RunId slow = fixture.starts.at(2).run;
  ReportProgress({90, 95, 10, 99});
  CHECK_EQUAL(1, fixture.stops.size());
  CHECK(fixture.stops[0].run == slow);
  CHECK_EQUAL(1, fixture.dispatcher.counters().exclusions);
}

// A restarted worker may run on another machine.
TEST(WorkerSpeedsDispatcher, new_incarnation_is_unknown) {
  OwnWorkers();
  fixture.dispatcher.Recall(LearnedClasses{
      {"a", {.mean_log_factor = 2.5, .deviation = 0.05, .workers = 3}}});
  RecallSlowOldWorkers();
  const WorkerSpeeds& speeds = fixture.dispatcher.speeds();
  CHECK(speeds.SpeedOf("a").log_factor > speeds.SpeedOf("b").log_factor + 1);
  fixture.Advance(milliseconds(2000));
  for (const RenewCommand& renewal : std::exchange(fixture.renewals, {}))
    fixture.dispatcher.DidRenew(
        renewal, CommandAnswer::kAccepted,
        {.incarnation = renewal.target.worker == "a" ? 2U : 1U}, fixture.now);
  fixture.Advance(milliseconds(200));
  // Its class stays known.
  DOUBLES_EQUAL(speeds.SpeedOf("b").log_factor, speeds.SpeedOf("a").log_factor,
                0.2);
}

// An excluded worker is lost capacity, and is as slow when it returns.
TEST(WorkerSpeedsDispatcher, worker_of_steady_speed_is_never_excluded) {
  rc::detail::TestParams params;
  params.seed = 7;
  params.maxSuccess = 25;
  const auto result = rc::detail::checkTestable(
      [] {
        const auto logs = *rc::gen::container<std::vector<int>>(
            12, rc::gen::inRange(-60, 110));
        const auto seed = *rc::gen::inRange(0U, 10'000U);
        LoadSimulation simulation(
            seed, 0, 0,
            {.factor = [&](int i,
                           Duration) { return std::exp(logs.at(i) / 100.0); },
             .spread_within_job = 0.15,
             .share_of_long_jobs = 0.03});
        simulation.Run({kShortJobs}, 6);
        RC_ASSERT(simulation.dispatcher().counters().exclusions == 0U);
      },
      rc::detail::TestMetadata{}, params);
  if (!result.template is<rc::detail::SuccessResult>()) {
    rc::detail::printResultMessage(result, std::cout);
    FAIL("see above");
  }
}

}  // namespace mustardbank
