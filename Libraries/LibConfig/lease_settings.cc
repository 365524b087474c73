#include "LibConfig/lease_settings.h"

#include <boost/leaf/error.hpp>

#include "LibConfig/json_reader.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

struct Bound {
  std::string_view key;
  Duration unit;
  Duration most;
  Duration LeaseSettings::*member;
};

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kMostBound = std::chrono::minutes(10);
constexpr Bound kBounds[] = {
    {"longest_lease_ms", kMillisecond, kMostBound,
     &LeaseSettings::longest_lease},
    {"stop_ms", kMillisecond, kMostBound, &LeaseSettings::stop_time},
    {"grace_s", kSecond, std::chrono::hours(1), &LeaseSettings::grace_period},
    {"drain_ms", kMillisecond, kMostBound, &LeaseSettings::drain_time},
    {"configuration_ms", kMillisecond, kMostBound,
     &LeaseSettings::configuration_time},
    {"worker_heartbeat_ms", kMillisecond, kMostBound,
     &LeaseSettings::worker_heartbeat},
    {"capacity_notice_ms", kMillisecond, kMostBound,
     &LeaseSettings::capacity_notice},
};
constexpr std::uint64_t kMaxPort = 65'535;

double ReadCores(JsonObjectReader& reader) {
  double share = 1;
  double speed = 1;
  reader.Object("processors", [&](JsonObjectReader& processors) {
    share = processors.OptionalNumber("share", 1, 0.001, 1024);
    speed = processors.OptionalNumber("speed", 1, 0.001, 1024);
  });
  return share * speed;
}

}  // namespace

leaf::result<LeaseSettings> LeaseSettings::Read(const JsonDocument& document) {
  std::vector<ConfigFault> faults;
  JsonObjectReader reader(document, document.root(), "", faults);
  LeaseSettings settings;
  settings.name = reader.RequiredString("name");
  settings.data_center = reader.RequiredString("data_center");
  settings.callers = reader.RequiredEndpoint("callers");
  settings.readiness = reader.RequiredEndpoint("readiness");
  const Endpoint address =
      reader.ToEndpoint("ip", reader.RequiredString("ip") + ":0");
  settings.peers = {address.ip,
                    static_cast<std::uint16_t>(
                        reader.RequiredInteger("peer_port", 0, kMaxPort))};
  settings.metrics = {address.ip,
                      static_cast<std::uint16_t>(
                          reader.RequiredInteger("metrics_port", 0, kMaxPort))};
  settings.store = reader.RequiredEndpoint("store");
  if (reader.Has("processors"))
    settings.cores = ReadCores(reader);
  settings.memory_mb =
      reader.OptionalNumber("memory_mb", settings.memory_mb, 1, 1'048'576);
  for (const Bound& bound : kBounds) {
    Duration& value = settings.*bound.member;
    value = reader.OptionalDuration(
        bound.key, bound.unit,
        {.fallback = value, .least = kMillisecond, .most = bound.most},
        settings.warnings);
  }
  settings.unconfirmed_capacity_share = reader.OptionalNumber(
      "unconfirmed_capacity_share", settings.unconfirmed_capacity_share, 0, 1);
  settings.log_lines_per_second =
      static_cast<std::uint32_t>(reader.OptionalInteger(
          "log_lines_per_second", settings.log_lines_per_second, 1, 1'000'000));
  settings.queue_shares =
      reader.OptionalBool("queue_shares", settings.queue_shares);
  reader.Finish();
  if (!faults.empty())
    return leaf::new_error(ConfigError{std::move(faults)});
  return settings;
}

leaf::result<LeaseSettings> LeaseSettings::Load(const std::string& file) {
  BOOST_LEAF_AUTO(document, JsonDocument::Load(file));
  return Read(document);
}

}  // namespace mustardbank
