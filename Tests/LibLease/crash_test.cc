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
          renewal,
          is_down ? CommandAnswer::kRefusedConnection
                  : CommandAnswer::kAccepted,
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

}  // namespace mustardbank
