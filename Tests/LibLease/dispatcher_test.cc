#include <CppUTest/TestHarness.h>

#include <cmath>

#include "lease_fixture.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(LeaseDispatcher) {
  LeaseFixture fixture;
};

TEST(LeaseDispatcher, job_succeeds_once_all_tasks_are_done) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 2}));
  CHECK_EQUAL(2, fixture.starts.size());
  const std::vector<StartCommand> starts = fixture.starts;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.AnswerRenewals({.running = {{starts[1].run, 50}},
                          .ended = {{1, starts[0].run, RunEnd::kDone}}});
  CHECK_EQUAL(0, fixture.finished.size());
  fixture.Advance(milliseconds(10));
  fixture.AnswerRenewals({.ended = {{2, starts[1].run, RunEnd::kDone}}});
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kSucceeded);
}

// The report of a run was made right after the one before, and arrived 600 ms
// late, since this process was paused. It doesn't show that the run stalls.
TEST(LeaseDispatcher, run_whose_report_is_late_is_not_stalled) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 1}));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.Advance(milliseconds(20));
  fixture.AnswerRenewals({.running = {{run, 10}}});
  const auto report_at = [&](Time made, int percent) {
    const std::int64_t clock_ms =
        1000 + std::chrono::duration_cast<milliseconds>(made.time_since_epoch())
                   .count();
    for (const RenewCommand& renewal : std::exchange(fixture.renewals, {}))
      fixture.dispatcher.DidRenew(
          renewal, CommandAnswer::kAccepted,
          {.incarnation = 1, .clock_ms = clock_ms, .running = {{run, percent}}},
          fixture.now);
    fixture.Pump();
  };
  fixture.Advance(milliseconds(600));
  report_at(fixture.now - milliseconds(595), 10);
  CHECK_EQUAL(0, fixture.stops.size());
  // The next one is in time, and shows a run that has stalled.
  fixture.Advance(milliseconds(10));
  report_at(fixture.now, 10);
  CHECK_EQUAL(1, fixture.stops.size());
}

TEST(LeaseDispatcher, worker_is_not_used_before_its_first_report) {
  fixture.dispatcher.Own(MakeWorker("a"), kToken, fixture.now);
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
}

