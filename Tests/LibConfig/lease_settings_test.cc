// Bounds of the platform in the settings of a lease entry. They guard against a
// VM that does not start because a bound has a fraction, or can't be used.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>

#include "LibConfig/lease_settings.h"

namespace leaf = boost::leaf;

namespace mustardbank {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The settings with these members, or nothing if they are refused.
std::optional<LeaseSettings> Read(const std::string& members) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<LeaseSettings>> {
        BOOST_LEAF_AUTO(document, JsonDocument::Parse(
                                      R"({
  "name": "a", "data_center": "rif", "callers": "127.0.0.1:1",
  "readiness": "127.0.0.1:2", "ip": "127.0.0.1", "peer_port": 3,
  "metrics_port": 4.0, "store": "127.0.0.1:5",
  )" + members + "}",
                                      "s.json"));
        BOOST_LEAF_AUTO(settings, LeaseSettings::Read(document));
        return settings;
      },
      [] { return std::optional<LeaseSettings>(); });
}

}  // namespace

TEST_GROUP(LeaseSettings){};

TEST(LeaseSettings, bounds_may_have_fractions) {
  const auto settings = Read(R"("grace_s": 6.5, "drain_ms": 2000.5,
      "longest_lease_ms": 1e3, "stop_ms": 50.0, "worker_heartbeat_ms": 0.5e3,
      "capacity_notice_ms": 2999.25, "configuration_ms": 1)");
  CHECK(settings->grace_period == milliseconds(6500));
  CHECK(settings->drain_time == std::chrono::microseconds(2'000'500));
  CHECK(settings->longest_lease == seconds(1));
  CHECK(settings->stop_time == milliseconds(50));
  CHECK(settings->worker_heartbeat == milliseconds(500));
  CHECK(settings->capacity_notice == std::chrono::microseconds(2'999'250));
  CHECK(settings->configuration_time == milliseconds(1));
  CHECK(settings->warnings.empty());
}

TEST(LeaseSettings, bounds_out_of_range_are_limited) {
  const auto settings = Read(R"("grace_s": 1e300, "drain_ms": 0,
      "longest_lease_ms": -5, "stop_ms": 18446744073709551615,
      "worker_heartbeat_ms": 1e-9)");
  CHECK(settings->grace_period == hours(1));
  CHECK(settings->drain_time == milliseconds(1));
  CHECK(settings->longest_lease == milliseconds(1));
  CHECK(settings->stop_time == std::chrono::minutes(10));
  CHECK(settings->worker_heartbeat == milliseconds(1));
  CHECK_EQUAL(5, settings->warnings.size());
  const auto grace = std::find_if(
      settings->warnings.begin(), settings->warnings.end(),
      [](const ConfigFault& warning) { return warning.path == "grace_s"; });
  STRCMP_EQUAL(
      "s.json:5: grace_s: expected a number from 0.001 to 3600; 3600 is used",
      grace->ToString().c_str());
}

TEST(LeaseSettings, bounds_of_another_type_are_replaced) {
  for (const char* value : {"null", "\"6\"", "true", "[6]", "{}"}) {
    const auto settings = Read(std::string("\"grace_s\": ") + value);
    CHECK_TEXT(settings.has_value(), value);
    CHECK(settings->grace_period == seconds(6));
    CHECK_EQUAL(1, settings->warnings.size());
  }
}

// What only operators write is still refused with a clear error.
TEST(LeaseSettings, other_settings_are_checked) {
  CHECK(!Read(R"("log_lines_per_second": 1.5)"));
  CHECK(!Read(R"("unconfirmed_capacity_share": 2)"));
  CHECK(!Read(R"("grace_seconds": 6)"));
  CHECK_EQUAL(400,
              Read(R"("log_lines_per_second": 4e2)")->log_lines_per_second);
}

}  // namespace mustardbank
