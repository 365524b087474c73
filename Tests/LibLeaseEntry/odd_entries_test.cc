// Entries of other writers among those of the workers. They guard against VMs
// that end, stop following the list or lose a whole list for one entry, and
// against workers that no worker has registered.
#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>

#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/peer_codec.h"
#include "message_mutator.h"
#include "platform/registry_codec.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

// The limit of a message between VMs.
constexpr std::size_t kMessageBytes = 512 * 1024;

json::object MakeEntry() {
  return {{"service", "guide"},
          {"address", "10.0.0.1:80"},
          {"zone", "rif"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"coldRemainingMs", 0},
          {"capacity", {{"cpu", 16000}, {"memMb", 64000}, {"gpu", 0}}},
          {"labels", json::array{"a", "rack"}},
          {"born", 1'700'000'000'000},
          {"clockMs", 482'113},
          {"sequence", 4}};
}

std::string Nested(int levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::optional<WorkerEntry> Decode(const std::string& key,
                                  const std::string& value) {
  const auto entry = platform::DecodeWorker({.key = key, .value = value});
  return entry ? std::optional(*entry) : std::nullopt;
}

// The entry with another value of a field, which may be any text.
std::string With(const std::string& field, const std::string& value) {
  json::object entry = MakeEntry();
  entry.erase(field);
  std::string text = json::serialize(entry);
  text.pop_back();
  return text + ",\"" + field + "\":" + value + "}";
}

std::string Without(const std::string& field) {
  json::object entry = MakeEntry();
  entry.erase(field);
  return json::serialize(entry);
}

std::vector<std::string> OddEntries() {
  std::vector<std::string> entries{"",   "{",          "null",
                                   "[]", "\xff\xfe{}", Nested(10'000)};
  for (const char* field :
       {"service", "address", "zone", "state", "capacity", "labels", "born"})
    entries.push_back(Without(field));
  for (const char* field :
       {"service", "address", "zone", "state", "version", "capacity", "labels",
        "born", "slots", "sequence", "coldRemainingMs", "clockMs"}) {
    for (const std::string& value :
         {std::string("null"), std::string("true"), std::string("{}"),
          Nested(31), Nested(10'000), std::string("[[1]]"),
          std::string("\"\xc3\x28\"")})
      entries.push_back(With(field, value));
  }
  for (const char* port : {"0", "65536", "99999999999999999999", "-1", "", "x"})
    entries.push_back(
        With("address", "\"10.0.0.1:" + std::string(port) + "\""));
  for (const char* born : {"-1", "0.5", "1e300", "1e999", "\"1700000000000\"",
                           "18446744073709551616"})
    entries.push_back(With("born", born));
  for (const char* amount : {"-1", "1e300", "1.5", "\"16000\"", "null"})
    entries.push_back(With(
        "capacity", R"({"cpu":)" + std::string(amount) + R"(,"memMb":1})"));
  for (const char* text : {"\"\"", "\"a\\nb\"", "\"a/b\""})
    entries.push_back(With("zone", text));
  entries.push_back(With("zone", '"' + std::string(60'000, 'z') + '"'));
  entries.push_back(With("service", "\"\""));
  entries.push_back(With("service", '"' + std::string(60'000, 's') + '"'));
  entries.push_back(With("state", "\"resting\""));
  entries.push_back(With("labels", R"(["a",3])"));
  entries.push_back(With("labels", "[\"" + std::string(60'000, 'l') + "\"]"));
  entries.push_back(With("clockMs", "1e30"));
  entries.push_back(With("clockMs", "-5"));
  return entries;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(OddEntries) {
  EventLog log{"test"};
  Time now{std::chrono::seconds(100)};

  // Reads the rows as one VM does, and passes the list to another one.
  std::vector<std::string> WorkersAtPeer(const std::vector<StoreRow>& rows) {
    LeaseControl reader{{.name = "reader", .data_center = "rif"}, {}, log};
    WorkerList list{.store_version = 7, .read_at = now};
    for (const StoreRow& row : rows) {
      if (const auto entry = platform::DecodeWorker(row))
        list.workers.push_back(*entry);
    }
    reader.ownership().SetShardCount("rif", 1);
    reader.SetWorkers(list, now);
    const ShardId shard{.data_center = "rif", .index = 0};
    const std::string message = EncodeWorkerList(
        {.list = reader.WorkersOf({shard}), .shards = {shard}}, now);
    CHECK(message.size() < kMessageBytes);
    const auto shared = DecodeWorkerList(message, now);
    CHECK(shared.has_value());
    CHECK_EQUAL(0, shared->unusable);
    LeaseControl owner{{.name = "owner", .data_center = "rif"}, {}, log};
    owner.SetWorkersOfShards(*shared, now);
    std::vector<std::string> ids;
    for (const WorkerEntry& entry : owner.workers())
      ids.push_back(entry.id);
    return ids;
  }
};

TEST(OddEntries, name_no_worker) {
  CHECK(Decode("good", json::serialize(MakeEntry())).has_value());
  // Whole numbers may be spelled as doubles.
  CHECK(Decode("good", With("born", "1.7e12")).has_value());
  for (const std::string& value : OddEntries())
    CHECK_TEXT(!Decode("odd", value), value.substr(0, 300).c_str());
  const std::string value = json::serialize(MakeEntry());
  CHECK(!Decode("", value));
  CHECK(!Decode("a\nb", value));
  CHECK(!Decode(std::string(201, 'k'), value));
}

// A good list and one drawn entry: the others are used as without it.
TEST(OddEntries, leave_the_others_in_use) {
  const std::string good = json::serialize(MakeEntry());
  MessageMutator mutator(52);
  std::vector<std::string> odd = OddEntries();
  for (int i = 0; i < MutationCount(); ++i)
    odd.push_back(mutator.Mutate(good));
  for (const std::string& value : odd) {
    const std::vector<std::string> ids =
        WorkersAtPeer({{.key = "a", .value = good},
                       {.key = "b-odd", .value = value},
                       {.key = "c", .value = good}});
    CHECK_TEXT(ids.size() >= 2 && ids.front() == "a" && ids.back() == "c",
               value.substr(0, 300).c_str());
  }
}

// A reader of an earlier build passes them on.
TEST(OddEntries, in_the_list_of_a_peer_hide_no_others) {
  const json::object good{{"id", "a"},          {"service", "guide"},
                          {"dc", "rif"},        {"endpoint", "10.0.0.1:80"},
                          {"millicores", 1000}, {"memory_mb", 1000},
                          {"accelerators", 0},  {"labels", json::array{"a"}},
                          {"leaving", false},   {"incarnation", 5},
                          {"clock_ms", 7}};
  const std::vector<json::object> changes{{{"endpoint", "10.0.0.1:99999"}},
                                          {{"endpoint", "10.0.0.1:0"}},
                                          {{"service", ""}},
                                          {{"dc", std::string(5000, 'z')}},
                                          {{"millicores", -1}},
                                          {{"labels", 3}},
                                          {{"incarnation", -1}},
                                          {{"leaving", nullptr}},
                                          {{"cold_us", 1e30}},
                                          {{"clock_ms", "7"}}};
  for (const json::object& change : changes) {
    json::object odd = good;
    odd["id"] = "odd";
    const std::string field = change.begin()->key();
    odd[field] = change.begin()->value();
    json::object last = good;
    last["id"] = "z";
    const auto shared = DecodeWorkerList(
        json::serialize(
            json::object{{"age_us", 0},
                         {"shards", json::array{}},
                         {"workers", json::array{good, odd, last, nullptr}}}),
        now);
    CHECK_TEXT(shared.has_value(), field.c_str());
    CHECK_EQUAL(2, shared->list.workers.size());
    CHECK_EQUAL(2, shared->unusable);
  }
}

}  // namespace mustardbank