TEST(LeaseDispatcher, capacity_is_never_exceeded) {
  fixture.OwnVerified(MakeWorker("a", 64'000));
  fixture.Submit(MakeJob("job", fixture.now, {.tasks = 3}));
  CHECK_EQUAL(2, fixture.starts.size());
}

TEST(LeaseDispatcher, capacity_of_an_unanswered_start_stays_reserved) {
  fixture.OwnVerified(MakeWorker("a", 30'000));
  fixture.Submit(MakeJob("one", fixture.now));
  fixture.AnswerStarts(CommandAnswer::kNoAnswer);
  fixture.AnswerRenewals({});  // the task does not run yet
  fixture.Submit(MakeJob("two", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  fixture.Advance(milliseconds(90));
  CHECK_EQUAL(1, fixture.stops.size());
  fixture.dispatcher.DidStop(fixture.stops[0], CommandAnswer::kAccepted,
                             fixture.now);
  // Only a report requested after the stop shows for certain that the worker
  // does not have the run.
  fixture.AnswerRenewals({});
  fixture.Advance(milliseconds(10));
  fixture.AnswerRenewals({});
  fixture.Advance(milliseconds(10));
  CHECK(!fixture.starts.empty());
}

// A worker restarted unnoticed before a start command was sent to it, and left
// the command unanswered. Its clock is behind the one that the lease was
// granted on, so that it may still carry out the command after the lease has
// lapsed.
TEST(LeaseDispatcher,
     capacity_of_a_start_that_was_never_seen_outlasts_its_lease) {
  fixture.OwnVerified(MakeWorker("a", 30'000));
  fixture.Submit(MakeJob("one", fixture.now));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kNoAnswer);
  fixture.FailRenewals("a", CommandAnswer::kNoAnswer);
  for (int i = 0; i < 15; ++i) {
    fixture.Advance(milliseconds(100));
    fixture.FailRenewals("a", CommandAnswer::kNoAnswer);
    for (const StopCommand& stop : std::exchange(fixture.stops, {}))
      fixture.dispatcher.DidStop(stop, CommandAnswer::kNoAnswer, fixture.now);
  }
  CHECK(fixture.starts.empty());
  // The worker answers again. It gets no task before it has accepted a stop.
  fixture.Advance(milliseconds(500));
  fixture.AnswerRenewals({});
  fixture.Submit(MakeJob("two", fixture.now, {.stretch = 20}));
  CHECK(fixture.starts.empty());
  CHECK(!fixture.stops.empty());
  CHECK(fixture.stops[0].run == run);
  fixture.dispatcher.DidStop(fixture.stops[0], CommandAnswer::kAccepted,
                             fixture.now);
  for (int i = 0; i < 4 && fixture.starts.empty(); ++i) {
    fixture.Advance(milliseconds(150));
    fixture.AnswerRenewals({});
  }
  CHECK(!fixture.starts.empty());
}

TEST(LeaseDispatcher, unanswered_start_that_a_report_lacks_is_stopped_at_once) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kNoAnswer);
  fixture.Advance(milliseconds(1));
  CHECK(fixture.stops.empty());
  fixture.AnswerRenewals({});
  CHECK_EQUAL(1, fixture.stops.size());
  CHECK(fixture.stops[0].run == run);
}

// Workers answer within 2 ms here. A start without an answer is then known to
// be lost long before the timeout for unknown workers.
TEST(LeaseDispatcher, timeout_of_starts_follows_the_answers) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("first", fixture.now));
  CHECK(fixture.starts.at(0).timeout == LeaseTiming{}.command_timeout);
  for (int i = 0; i < 20; ++i) {
    fixture.now += milliseconds(2);
    fixture.AnswerStarts(CommandAnswer::kAccepted);
    const std::string job = "job" + std::to_string(i);
    fixture.dispatcher.Cancel("first", JobCause::kCancelled, fixture.now);
    fixture.OwnVerified(MakeWorker("b" + std::to_string(i)));
    fixture.Submit(MakeJob(job, fixture.now));
    CHECK(!fixture.starts.empty());
  }
  CHECK(fixture.starts.back().timeout <= milliseconds(40));
}

// All workers are excluded for now. They are tried again within a second or
// two, so that callers should not stay away for the longest time.
TEST(LeaseDispatcher, refusal_while_all_workers_are_excluded_is_short) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("one", fixture.now, {.stretch = 20}));
  for (int i = 0; i < 2; ++i) {
    fixture.AnswerStarts(CommandAnswer::kUnhealthy);
    fixture.Advance(milliseconds(210));
  }
  fixture.finished.clear();
  fixture.Submit(MakeJob("two", fixture.now, {.tasks = 4}));
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.cause == JobCause::kNoRoom);
  CHECK(fixture.finished[0].result.retry_after <= milliseconds(1000));
}

TEST(LeaseDispatcher, run_continues_if_only_the_answer_to_its_start_was_lost) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kNoAnswer);
  fixture.Advance(milliseconds(1));
  fixture.AnswerRenewals({.running = {{run, 10}}});
  fixture.Advance(milliseconds(200));
  CHECK_EQUAL(0, fixture.stops.size());
}

// A network partition that resets connections looks like a worker where nothing
// listens, but its tasks continue.
TEST(LeaseDispatcher, refused_connection_does_not_end_runs) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.OwnVerified(MakeWorker("b"));
  fixture.Submit(MakeJob(
      "job", fixture.now,
      {.run_time = milliseconds(900), .longest_wait = milliseconds(5000)}));
  const std::string worker = fixture.starts[0].target.worker;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.FailRenewals(worker, CommandAnswer::kRefusedConnection);
  const Time partitioned_at = fixture.now;
  while (fixture.now < partitioned_at + milliseconds(800)) {
    fixture.Advance(milliseconds(20));
    fixture.FailRenewals(worker, CommandAnswer::kRefusedConnection);
    CHECK_EQUAL(0, fixture.starts.size());
  }
  // Once the lease has lapsed, the task starts on the other worker.
  while (fixture.now < partitioned_at + milliseconds(1500) &&
         fixture.starts.empty()) {
    fixture.Advance(milliseconds(20));
    fixture.FailRenewals(worker, CommandAnswer::kRefusedConnection);
  }
  CHECK_EQUAL(1, fixture.starts.size());
}

