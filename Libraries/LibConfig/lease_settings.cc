#include "LibConfig/lease_settings.h"

#include <boost/leaf/error.hpp>

#include "LibConfig/json_reader.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::uint64_t kMaxMs = 600'000;
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
  const auto read = [&reader](std::string_view key, std::uint32_t& value,
                              std::uint64_t maximum) {
    value = static_cast<std::uint32_t>(
        reader.OptionalInteger(key, value, 1, maximum));
  };
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
  read("memory_mb", settings.memory_mb, 1'048'576);
  read("longest_lease_ms", settings.longest_lease_ms, kMaxMs);
  read("stop_ms", settings.stop_ms, kMaxMs);
  read("grace_s", settings.grace_s, 3600);
  read("drain_ms", settings.drain_ms, kMaxMs);
  read("configuration_ms", settings.configuration_ms, kMaxMs);
  read("worker_heartbeat_ms", settings.worker_heartbeat_ms, kMaxMs);
  read("capacity_notice_ms", settings.capacity_notice_ms, kMaxMs);
  settings.unconfirmed_capacity_share = reader.OptionalNumber(
      "unconfirmed_capacity_share", settings.unconfirmed_capacity_share, 0, 1);
  read("log_lines_per_second", settings.log_lines_per_second, 1'000'000);
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
