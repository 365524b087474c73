#include <CppUTest/TestHarness.h>

#include "LibLeaseEntry/peer_codec.h"
#include "LibLeaseEntry/store_records.h"

namespace mustardbank {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(PeerCodec){static StoreRow RowOf(const RowChange& change){
    return {.table = change.table, .key = change.key, .value = change.value};
}  // namespace mustardbank
}
;

TEST(PeerCodec, learned_queues_survive_the_store) {
  const LearnedQueues queues{
      {"sheets",
       {.run_times = {.log_run_time = 4.1, .log_error = -0.25, .samples = 812},
        .timeouts = {.mean_timeout = 1970.5,
                     .mean_expected = 61.25,
                     .variance_expected = 400,
                     .covariance = 1600,
                     .deviation = 55.5,
                     .samples = 120},
        .demand = {.load = 0.125,
                   .peak_millicores = 216'000,
                   .run_ms = 61.5,
                   .seconds = 3600}}}};
  const auto decoded =
      DecodeLearnedQueues(RowOf(EncodeLearnedQueues("llandeilo", queues)));
  CHECK(decoded == queues);
}

TEST(PeerCodec, rows_with_very_many_queues_stay_small) {
  LearnedQueues queues;
  const std::string name(180, 'q');
  for (std::uint32_t i = 0; i < 5000; ++i)
    queues[name + std::to_string(i)] = {
        .run_times = {.log_run_time = 1.0 / 3, .samples = i},
        .timeouts = {.mean_timeout = 1e5 / 3, .mean_expected = 1e4 / 3}};
  const RowChange change = EncodeLearnedQueues("llandeilo", queues);
  // The platform's limit is on the text in base64.
  CHECK(change.value.size() * 4 / 3 < 65'536);
  const auto decoded = DecodeLearnedQueues(RowOf(change));
  CHECK(decoded->contains(name + "4999"));
}

TEST(PeerCodec, unreadable_rows_of_learned_queues_are_reported) {
  for (const char* value :
       {"", "[]", "{\"sheets\":3}", "{\"sheets\":{\"run_time\":[1,2]}}",
        "{\"sheets\":{\"run_time\":[1,2,3],\"timeout\":[1,2,3,4,5,\"\"]}}"})
    CHECK(!DecodeLearnedQueues({.key = "llandeilo", .value = value}));
}

TEST(PeerCodec, learned_classes_survive_the_store) {
  const LearnedClasses classes{
      {"old", {.mean_log_factor = 0.61, .deviation = 0.04, .workers = 8}},
      {"64000 millicores",
       {.mean_log_factor = -0.2, .deviation = 0.1, .workers = 16}}};
  const StoreRow row = RowOf(EncodeLearnedClasses("llandeilo", classes));
  CHECK(HoldsLearnedClasses(row));
  CHECK(DecodeLearnedClasses(row) == classes);
  CHECK(!HoldsLearnedClasses(RowOf(EncodeLearnedQueues("llandeilo", {}))));
  // Earlier builds read all rows as rows of queues.
  CHECK(!DecodeLearnedQueues(row));
}

// A label of any length must not push out the row or the other classes.
TEST(PeerCodec, rows_with_very_many_classes_stay_small) {
  LearnedClasses classes;
  for (std::uint32_t i = 0; i < 3000; ++i)
    classes["\x01rack" + std::to_string(i)] = {.mean_log_factor = 1.0 / 3,
                                               .workers = i};
  classes[std::string(20'000, 'r')] = {.workers = 5000};
  const RowChange change = EncodeLearnedClasses("llandeilo", classes);
  CHECK(change.value.size() < 10'100);
  CHECK(DecodeLearnedClasses(RowOf(change))->contains("\x01rack2999"));
}

TEST(PeerCodec, unreadable_rows_of_learned_classes_are_reported) {
  for (const char* value :
       {"", "[]", "{}", "{\"classes\":3}", "{\"classes\":{\"old\":3}}",
        "{\"classes\":{\"old\":[1,2]}}", "{\"classes\":{\"old\":[-1,0.1,0.1]}}",
        "{\"classes\":{\"old\":[8,\"\",0.1]}}"})
    CHECK(!DecodeLearnedClasses(
        {.key = "worker_classes/llandeilo", .value = value}));
}

// Guards against a wrong demand that takes the run times of its row with it.
TEST(PeerCodec, unreadable_demand_leaves_the_rest_of_the_row) {
  for (const char* demand : {"3", "{}", "[]", "[0.1,2]", "[0.1,2,3,\"4\"]",
                             "[null,2,3,4]", "[-1,2,3,4]", "[0.1,2,3,1e300]"}) {
    const auto queues = DecodeLearnedQueues(
        {.key = "llandeilo",
         .value = std::string("{\"sheets\":{\"run_time\":[812,4.1,-0.25],"
                              "\"timeout\":[1,2,3,4,5,6],\"demand\":") +
                  demand + "}}"});
    CHECK(queues.has_value());
    CHECK_EQUAL(812U, queues->at("sheets").run_times.samples);
    CHECK(!queues->at("sheets").demand.IsPlausible());
  }
}

TEST(PeerCodec, introduction_survives_a_heartbeat) {
  const auto heartbeat = DecodeHeartbeat(EncodeHeartbeat(
      {.name = "entry",
       .introduction = Introduction{.data_center = "rif",
                                    .endpoint = {.ip = 0x7F000001, .port = 9},
                                    .power = 0.25}}));
  CHECK_EQUAL("rif", heartbeat->introduction->data_center);
  CHECK_EQUAL(9, heartbeat->introduction->endpoint.port);
  DOUBLES_EQUAL(0.25, heartbeat->introduction->power, 1e-9);
  CHECK(!DecodeHeartbeat(EncodeHeartbeat({.name = "entry"}))->introduction);
}

TEST(PeerCodec, crashes_survive_a_row_and_a_heartbeat) {
  const CrashRecord record{.task = "job.0.0.3",
                           .incarnation = 0xFFFF'FFFF'FFFF'FFF1U,
                           .role = CrashRole::kNewest,
                           .is_certain = false};
  const RowChange change = EncodeCrash({.record = record});
  const auto read = DecodeCrash(
      {.table = change.table, .key = change.key, .value = change.value});
  CHECK(read.has_value());
  CHECK(*read == record);
  const auto heartbeat = DecodeHeartbeat(
      EncodeHeartbeat({.name = "entry", .crashes = {record, record}}));
  CHECK(heartbeat.has_value());
  CHECK_EQUAL(2U, heartbeat->crashes.size());
  CHECK(heartbeat->crashes[1] == record);
}

TEST(PeerCodec, malformed_rows_of_crashes_are_unreadable) {
  const std::string good = R"({"role":"alone","certain":true})";
  CHECK(DecodeCrash({.key = "crash/a/5", .value = good}).has_value());
  for (const char* key :
       {"crash/", "crash/a", "crash/a/", "crash/a/x", "other"})
    CHECK(!DecodeCrash({.key = key, .value = good}).has_value());
  for (const char* value :
       {"", "[]", "{}", R"({"role":"x","certain":true})", R"({"role":"alone"})",
        R"({"role":1,"certain":true})", R"({"role":"alone","certain":1})"})
    CHECK(!DecodeCrash({.key = "crash/a/5", .value = value}).has_value());
}

}  // namespace mustardbank
