#include <CppUTest/TestHarness.h>

#include "LibLeaseEntry/lease_control.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

WorkerEntry MakeWorker(const std::string& id) {
  return {.id = id,
          .service = "guide",
          .endpoint = {.ip = 1, .port = 1},
          .data_center = "rif",
          .capacity = {.millicores = 64'000, .memory_mb = 1000}};
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(LeaseControl) {
  EventLog log{"test"};
  LeaseControl control{
      {.name = "self", .data_center = "rif", .incarnation = 5}, {}, log};
  Time now{std::chrono::seconds(100)};
  std::vector<ClaimShard> claims;
  std::vector<StartCommand> starts;
  std::vector<RenewCommand> renewals;
  std::vector<FinishJob> finished;

  void setup() override {
    control.SetSinks(
        {.start = [this](StartCommand&& command) { starts.push_back(command); },
         .stop = [](StopCommand&&) {},
         .renew =
             [this](RenewCommand&& command) { renewals.push_back(command); },
         .finish = [this](FinishJob&& job) { finished.push_back(job); },
         .claim = [this](ClaimShard&& claim) { claims.push_back(claim); },
         .probe = [](ProbeDataCenter&&) {}});
    control.ownership().SetShardCount("rif", 1);
    control.ReplaceEvacuations({}, 1, "feed", now, now);
  }

  void ClaimShardNow() {
    control.Tick(now);
    // In steps, since a gap between ticks counts as a pause of the process.
    for (int i = 0; i < 14; ++i) {
      now += milliseconds(50);
      control.Tick(now);
    }
    control.ownership().DidClaim(claims.at(0), 12, now);
  }

  JobRequest MakeJob(const std::string& id, std::uint32_t tasks) {
    return {.id = id,
            .groups = {{.count = tasks,
                        .each = {.millicores = 30'000},
                        .declared_run_time = milliseconds(100)}},
            .policy = {.name = "queue",
                       .service = "guide",
                       .stretch = 1.6,
                       .target_latency = milliseconds(60)},
            .arrived = now,
            .deadline = now + milliseconds(5000),
            .home = "self"};
  }

  // The worker has capacity for two of the three tasks.
  void StartJobOfThreeAndLeave() {
    ClaimShardNow();
    control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
    control.Tick(now);
    AnswerRenewals({});
    control.Submit(MakeJob("job", 3), now);
    control.Pump(now);
    control.ownership().DidReadMember({.name = "peer",
                                       .data_center = "rif",
                                       .endpoint = {.ip = 1, .port = 1},
                                       .incarnation = 3},
                                      now);
    control.ownership().DidReceiveHeartbeat({.name = "peer", .incarnation = 3},
                                            now);
    control.Leave(now);
    control.ownership().DidReadShard(
        {.shard = {.data_center = "rif", .index = 0},
         .owner = "peer",
         .owner_incarnation = 3,
         .version = 20},
        now);
    control.Tick(now);
  }

  void AnswerRenewals(RenewReport report) {
    report.incarnation = 1;
    report.clock_ms = 1000;
    for (const RenewCommand& renewal : std::exchange(renewals, {}))
      control.dispatcher().DidRenew(renewal, CommandAnswer::kAccepted, report,
                                    now);
    control.Pump(now);
  }

  void EndRun(const RunId& run, std::uint64_t sequence) {
    AnswerRenewals({.ended = {{sequence, run, RunEnd::kDone}}});
    control.Tick(now);
  }

  ShardStatus Status() {
    return control.ownership()
        .MakeHeartbeat({}, 0, milliseconds(150), now)
        .shards.at(0);
  }
};

TEST(LeaseControl, workers_of_an_owned_shard_are_taken_over) {
  ClaimShardNow();
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  CHECK_EQUAL(1, control.dispatcher().workers().size());
}

// A worker may have registered that it leaves since the list was read.
// Another owner of the data centre read the registrations.
TEST(LeaseControl, shared_list_is_used_if_it_has_all_owned_shards) {
  ClaimShardNow();
  const ShardId shard{.data_center = "rif", .index = 0};
  now += milliseconds(10);
  control.SetWorkersOfShards(
      {.list = {.workers = {MakeWorker("a")}, .read_at = now}}, now);
  CHECK(control.workers().empty());
  control.SetWorkersOfShards(
      {.list = {.workers = {MakeWorker("a")}, .read_at = now},
       .shards = {shard}},
      now);
  control.Tick(now);
  CHECK_EQUAL(1, renewals.size());
  CHECK_EQUAL(1, control.WorkersOf({shard}).workers.size());
  // A list that was read before the one known arrives late.
  control.SetWorkersOfShards(
      {.list = {.read_at = now - milliseconds(5)}, .shards = {shard}}, now);
  CHECK_EQUAL(1, control.workers().size());
}

TEST(LeaseControl, list_from_before_a_claim_is_not_used) {
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  ClaimShardNow();
  CHECK(control.NeedsFreshWorkerList());
  now += milliseconds(60);
  control.Tick(now);
  CHECK_EQUAL(0, control.dispatcher().workers().size());
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  CHECK_EQUAL(1, control.dispatcher().workers().size());
  CHECK(!control.NeedsFreshWorkerList());
}

TEST(LeaseControl, old_list_is_used_if_the_store_is_unavailable_again) {
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  ClaimShardNow();
  now += milliseconds(1600);
  control.Tick(now);
  CHECK_EQUAL(1, control.dispatcher().workers().size());
}

// A successor takes over at once the workers that are not listed as busy, so
// the list must be complete from the start.
TEST(LeaseControl, hand_over_lists_busy_workers_from_its_first_heartbeat) {
  control.ownership().SetShardCount("tanger", 1);
  control.ownership().DidProbe("tanger", true, now);
  control.Tick(now);
  now += milliseconds(900);
  control.ownership().DidProbe("tanger", true, now);
  control.Tick(now);  // a longer gap between ticks counts as a pause
  now += milliseconds(900);
  control.ownership().DidProbe("tanger", true, now);
  control.Tick(now);
  for (const ClaimShard& claim : claims)
    control.ownership().DidClaim(claim, 12, now);
  WorkerEntry worker = MakeWorker("a");
  worker.data_center = "tanger";
  control.SetWorkers({.workers = {worker}, .read_at = now}, now);
  control.Tick(now);
  control.dispatcher().DidRenew(renewals.at(0), CommandAnswer::kAccepted,
                                {.incarnation = 1, .clock_ms = 1000}, now);
  control.Submit({.id = "job",
                  .groups = {{.count = 1, .each = {.millicores = 1000}}},
                  .policy = {.name = "queue", .service = "guide"},
                  .arrived = now,
                  .deadline = now + milliseconds(5000),
                  .home = "self"},
                 now);
  control.Pump(now);
  CHECK_EQUAL(1, starts.size());
  control.ownership().DidReadMember({.name = "home",
                                     .data_center = "tanger",
                                     .endpoint = {.ip = 1, .port = 1},
                                     .incarnation = 3},
                                    now);
  Heartbeat heartbeat;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    control.ownership().DidReceiveHeartbeat({.name = "home", .incarnation = 3},
                                            now);
    control.Tick(now);
    heartbeat =
        control.ownership().MakeHeartbeat({}, 0, milliseconds(150), now);
    for (const ShardStatus& status : heartbeat.shards) {
      if (status.successor == "home" && !status.is_released)
        control.ownership().DidReadShard({.shard = status.shard,
                                          .owner = "home",
                                          .owner_incarnation = 3,
                                          .version = 20},
                                         now);
      if (status.is_released) {
        CHECK_EQUAL(1, status.busy.size());
        return;
      }
    }
  }
  FAIL("the shard was not handed over");
}

// A job whose last task waited for capacity when the shard was claimed was not
// ended until its caller's deadline (trouble-2 of anbsm-guides).
TEST(LeaseControl, started_job_ends_before_its_workers_are_released) {
  StartJobOfThreeAndLeave();
  CHECK_EQUAL(2, starts.size());
  CHECK(!Status().is_released);
  now += milliseconds(50);
  EndRun(starts[0].run, 1);
  CHECK_EQUAL(3, starts.size());
  CHECK(Status().is_released);
  CHECK_EQUAL(1, Status().busy.size());
  CHECK_EQUAL(0, finished.size());
}

TEST(LeaseControl, started_job_that_gets_no_capacity_in_time_is_given_up) {
  StartJobOfThreeAndLeave();
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(10);
    control.Tick(now);
  }
  CHECK_EQUAL(1, finished.size());
  CHECK(finished[0].result.outcome == JobOutcome::kGivenUp);
  CHECK(finished[0].result.cause == JobCause::kHandedOver);
  CHECK(Status().is_released);
}

TEST(LeaseControl, job_that_arrives_during_the_release_is_refused_at_once) {
  StartJobOfThreeAndLeave();
  control.Submit(MakeJob("late", 1), now);
  control.Pump(now);
  CHECK_EQUAL(1, finished.size());
  CHECK(finished[0].result.outcome == JobOutcome::kRefused);
}

TEST(LeaseControl, older_configuration_is_ignored) {
  control.SetConfiguration({.version = 5}, "feed", now);
  control.SetConfiguration({.version = 4}, "feed", now);
  CHECK_EQUAL(5, control.configuration().version);
}

// A worker may have begun to leave during the pause: the first answer of a
// worker made it usable again before the list was read.
TEST(LeaseControl, nothing_starts_after_a_pause_before_the_list_is_read) {
  ClaimShardNow();
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  control.Tick(now);
  AnswerRenewals({});
  now += milliseconds(700);
  control.Submit(MakeJob("job", 1), now);
  control.Tick(now);
  AnswerRenewals({});
  CHECK_EQUAL(0, starts.size());
  CHECK(control.NeedsFreshWorkerList());
  // Another VM sent this list before or during the pause.
  control.SetWorkersOfShards(
      {.list = {.workers = {MakeWorker("a")}, .read_at = now},
       .shards = {{.data_center = "rif", .index = 0}}},
      now);
  control.Pump(now);
  CHECK_EQUAL(0, starts.size());
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  control.Pump(now);
  CHECK_EQUAL(1, starts.size());
}

// Guards against starts on draining workers: an answer of the store from before
// a pause, which this process reads when it resumes.
TEST(LeaseControl, list_that_was_requested_before_a_pause_resumes_no_starts) {
  ClaimShardNow();
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  control.Tick(now);
  AnswerRenewals({});
  const Time requested = now + milliseconds(1);
  now += milliseconds(700);
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = requested}, now);
  control.Submit(MakeJob("job", 1), now);
  control.Tick(now);
  AnswerRenewals({});
  CHECK_EQUAL(0, starts.size());
  CHECK(control.NeedsFreshWorkerList());
}

