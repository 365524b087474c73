// Tests of settings, configuration, questionnaire and inventory.
#include <CppUTest/TestHarness.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>

#include "LibConfig/configuration.h"
#include "LibConfig/inventory.h"
#include "LibConfig/questionnaire.h"
#include "LibConfig/settings.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

// Returns the faults that `read` reports, or "" if it succeeds.
template <typename Read>
std::string FaultsOf(const Read& read) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(read());
        return std::string();
      },
      [](const ConfigError& error) { return error.ToString(); },
      [] { return std::string("another error"); });
}

std::string SettingsFaults(const std::string& text) {
  return FaultsOf([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(document, JsonDocument::Parse(text, "s.json"));
    BOOST_LEAF_CHECK(Settings::Read(document));
    return {};
  });
}

const std::string kSettings = R"({
  // a comment
  "name": "entry-1", "data_center": "rif",
  "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3",
  "platform": "127.0.0.1:4",
  "job_id_key": "0123456789abcdef")";

}  // namespace

TEST_GROUP(SettingsFiles){};

TEST(SettingsFiles, with_comments_are_read) {
  STRCMP_EQUAL("", SettingsFaults(kSettings + "\n}").c_str());
}

TEST(SettingsFiles, faults_name_line_path_and_expected_value) {
  const std::string faults = SettingsFaults(
      kSettings +
      ",\n  \"limits\": {\n    \"jobs\": 0,\n    \"jbos\": 1\n  }\n}");
  STRCMP_CONTAINS("s.json:8: limits.jobs: expected an integer from 1",
                  faults.c_str());
  STRCMP_CONTAINS("s.json:9: limits.jbos: unknown key", faults.c_str());
}

TEST(SettingsFiles, malformed_json_is_reported_with_its_line) {
  STRCMP_CONTAINS("s.json:2: document: expected valid JSON",
                  SettingsFaults("{\n  \"name\" 1\n}").c_str());
}

TEST_GROUP(Configurations){};

TEST(Configurations, with_unknown_teams_are_rejected) {
  const std::string faults = FaultsOf([]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(Configuration::Parse(
        R"({"services": [{"name": "s", "teams": ["t"], "places": ["p"],
            "requests": [{"name": "r"}]}]})",
        "c.json"));
    return {};
  });
  STRCMP_CONTAINS("names the team t, which is not configured", faults.c_str());
}

TEST(Configurations, generated_from_answers_are_valid) {
  const std::string answers =
      R"({"teams": [{"name": "t", "token": "x", "slots": 3}],
          "services": [{"name": "s", "teams": ["t"], "places": ["p"],
            "lateness": "danger", "requests": [
              {"name": "a"}, {"name": "b", "may_run_twice": false}]}]})";
  const std::string faults = FaultsOf([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(document, JsonDocument::Parse(answers, "a.json"));
    BOOST_LEAF_AUTO(read, Answers::Read(document));
    BOOST_LEAF_AUTO(configuration,
                    Configuration::Parse(MakeConfiguration(read), "c.json"));
    const ServiceConfiguration& service = configuration.services.at("s");
    CHECK_TRUE(service.requests.at("a").idempotent);
    CHECK_FALSE(service.requests.at("b").idempotent);
    CHECK_FALSE(service.retry_failed);
    LONGS_EQUAL(3, configuration.teams.at("t").slots);
    return {};
  });
  STRCMP_EQUAL("", faults.c_str());
}

TEST_GROUP(Inventories){};

TEST(Inventories, round_trip_and_merge) {
  const std::string faults = FaultsOf([]() -> leaf::result<void> {
    Inventory inventory;
    inventory.version = 2;
    inventory.vms["w"] = VmRecord{.name = "w",
                                  .data_center = "rif",
                                  .rack = "r",
                                  .endpoint = {.ip = 1, .port = 2}};
    BOOST_LEAF_AUTO(read, Inventory::Parse(inventory.ToJson()));
    LONGS_EQUAL(2, read.version);
    Inventory changes;
    changes.version = 3;
    changes.vms["w"] = read.vms["w"];
    changes.vms["w"].state = VmState::kLeaving;
    read.Merge(std::move(changes));
    LONGS_EQUAL(3, read.version);
    CHECK_TRUE(read.vms["w"].state == VmState::kLeaving);
    return {};
  });
  STRCMP_EQUAL("", faults.c_str());
}

}  // namespace mustardbank