// A worker that crashed and restarted under its id may accept a start before it
// first reports its new incarnation.
TEST(LeaseDispatcher, run_started_in_a_new_incarnation_continues) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.OwnVerified(MakeWorker("b"));
  fixture.Submit(MakeJob("job", fixture.now));
  const RunId run = fixture.starts[0].run;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  RenewReport report{.incarnation = 2, .running = {{run, 10}}};
  fixture.dispatcher.DidRenew(fixture.renewals[0], CommandAnswer::kAccepted,
                              report, fixture.now);
  fixture.Pump();
  CHECK_EQUAL(0, fixture.starts.size());
}

TEST(LeaseDispatcher, run_of_an_earlier_incarnation_restarts_elsewhere) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.OwnVerified(MakeWorker("b"));
  fixture.Submit(MakeJob("job", fixture.now));
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.Advance(milliseconds(20));
  fixture.AnswerRenewals({});
  fixture.Advance(milliseconds(20));
  RenewReport report{.incarnation = 2};
  fixture.dispatcher.DidRenew(fixture.renewals[0], CommandAnswer::kAccepted,
                              report, fixture.now);
  fixture.Pump();
  CHECK_EQUAL(1, fixture.starts.size());
}

// Guards against tasks on a worker that lacks their label: it restarted as
// another kind, and the registration known is of its former incarnation.
TEST(LeaseDispatcher, restarted_worker_waits_for_its_registration) {
  WorkerEntry former = MakeWorker("a");
  former.labels = {"gpu"};
  former.incarnation = 1;
  fixture.OwnVerified(former);
  CHECK_EQUAL(0, fixture.dispatcher.UnregisteredWorkers());
  fixture.Advance(milliseconds(710));
  fixture.dispatcher.DidRenew(
      fixture.renewals.at(0), CommandAnswer::kAccepted,
      {.incarnation = 2, .clock_ms = fixture.WorkerClock()}, fixture.now);
  JobRequest needs_gpu = MakeJob("gpu", fixture.now);
  needs_gpu.groups[0].required_label = "gpu";
  fixture.Submit(needs_gpu);
  fixture.Submit(MakeJob("early", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  CHECK_EQUAL(1, fixture.dispatcher.UnregisteredWorkers());

  // Its registration is looked up, at intervals that grow.
  CHECK_EQUAL(1, fixture.dispatcher.TakeLookups(fixture.now).size());
  CHECK(fixture.dispatcher.TakeLookups(fixture.now).empty());
  CHECK_EQUAL(
      1,
      fixture.dispatcher.TakeLookups(fixture.now + milliseconds(100)).size());
  CHECK(
      fixture.dispatcher.TakeLookups(fixture.now + milliseconds(299)).empty());

  // A list that still has the former incarnation changes nothing.
  fixture.dispatcher.Own(former, kToken, fixture.now);
  fixture.Submit(needs_gpu);
  CHECK_EQUAL(0, fixture.starts.size());
  WorkerEntry present = former;
  present.labels = {"plain"};
  present.incarnation = 2;
  fixture.dispatcher.Own(present, kToken, fixture.now);
  fixture.Submit(needs_gpu);
  CHECK_EQUAL(0, fixture.starts.size());
  fixture.Submit(MakeJob("any", fixture.now));
  CHECK_EQUAL(1, fixture.starts.size());
  CHECK(
      fixture.dispatcher.TakeLookups(fixture.now + milliseconds(900)).empty());
}

// The command may wait for a connection while the report of a restart arrives.
TEST(LeaseDispatcher, start_for_a_former_incarnation_is_not_sent) {
  WorkerEntry entry = MakeWorker("a");
  entry.incarnation = 1;
  fixture.OwnVerified(entry);
  fixture.Submit(MakeJob("job", fixture.now));
  const StartCommand start = fixture.starts.at(0);
  CHECK(fixture.dispatcher.MaySend(start, fixture.now));
  fixture.dispatcher.DidRenew(
      fixture.renewals.at(0), CommandAnswer::kAccepted,
      {.incarnation = 2, .clock_ms = fixture.WorkerClock()}, fixture.now);
  CHECK(!fixture.dispatcher.MaySend(start, fixture.now));
  entry.incarnation = 2;
  fixture.dispatcher.Own(entry, kToken, fixture.now);
  CHECK(!fixture.dispatcher.MaySend(start, fixture.now));
}

// The registration may be known before the first report that shows the restart:
// the runs and the capacity in use are those of the former incarnation.
TEST(LeaseDispatcher, registration_of_a_restart_waits_for_a_report) {
  WorkerEntry former = MakeWorker("a");
  former.incarnation = 1;
  fixture.OwnVerified(former);
  WorkerEntry present = former;
  present.incarnation = 2;
  present.labels = {"gpu"};
  fixture.dispatcher.Own(present, kToken, fixture.now);
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  fixture.Advance(milliseconds(10));
  fixture.dispatcher.DidRenew(
      fixture.renewals.at(0), CommandAnswer::kAccepted,
      {.incarnation = 2, .clock_ms = fixture.WorkerClock()}, fixture.now);
  fixture.Submit(MakeJob("next", fixture.now));
  CHECK_EQUAL(1, fixture.starts.size());
}

// The worker may have restarted and reset its clock, and would then accept a
// command that arrives too late.
TEST(LeaseDispatcher, worker_without_a_recent_answer_gets_no_task) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.now += milliseconds(2000);
  fixture.Submit(
      MakeJob("job", fixture.now, {.longest_wait = milliseconds(5000)}));
  CHECK_EQUAL(0, fixture.starts.size());
  fixture.Advance(milliseconds(10));
  fixture.AnswerRenewals({});
  CHECK_EQUAL(1, fixture.starts.size());
}

TEST(LeaseDispatcher, idle_worker_is_polled_at_intervals) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Advance(milliseconds(500));
  CHECK_EQUAL(0, fixture.renewals.size());
  fixture.Advance(milliseconds(300));
  CHECK_EQUAL(1, fixture.renewals.size());
}

