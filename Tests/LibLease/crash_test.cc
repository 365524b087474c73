#include <CppUTest/TestHarness.h>

#include <set>

#include "lease_fixture.h"

namespace mustardbank {

using std::chrono::milliseconds;
using std::chrono::seconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Crash) {
  LeaseFixture fixture;
  std::set<std::string> crashed;
  CommandAnswer answer_of_crashed = CommandAnswer::kRefusedConnection;

  void OwnWorkers(int count) {
    for (int i = 0; i < count; ++i)
      fixture.OwnVerified(MakeWorker("w" + std::to_string(10 + i)));
  }

  // Reports no run as ended; crashed workers refuse connections.
  void Step(Duration duration, const std::vector<RunningTask>& running = {}) {
    fixture.Advance(duration);
    for (const RenewCommand& renewal : std::exchange(fixture.renewals, {})) {
      const bool is_down = crashed.contains(renewal.target.worker);
      std::vector<RunningTask> there;
      const auto& worker =
          fixture.dispatcher.workers().at(renewal.target.worker);
      for (const RunningTask& task : running) {
        if (worker.runs.contains(task.run.task))
          there.push_back(task);
      }
      fixture.dispatcher.DidRenew(
          renewal, is_down ? answer_of_crashed : CommandAnswer::kAccepted,
          {.incarnation = 1, .clock_ms = NowMs(), .running = there},
          fixture.now);
    }
    fixture.Pump();
  }

  // Starts are accepted, and crash their workers.
  int CrashEachStarted(Duration length) {
    int starts = 0;
    for (const Time end = fixture.now + length; fixture.now < end;) {
      for (const StartCommand& start : std::exchange(fixture.starts, {})) {
        ++starts;
        crashed.insert(start.target.worker);
        fixture.dispatcher.DidStart(start, CommandAnswer::kAccepted, NowMs(),
                                    fixture.now);
      }
      Step(milliseconds(10));
    }
    return starts;
  }

  std::int64_t NowMs() const {
    return 1000 + std::chrono::duration_cast<milliseconds>(
                      fixture.now.time_since_epoch())
                      .count();
  }
};

TEST(Crash, task_that_crashes_its_workers_is_started_twice) {
  OwnWorkers(10);
  fixture.Submit(
      MakeJob("job", fixture.now, {.tasks = 1, .longest_wait = seconds(20)}));
  const int starts = CrashEachStarted(seconds(15));
  CHECK_EQUAL(2, starts);
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kFailed);
}

TEST(Crash, job_that_comes_again_keeps_the_crashes_of_its_tasks) {
  OwnWorkers(10);
  const TestJobOptions job{.tasks = 1, .longest_wait = seconds(20)};
  int starts = 0;
  for (int i = 0; i < 4; ++i) {
    fixture.Submit(MakeJob("job", fixture.now, job));
    starts += CrashEachStarted(milliseconds(500));
    fixture.dispatcher.Cancel("job", JobCause::kCancelled, fixture.now);
    starts += CrashEachStarted(seconds(2));
  }
  CHECK_EQUAL(2, starts);
}

TEST(Crash, known_cause_is_failed_without_a_start) {
  OwnWorkers(3);
  for (IncarnationId incarnation = 1; incarnation <= 2; ++incarnation)
    fixture.dispatcher.crashes().Learn({.task = "job.0.0.2",
                                        .incarnation = incarnation,
                                        .role = CrashRole::kAlone},
                                       fixture.now);
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 4}));
  CHECK_EQUAL(0U, fixture.starts.size());
  CHECK_EQUAL(1U, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kFailed);
  CHECK(fixture.finished[0].result.cause == JobCause::kCrashesWorkers);
}

TEST(Crash, suspect_of_another_owner_shares_no_worker) {
  OwnWorkers(1);
  fixture.dispatcher.crashes().Learn(
      {.task = "suspect.0.0.0", .incarnation = 1, .role = CrashRole::kAlone},
      fixture.now);
  fixture.Submit(MakeJob("suspect", fixture.now));
  CHECK_EQUAL(1U, fixture.starts.size());
  fixture.Submit(MakeJob("other", fixture.now));
  CHECK_EQUAL(1U, fixture.starts.size());
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.AnswerRenewals({.ended = {{1, run, RunEnd::kDone}}});
  CHECK_EQUAL(1U, fixture.starts.size());
}

TEST(Crash, suspect_waits_until_its_worker_is_idle) {
  OwnWorkers(1);
  fixture.dispatcher.crashes().Learn(
      {.task = "suspect.0.0.0", .incarnation = 1, .role = CrashRole::kAlone},
      fixture.now);
  fixture.Submit(MakeJob("other", fixture.now));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.Submit(MakeJob("suspect", fixture.now));
  CHECK_EQUAL(0U, fixture.starts.size());
  fixture.AnswerRenewals({.ended = {{1, run, RunEnd::kDone}}});
  CHECK_EQUAL(1U, fixture.starts.size());
}

