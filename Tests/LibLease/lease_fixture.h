// A LeaseDispatcher whose actions are collected for the test.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "LibLease/lease_dispatcher.h"
#include "LibSchedule/test_jobs.h"

namespace mustardbank {

inline constexpr std::uint64_t kToken = 7;

inline WorkerEntry MakeWorker(const std::string& id,
                              std::int64_t millicores = 64'000) {
  return {.id = id,
          .service = "guide",
          .endpoint = {.ip = 0x7F000001, .port = 1},
          .data_center = "rif",
          .capacity = {.millicores = millicores, .memory_mb = 1'000'000}};
}

class LeaseFixture {
 public:
  explicit LeaseFixture(const LeaseTiming& timing = {})
      : log("test"), dispatcher(timing, log) {}

  // Reading of the clock of all workers.
  std::int64_t WorkerClock() const {
    return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                      now.time_since_epoch())
                      .count();
  }

  // Moves the dispatcher's actions into the lists below.
  void Pump() {
    for (LeaseAction& action : dispatcher.TakeActions(now)) {
      if (auto* start = std::get_if<StartCommand>(&action))
        starts.push_back(*start);
      else if (auto* stop = std::get_if<StopCommand>(&action))
        stops.push_back(*stop);
      else if (auto* renewal = std::get_if<RenewCommand>(&action))
        renewals.push_back(*renewal);
      else if (auto* finish = std::get_if<FinishJob>(&action))
        finished.push_back(*finish);
    }
  }

  void Advance(Duration duration) {
    now += duration;
    dispatcher.Tick(now);
    Pump();
  }

  // Makes the dispatcher own a worker that has answered its first renewal.
  void OwnVerified(const WorkerEntry& entry) {
    dispatcher.Own(entry, kToken, now);
    dispatcher.Tick(now);
    Pump();
    AnswerRenewals({});
  }

  // Answers all renewals in flight with the same report. Its incarnation is 1
  // unless it is set.
  void AnswerRenewals(RenewReport report) {
    if (report.incarnation == 0)
      report.incarnation = 1;
    report.clock_ms = WorkerClock();
    for (const RenewCommand& renewal : std::exchange(renewals, {}))
      dispatcher.DidRenew(renewal, CommandAnswer::kAccepted, report, now);
    Pump();
  }

  // Fails the renewals of one worker; the other workers report no runs.
  void FailRenewals(const std::string& worker, CommandAnswer answer) {
    std::vector<RenewCommand> others;
    for (const RenewCommand& renewal : std::exchange(renewals, {})) {
      if (renewal.target.worker == worker)
        dispatcher.DidRenew(renewal, answer, {}, now);
      else
        others.push_back(renewal);
    }
    renewals = std::move(others);
    AnswerRenewals({});
  }

  void AnswerStarts(CommandAnswer answer) {
    for (const StartCommand& start : std::exchange(starts, {}))
      dispatcher.DidStart(start, answer, 0, now);
    Pump();
  }

  void Submit(JobRequest job) {
    dispatcher.Submit(std::move(job), now);
    Pump();
  }

  EventLog log;
  LeaseDispatcher dispatcher;
  Time now{std::chrono::seconds(100)};
  std::vector<StartCommand> starts;
  std::vector<StopCommand> stops;
  std::vector<RenewCommand> renewals;
  std::vector<FinishJob> finished;
};

}  // namespace mustardbank