TEST(LeaseDispatcher, fenced_command_ends_ownership_of_the_worker) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.Submit(MakeJob("job", fixture.now));
  fixture.AnswerStarts(CommandAnswer::kFenced);
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kGivenUp);
  CHECK_EQUAL(1, fixture.dispatcher.TakeFenced().size());
  CHECK(fixture.dispatcher.workers().empty());
}

TEST(LeaseDispatcher, failed_task_is_tried_elsewhere_up_to_its_attempts) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.OwnVerified(MakeWorker("b"));
  fixture.Submit(MakeJob("job", fixture.now));
  const StartCommand first = fixture.starts[0];
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.AnswerRenewals({.ended = {{1, first.run, RunEnd::kFailed}}});
  CHECK_EQUAL(1, fixture.starts.size());
  const StartCommand second = fixture.starts[0];
  CHECK(second.target.worker != first.target.worker);
  CHECK(second.run.number > first.run.number);
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.Advance(milliseconds(10));
  fixture.AnswerRenewals({.ended = {{1, second.run, RunEnd::kFailed}}});
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kFailed);
}

// A task that is slow on every worker is long. Moving it each time caused its
// job to be given up after seven runs (trouble-3 of anbsm-guides).
TEST(LeaseDispatcher, long_task_is_moved_once) {
  for (const char* worker : {"a", "b", "c"})
    fixture.OwnVerified(MakeWorker(worker));
  fixture.Submit(MakeJob("job", fixture.now));
  for (int i = 0; i < 2; ++i) {
    CHECK_EQUAL(1, fixture.starts.size());
    const RunId run = fixture.starts[0].run;
    fixture.AnswerStarts(CommandAnswer::kAccepted);
    fixture.Advance(milliseconds(60));
    fixture.AnswerRenewals({.running = {{run, 6}}});
    const std::size_t expected_stops = i == 0 ? 1 : 0;
    CHECK_EQUAL(expected_stops, fixture.stops.size());
    if (i > 0)
      return;
    const StopCommand stop = fixture.stops[0];
    fixture.stops.clear();
    fixture.dispatcher.DidStop(stop, CommandAnswer::kAccepted, fixture.now);
    fixture.Advance(milliseconds(40));
    fixture.AnswerRenewals({.ended = {{1, run, RunEnd::kStopped}}});
  }
}