// The same list, sent to an owner that was never paused: from a VM that takes
// it for new, and held up on its way.
TEST(LeaseControl, older_list_does_not_replace_a_newer_one) {
  ClaimShardNow();
  WorkerEntry leaving = MakeWorker("a");
  leaving.leaving = true;
  control.SetWorkers(
      {.workers = {leaving}, .store_version = 20, .read_at = now}, now);
  now += milliseconds(300);
  SharedWorkerList shared{.list = {.workers = {MakeWorker("a")},
                                   .store_version = 19,
                                   .read_at = now},
                          .shards = {{.data_center = "rif", .index = 0}}};
  CHECK(!control.SetWorkersOfShards(shared, now));
  CHECK(control.workers().at(0).leaving);
  control.SetWorkers(shared.list, now);
  CHECK(control.workers().at(0).leaving);
  // Earlier builds send no version.
  shared.list.store_version = 0;
  shared.list.read_at = now - milliseconds(10);
  shared.echo = ClockStamp{.incarnation = 5, .at = now - milliseconds(2000)};
  CHECK(!control.SetWorkersOfShards(shared, now));
  // Sent to an earlier process of this VM.
  shared.echo = ClockStamp{.incarnation = 4, .at = now};
  CHECK(!control.SetWorkersOfShards(shared, now));
  CHECK(control.workers().at(0).leaving);
  shared.list.store_version = 21;
  shared.echo = ClockStamp{.incarnation = 5, .at = now - milliseconds(100)};
  CHECK(control.SetWorkersOfShards(shared, now));
  CHECK(!control.workers().at(0).leaving);
}

