// Evacuations in the control state of an entry VM, each test with one failure,
// and their encodings.
#include <CppUTest/TestHarness.h>

#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/peer_codec.h"
#include "platform/registry_codec.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

const EvacuationTable kRequestedAt9{
    {"rif", {.version = 9, .is_requested = true}}};

}  // namespace

// An entry VM that owns a shard of "rif" with one worker.
// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Evacuation) {
  EventLog log{"test"};
  LeaseControl control{
      {.name = "self", .data_center = "rif", .incarnation = 5}, {}, log};
  Time now{std::chrono::seconds(100)};
  std::vector<ClaimShard> claims;
  std::vector<StartCommand> starts;
  std::vector<RenewCommand> renewals;
  std::vector<FinishJob> finished;
  int reads = 0;  // requested of the operator's table

  void setup() override {
    control.SetSinks(
        {.start = [this](StartCommand&& command) { starts.push_back(command); },
         .stop = [](StopCommand&&) {},
         .renew =
             [this](RenewCommand&& command) { renewals.push_back(command); },
         .finish = [this](FinishJob&& job) { finished.push_back(job); },
         .claim = [this](ClaimShard&& claim) { claims.push_back(claim); },
         .probe = [](ProbeDataCenter&&) {},
         .read_operator_table = [this] { ++reads; }});
    control.ownership().SetShardCount("rif", 1);
    control.Tick(now);
    now += milliseconds(700);
    control.Tick(now);
    control.ownership().DidClaim(claims.at(0), 12, now);
    control.SetWorkers(
        {.workers = {{.id = "a",
                      .service = "guide",
                      .endpoint = {.ip = 1, .port = 1},
                      .data_center = "rif",
                      .capacity = {.millicores = 64'000, .memory_mb = 1000}}},
         .read_at = now},
        now);
    Advance(milliseconds(10));
  }

  void ReadTable(const EvacuationTable& rows, std::uint64_t version,
                 Time read_began) {
    control.ReplaceEvacuations(rows, version, "read", read_began, now);
    control.Pump(now);
  }

  void Advance(Duration duration) {
    now += duration;
    control.Tick(now);
    for (const RenewCommand& renewal : std::exchange(renewals, {}))
      control.dispatcher().DidRenew(renewal, CommandAnswer::kAccepted,
                                    {.incarnation = 1, .clock_ms = 1000}, now);
    control.Pump(now);
  }

  void Submit(std::uint32_t tasks = 1) {
    control.Submit({.id = "job" + std::to_string(finished.size()),
                    .groups = {{.count = tasks,
                                .each = {.millicores = 30'000},
                                .declared_run_time = milliseconds(100)}},
                    .policy = {.name = "queue",
                               .service = "guide",
                               .stretch = 20,
                               .target_latency = milliseconds(60)},
                    .arrived = now,
                    .deadline = now + milliseconds(5000),
                    .home = "self"},
                   now);
    control.Pump(now);
  }

  void ReceiveFromPeer(const EvacuationTable& evacuations,
                       std::vector<ShardStatus> shards = {}) {
    control.ownership().DidReadMember({.name = "peer",
                                       .data_center = "rif",
                                       .endpoint = {.ip = 1, .port = 1},
                                       .incarnation = 3},
                                      now);
    control.DidReceiveHeartbeat({.name = "peer",
                                 .incarnation = 3,
                                 .load = {.capacity_millicores = 64'000},
                                 .shards = std::move(shards),
                                 .evacuations = evacuations},
                                now);
    control.Pump(now);
  }

  void CheckRefusedAsEvacuated() {
    CHECK_EQUAL(0, starts.size());
    CHECK_EQUAL(1, finished.size());
    CHECK(finished[0].result.outcome == JobOutcome::kRefused);
    CHECK(finished[0].result.cause == JobCause::kEvacuated);
  }
};

TEST(Evacuation, restarted_process_starts_nothing_before_its_first_read) {
  Submit();
  CHECK_EQUAL(0, starts.size());
  CHECK_EQUAL(0, control.MakeHeartbeat({}, now).load.capacity_millicores);
  ReadTable(kRequestedAt9, 20, now);
  CheckRefusedAsEvacuated();
}

TEST(Evacuation, restarted_process_starts_after_its_first_read) {
  Submit();
  ReadTable({}, 20, now);
  CHECK_EQUAL(1, starts.size());
}

TEST(Evacuation, owner_without_the_store_learns_from_peers) {
  ReadTable({}, 5, now);
  control.ownership().DidLoseStore();
  const std::uint64_t changes = control.evacuations().changes();
  ReceiveFromPeer(kRequestedAt9);
  CHECK(control.evacuations().changes() > changes);
  Submit();
  CheckRefusedAsEvacuated();
  // It passes the state on, and keeps its shard for the return.
  CHECK(control.MakeHeartbeat({}, now).evacuations == kRequestedAt9);
  Advance(milliseconds(900));
  CHECK(control.ownership().OwnsAny());
  ReceiveFromPeer({{"rif", {.version = 11, .is_requested = false}}});
  Submit();
  CHECK_EQUAL(1, starts.size());
}

TEST(Evacuation, paused_process_reads_again_before_it_starts) {
  ReadTable({}, 5, now);
  const Time before_pause = now;
  now += milliseconds(3000);
  Submit();
  CHECK_EQUAL(1, reads);
  CHECK_EQUAL(0, starts.size());
  // An answer that was waiting since before the pause.
  ReadTable({}, 6, before_pause);
  CHECK_EQUAL(0, starts.size());
  ReadTable(kRequestedAt9, 10, now);
  CheckRefusedAsEvacuated();
}

// A start was issued just before the pause, and its connection is ready after.
TEST(Evacuation, paused_process_does_not_send_earlier_starts) {
  ReadTable({}, 5, now);
  Submit();
  StartCommand start = starts.at(0);
  CHECK(control.MaySend(start, now));
  now += milliseconds(3000);
  start.send_before = now;
  CHECK(!control.MaySend(start, now));
}

TEST(Evacuation, outage_of_the_store_holds_starts_for_a_short_time_only) {
  ReadTable({}, 5, now);
  now += milliseconds(3000);
  Submit();
  for (int i = 0; i < 71; ++i)
    Advance(milliseconds(10));
  CHECK_EQUAL(1, starts.size());
}

// The row was removed while the feed's history was lost.
TEST(Evacuation, full_read_after_lost_history_withdraws) {
  ReadTable(kRequestedAt9, 10, now);
  ReadTable({}, 30, now);
  Submit();
  CHECK_EQUAL(1, starts.size());
}

TEST(Evacuation, late_old_withdrawal_changes_nothing) {
  ReadTable(kRequestedAt9, 10, now);
  control.ApplyEvacuation("rif", {.version = 7, .is_requested = false}, "feed",
                          now, now);
  ReceiveFromPeer({{"rif", {.version = 8, .is_requested = false}}});
  ReadTable({}, 8, now);
  Submit();
  CheckRefusedAsEvacuated();
}

// Nothing may start 5 s after the acknowledgement, so that jobs which have
// started get time for their other tasks only if the row is known to be recent.
TEST(Evacuation, old_request_allows_no_last_starts) {
  ReadTable({}, 5, now);
  Submit(3);
  CHECK_EQUAL(2, starts.size());
  control.ApplyEvacuation("rif", kRequestedAt9.at("rif"), "feed",
                          now - milliseconds(3600), now);
  CHECK(!control.MaySend(starts[0], now));
  Advance(milliseconds(10));
  CHECK_EQUAL(1, finished.size());
  CHECK(finished[0].result.outcome == JobOutcome::kGivenUp);
}

TEST(Evacuation, recent_request_allows_last_starts) {
  ReadTable({}, 5, now);
  Submit(3);
  control.ApplyEvacuation("rif", kRequestedAt9.at("rif"), "feed",
                          now - milliseconds(2000), now);
  CHECK(control.MaySend(starts[0], now));
  Advance(milliseconds(290));
  CHECK_EQUAL(0, finished.size());
}

// Its report of free capacity may be older than the request.
TEST(Evacuation, home_sends_no_job_to_evacuated_owners) {
  control.ownership().SetShardCount("tanger", 1);
  ReadTable({}, 5, now);
  ReceiveFromPeer({}, {{.shard = {.data_center = "tanger"}}});
  CHECK_EQUAL(2, control.Owners(now).size());
  control.ApplyEvacuation("tanger", {.version = 8, .is_requested = true},
                          "feed", now, now);
  CHECK_EQUAL(1, control.Owners(now).size());
  CHECK(!control.IsAllEvacuated());
  CHECK(control.OwnsUsableShard());
  control.ApplyEvacuation("rif", kRequestedAt9.at("rif"), "feed", now, now);
  CHECK_EQUAL(0, control.Owners(now).size());
  CHECK(control.IsAllEvacuated());
  CHECK(!control.OwnsUsableShard());
}

TEST(Evacuation, request_for_an_unknown_data_center_stops_nothing_else) {
  ReadTable({{"atlantis", {.version = 9, .is_requested = true}}}, 10, now);
  Submit();
  CHECK_EQUAL(1, starts.size());
  CHECK(!control.IsAllEvacuated());
}

TEST(Evacuation, heartbeat_carries_evacuations_only_if_there_are_any) {
  Heartbeat heartbeat{.name = "vm", .evacuations = kRequestedAt9};
  heartbeat.evacuations["tanger"] = {.version = 11, .is_requested = false};
  const auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  CHECK(decoded->evacuations == heartbeat.evacuations);
  // As from an earlier build, which ignores the field.
  const std::string without = EncodeHeartbeat({.name = "vm"});
  CHECK(without.find("evacuations") == std::string::npos);
  CHECK(DecodeHeartbeat(without)->evacuations.empty());
}

// An earlier build takes an answer with an unknown cause for a lost one.
TEST(Evacuation, refusal_is_understood_by_earlier_builds) {
  const std::string text = EncodeJobAnswer(
      {{.outcome = JobOutcome::kRefused, .cause = JobCause::kEvacuated}, {}});
  CHECK(text.find("\"handed_over\"") != std::string::npos);
  CHECK(DecodeJobAnswer(text)->result.cause == JobCause::kEvacuated);
}

TEST(Evacuation, rows_are_decoded) {
  const auto decode = [](const std::string& key, const std::string& value,
                         bool deleted = false) {
    return platform::DecodeEvacuation(
        {.key = key, .value = value, .version = 9, .deleted = deleted});
  };
  const auto request = decode("evacuate/rif", "{}");
  CHECK_EQUAL("rif", request->data_center);
  CHECK(request->evacuation == kRequestedAt9.at("rif"));
  CHECK(!request->is_value_unreadable);
  CHECK(!decode("evacuate/rif", "", true)->evacuation.is_requested);
  for (const char* value : {"", "no", "[]", "{"}) {
    CHECK(decode("evacuate/rif", value)->is_value_unreadable);
    CHECK(decode("evacuate/rif", value)->evacuation.is_requested);
  }
  for (const std::string& key :
       {std::string("evacuate/"), std::string("evacuate/a/b"),
        std::string("evacuate/a b"), "evacuate/" + std::string(65, 'x')})
    CHECK(!decode(key, "{}"));
}

TEST(Evacuation, cold_time_is_decoded) {
  const auto decode = [](const std::string& cold) {
    return platform::DecodeWorker(
               {.key = "a",
                .value = R"({"service":"guide","address":"127.0.0.1:1",)"
                         R"("zone":"rif","state":"ready","labels":[],)"
                         R"("born":1,"capacity":{"cpu":16000,"memMb":1000})" +
                         cold + "}"})
        ->cold;
  };
  CHECK(decode("").IsOver());
  CHECK(decode(R"(,"coldRemainingMs":0)").IsOver());
  CHECK(decode(R"(,"coldRemainingMs":-5)").IsOver());
  CHECK(decode(R"(,"coldRemainingMs":2500)").remaining == milliseconds(2500));
  WorkerEntry entry{.id = "a",
                    .service = "guide",
                    .endpoint = {.ip = 1, .port = 1},
                    .data_center = "rif",
                    .cold = {milliseconds(2500)}};
  const auto shared = DecodeWorkerList(
      EncodeWorkerList({.list = {.workers = {entry}}}, Time()), Time());
  CHECK(shared->list.workers.at(0).cold.remaining == milliseconds(2500));
}

}  // namespace mustardbank