// A job may be submitted again while runs of its earlier submission are being
// stopped (soak, seed 222).
TEST(LeaseDispatcher, task_waits_for_the_end_of_its_earlier_run) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.OwnVerified(MakeWorker("b"));
  fixture.Submit(MakeJob("job", fixture.now));
  const RunId first = fixture.starts.at(0).run;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.dispatcher.Cancel("job", JobCause::kCancelled, fixture.now);
  fixture.Pump();
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  fixture.dispatcher.DidStop(fixture.stops.at(0), CommandAnswer::kAccepted,
                             fixture.now);
  fixture.Advance(milliseconds(50));
  fixture.AnswerRenewals({.ended = {{1, first, RunEnd::kStopped}}});
  CHECK_EQUAL(1, fixture.starts.size());
  CHECK(fixture.starts[0].run.task == first.task);
  CHECK(fixture.starts[0].run.number > first.number);
}

// The worker's next owner stops the earlier run at a time unknown to this
// owner, which therefore can't start the task again.
TEST(LeaseDispatcher, job_whose_earlier_run_goes_to_another_owner_is_given_up) {
  fixture.OwnVerified(MakeWorker("a"));
  fixture.OwnVerified(MakeWorker("b"));
  fixture.Submit(MakeJob("job", fixture.now));
  const std::string worker = fixture.starts.at(0).target.worker;
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.dispatcher.Cancel("job", JobCause::kCancelled, fixture.now);
  fixture.Submit(MakeJob("job", fixture.now));
  fixture.finished.clear();
  fixture.dispatcher.Disown(worker, fixture.now);
  fixture.Pump();
  CHECK_EQUAL(0, fixture.starts.size());
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.cause == JobCause::kOwnershipLost);
}

// A run far slower than its predecessor is on a slow worker, and is moved
// however often the task was moved before.
TEST(LeaseDispatcher, run_far_slower_than_the_previous_one_is_moved_again) {
  for (const char* worker : {"a", "b", "c"})
    fixture.OwnVerified(MakeWorker(worker));
  fixture.Submit(MakeJob("job", fixture.now));
  for (const int percent : {12, 2}) {
    CHECK_EQUAL(1, fixture.starts.size());
    const RunId run = fixture.starts[0].run;
    fixture.AnswerStarts(CommandAnswer::kAccepted);
    fixture.Advance(milliseconds(60));
    fixture.AnswerRenewals({.running = {{run, percent}}});
    fixture.Advance(milliseconds(140));
    fixture.AnswerRenewals({.running = {{run, percent + 1}}});
    CHECK_EQUAL(1, fixture.stops.size());
    const StopCommand stop = fixture.stops[0];
    fixture.stops.clear();
    fixture.dispatcher.DidStop(stop, CommandAnswer::kAccepted, fixture.now);
    fixture.Advance(milliseconds(40));
    fixture.AnswerRenewals({.ended = {{1, run, RunEnd::kStopped}}});
  }
}

TEST(LeaseDispatcher, leaving_worker_gets_no_new_task) {
  WorkerEntry worker = MakeWorker("a");
  fixture.OwnVerified(worker);
  worker.leaving = true;
  fixture.dispatcher.Own(worker, kToken, fixture.now);
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
}

// Guards against starts on a draining worker after a list from before its
// drain, such as a reader of an earlier build sends after a pause.
TEST(LeaseDispatcher, older_registration_does_not_end_a_drain) {
  WorkerEntry ready = MakeWorker("a");
  ready.registered.ms = 5000;
  WorkerEntry leaving = ready;
  leaving.leaving = true;
  leaving.registered.ms = 6000;
  fixture.OwnVerified(leaving);
  fixture.dispatcher.Own(ready, kToken, fixture.now);
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  // One without a reading of the worker's clock can't be told to be older.
  ready.registered.ms = 0;
  fixture.dispatcher.Own(ready, kToken, fixture.now);
  fixture.Submit(MakeJob("next", fixture.now));
  CHECK_EQUAL(1, fixture.starts.size());
}