TEST(LeaseControl, starts_resume_after_a_pause_if_the_store_is_lost) {
  ClaimShardNow();
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  control.Tick(now);
  AnswerRenewals({});
  control.ownership().DidLoseStore();
  now += milliseconds(700);
  control.Submit(MakeJob("job", 1), now);
  control.Tick(now);
  AnswerRenewals({});
  CHECK_EQUAL(1, starts.size());
}

TEST(LeaseControl, worker_missing_briefly_is_kept) {
  ClaimShardNow();
  control.SetWorkers({.workers = {MakeWorker("a")}, .read_at = now}, now);
  now += milliseconds(1000);
  control.SetWorkers({.workers = {}, .read_at = now}, now);
  now += milliseconds(2000);
  control.SetWorkers({.workers = {}, .read_at = now}, now);
  CHECK_EQUAL(1, control.dispatcher().workers().size());
  now += milliseconds(1000);
  control.SetWorkers({.workers = {}, .read_at = now}, now);
  CHECK_EQUAL(0, control.dispatcher().workers().size());
}

TEST(LeaseControl, crashes_found_by_a_peer_without_store_are_known) {
  control.DidReceiveHeartbeat({.name = "peer",
                               .crashes = {{.task = "job.0.0.0",
                                            .incarnation = 1,
                                            .role = CrashRole::kAlone},
                                           {.task = "job.0.0.0",
                                            .incarnation = 2,
                                            .role = CrashRole::kAlone}}},
                              now);
  control.Submit(MakeJob("job", 1), now);
  control.Pump(now);
  CHECK_EQUAL(1U, finished.size());
  CHECK(finished[0].result.cause == JobCause::kCrashesWorkers);
}

}  // namespace mustardbank