TEST(Crash, task_beside_the_cause_is_served) {
  OwnWorkers(6);
  fixture.Submit(MakeJob("beside", fixture.now,
                         {.run_time = seconds(1), .longest_wait = seconds(9)}));
  const std::string shared = fixture.starts[0].target.worker;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  Step(milliseconds(100), {{{"beside.0.0.0", 1}, 10}});
  fixture.Submit(MakeJob("cause", fixture.now, {.longest_wait = seconds(9)}));
  STRCMP_EQUAL(shared.c_str(), fixture.starts[0].target.worker.c_str());
  CHECK_EQUAL(1, CrashEachStarted(milliseconds(400)));
  // Both are lost; the cause crashes a second worker, alone.
  int starts_of_beside = 0;
  for (int i = 0; i < 300; ++i) {
    for (const StartCommand& start : std::exchange(fixture.starts, {})) {
      if (start.run.task == "cause.0.0.0")
        crashed.insert(start.target.worker);
      else
        ++starts_of_beside;
      fixture.dispatcher.DidStart(start, CommandAnswer::kAccepted, NowMs(),
                                  fixture.now);
    }
    Step(milliseconds(10), {{{"beside.0.0.0", 2}, i / 3}});
  }
  CHECK_EQUAL(1, starts_of_beside);
  CHECK_EQUAL(2U, crashed.size());
  CHECK_EQUAL(1U, fixture.finished.size());
  STRCMP_EQUAL("cause", fixture.finished[0].job.c_str());
}

TEST(Crash, partition_of_all_workers_is_blamed_on_no_task) {
  OwnWorkers(4);
  fixture.Submit(MakeJob("job", fixture.now, {.longest_wait = seconds(20)}));
  for (int i = 10; i < 14; ++i)
    crashed.insert("w" + std::to_string(i));
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  for (int i = 0; i < 200; ++i)
    Step(milliseconds(10));
  CHECK(fixture.dispatcher.crashes().VerdictOf("job.0.0.0") ==
        CrashHistory::Verdict::kClear);
  CHECK_EQUAL(0U, fixture.finished.size());
}

TEST(Crash, worker_that_answers_again_has_not_crashed) {
  OwnWorkers(4);
  fixture.Submit(MakeJob("job", fixture.now, {.longest_wait = seconds(20)}));
  const StartCommand start = fixture.starts[0];
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  crashed = {start.target.worker};
  for (int i = 0; i < 85; ++i)
    Step(milliseconds(10));
  CHECK(fixture.dispatcher.crashes().VerdictOf(start.run.task) ==
        CrashHistory::Verdict::kSuspect);
  crashed.clear();
  for (int i = 0; i < 60; ++i)
    Step(milliseconds(10), {{start.run, i}});
  CHECK(fixture.dispatcher.crashes().VerdictOf(start.run.task) ==
        CrashHistory::Verdict::kClear);
}

TEST(Crash,
     suspect_that_finds_no_worker_in_time_is_given_up_before_its_deadline) {
  OwnWorkers(1);
  fixture.dispatcher.crashes().Learn(
      {.task = "suspect.0.0.1", .incarnation = 1, .role = CrashRole::kAlone},
      fixture.now);
  fixture.Submit(MakeJob("suspect", fixture.now,
                         {.tasks = 2, .run_time = milliseconds(500)}));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  int percent = 0;
  while (fixture.finished.empty())
    Step(milliseconds(10), {{run, ++percent / 3}});
  CHECK(fixture.finished[0].result.cause == JobCause::kRunsLost);
  CHECK(fixture.now < Time(seconds(102)) - milliseconds(400));
}

// Guards against crashes that are blamed on no task around a hand-over.
TEST(Crash, runs_of_a_former_owner_are_blamed_too) {
  OwnWorkers(2);
  fixture.Advance(seconds(1));
  const RunId foreign{"job.0.0.0", 1};
  for (const RenewCommand& renewal : std::exchange(fixture.renewals, {})) {
    std::vector<RunningTask> running;
    if (renewal.target.worker == "w10")
      running.push_back({foreign, 10});
    fixture.dispatcher.DidRenew(
        renewal, CommandAnswer::kAccepted,
        {.incarnation = 1, .clock_ms = NowMs(), .running = running},
        fixture.now);
  }
  fixture.Pump();
  crashed = {"w10"};
  for (int i = 0; i < 100; ++i)
    Step(milliseconds(10));
  CHECK(fixture.dispatcher.crashes().VerdictOf(foreign.task) ==
        CrashHistory::Verdict::kSuspect);
}

// Guards against a further start after another owner has found the cause.
TEST(Crash, waiting_task_that_is_found_to_be_the_cause_is_not_started) {
  OwnWorkers(1);
  fixture.Submit(MakeJob("other", fixture.now, {.run_time = seconds(1)}));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.dispatcher.crashes().Learn(
      {.task = "job.0.0.0", .incarnation = 1, .role = CrashRole::kAlone},
      fixture.now);
  fixture.Submit(MakeJob("job", fixture.now,
                         {.longest_wait = seconds(20), .stretch = 50}));
  CHECK_EQUAL(0U, fixture.finished.size());
  fixture.dispatcher.crashes().Learn(
      {.task = "job.0.0.0", .incarnation = 2, .role = CrashRole::kAlone},
      fixture.now);
  fixture.Advance(milliseconds(10));
  fixture.AnswerRenewals({.ended = {{1, run, RunEnd::kDone}}});
  CHECK_EQUAL(0U, fixture.starts.size());
  CHECK_EQUAL(2U, fixture.finished.size());
  CHECK(fixture.finished[0].result.cause == JobCause::kCrashesWorkers);
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kFailed);
}

// Guards against a sixth start, the third after three crashes, where crashed
// workers stay silent and come back under other ids.
TEST(Crash, task_whose_workers_fall_silent_is_started_four_times) {
  OwnWorkers(10);
  answer_of_crashed = CommandAnswer::kNoAnswer;
  fixture.Submit(
      MakeJob("job", fixture.now, {.tasks = 1, .longest_wait = seconds(20)}));
  const int starts = CrashEachStarted(seconds(15));
  CHECK_EQUAL(4, starts);
  CHECK_EQUAL(1U, fixture.finished.size());
}

}  // namespace mustardbank