TEST(LeaseDispatcher, foreign_runs_are_stopped_before_any_start) {
  fixture.dispatcher.Own(MakeWorker("a"), kToken, fixture.now);
  fixture.Advance(milliseconds(1));
  fixture.AnswerRenewals({.running = {{{"other.0.0.0", 1}, 10}}});
  CHECK_EQUAL(1, fixture.stops.size());
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(0, fixture.starts.size());
  fixture.Advance(milliseconds(30));
  fixture.AnswerRenewals({});
  CHECK_EQUAL(1, fixture.starts.size());
}

TEST(LeaseDispatcher, job_larger_than_any_worker_is_refused_at_once) {
  fixture.OwnVerified(MakeWorker("a", 10'000));
  fixture.Submit(MakeJob("job", fixture.now));
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kRefused);
  CHECK(fixture.finished[0].result.cause == JobCause::kNeverFits);
}

TEST(LeaseDispatcher, refusal_is_only_for_jobs_without_a_start) {
  fixture.OwnVerified(MakeWorker("a", 30'000));
  fixture.Submit(MakeJob("one", fixture.now));
  fixture.Submit(MakeJob("two", fixture.now));
  fixture.dispatcher.Cancel("one", JobCause::kCancelled, fixture.now);
  fixture.dispatcher.Cancel("two", JobCause::kCancelled, fixture.now);
  fixture.Pump();
  CHECK_EQUAL(2, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kGivenUp);
  CHECK(fixture.finished[1].result.outcome == JobOutcome::kRefused);
}

// After a loss of power, callers come back to a process that has not seen any
// of their jobs. What its predecessors learned about the queue is all it has.
TEST(LeaseDispatcher, recalled_queues_put_returning_callers_last) {
  fixture.OwnVerified(MakeWorker("w1", 27'000));
  fixture.dispatcher.Recall(
      {{"queue",
        {.run_times = {.log_run_time = std::log(100), .samples = 500},
         .timeouts = {.mean_timeout = 2000,
                      .mean_expected = 100,
                      .deviation = 50,
                      .samples = 500}}}},
      fixture.now);
  fixture.Submit(MakeJob("running", fixture.now));
  CHECK_EQUAL(1, fixture.starts.size());
  const RunId running = fixture.starts.back().run;
  // First sent 160 ms ago: late, but of use.
  fixture.Submit(
      MakeJob("returned", fixture.now, {.longest_wait = milliseconds(1840)}));
  fixture.Submit(MakeJob("first_try", fixture.now));
  // First sent 1.3 s ago, six objectives.
  fixture.Submit(
      MakeJob("useless", fixture.now, {.longest_wait = milliseconds(700)}));
  CHECK_EQUAL(1, fixture.finished.size());
  STRCMP_EQUAL("useless", fixture.finished.back().job.c_str());
  CHECK(fixture.finished.back().result.outcome == JobOutcome::kRefused);
  CHECK(fixture.finished.back().result.cause == JobCause::kWaitedTooLong);
  fixture.AnswerStarts(CommandAnswer::kAccepted);
  fixture.Advance(milliseconds(90));
  fixture.AnswerRenewals({.ended = {{1, running, RunEnd::kDone}}});
  CHECK_EQUAL(1, fixture.starts.size());
  STRCMP_EQUAL("first_try.0.0.0", fixture.starts.back().run.task.c_str());
}

// The age of a job is an estimate, and its caller still waits.
TEST(LeaseDispatcher, job_of_little_use_runs_while_there_is_ample_room) {
  fixture.OwnVerified(MakeWorker("w1", 64'000));
  fixture.OwnVerified(MakeWorker("w2", 64'000));
  fixture.dispatcher.Recall({{"queue",
                              {.timeouts = {.mean_timeout = 2000,
                                            .mean_expected = 100,
                                            .deviation = 50,
                                            .samples = 500}}}},
                            fixture.now);
  const auto submit = [&](const char* id) {
    fixture.Submit(
        MakeJob(id, fixture.now, {.longest_wait = milliseconds(700)}));
  };
  submit("one");
  submit("two");
  CHECK_EQUAL(0, fixture.finished.size());
  submit("three");
  CHECK_EQUAL(2, fixture.starts.size());
  CHECK_EQUAL(1, fixture.finished.size());
  STRCMP_EQUAL("three", fixture.finished.back().job.c_str());
}

}  // namespace mustardbank
