#include "LibConfig/settings.h"

#include <boost/leaf/error.hpp>

#include "LibConfig/json_reader.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::size_t kMinKeyBytes = 16;

void ReadLimits(JsonObjectReader& reader, Limits& limits) {
  const auto read = [&reader](std::string_view key, std::uint32_t& value,
                              std::uint64_t maximum) {
    value = reader.OptionalInteger(key, value, 1, maximum);
  };
  read("traffic_threads", limits.traffic_threads, 64);
  read("caller_connections", limits.caller_connections, 1'000'000);
  read("body_bytes", limits.body_bytes, 256 * 1024 * 1024);
  read("header_timeout_ms", limits.header_timeout_ms, 600'000);
  read("jobs", limits.jobs, 10'000'000);
  read("queued_tasks", limits.queued_tasks, 100'000'000);
  read("answers_kept", limits.answers_kept, 100'000'000);
  read("answer_megabytes", limits.answer_megabytes, 65'536);
  read("answer_kept_ms", limits.answer_kept_ms, 86'400'000);
  read("key_kept_ms", limits.key_kept_ms, 86'400'000);
  read("drain_ms", limits.drain_ms, 3'600'000);
}

void ReadTiming(JsonObjectReader& reader, Timing& timing) {
  constexpr std::uint64_t kMaxMs = 600'000;
  const auto read = [&reader](std::string_view key, std::uint32_t& value) {
    value = reader.OptionalInteger(key, value, 10, kMaxMs);
  };
  read("pause_lease_ms", timing.pause_lease_ms);
  read("heartbeat_ms", timing.heartbeat_ms);
  read("peer_silence_ms", timing.peer_silence_ms);
  read("platform_poll_ms", timing.platform_poll_ms);
  read("loan_idle_ms", timing.loan_idle_ms);
  if (timing.peer_silence_ms < 2 * timing.heartbeat_ms)
    reader.Fault("peer_silence_ms", "expected at least twice heartbeat_ms");
}

}  // namespace

leaf::result<Settings> Settings::Read(const JsonDocument& document) {
  std::vector<ConfigFault> faults;
  JsonObjectReader reader(document, document.root(), "", faults);
  Settings settings;
  settings.name = reader.RequiredString("name");
  settings.data_center = reader.RequiredString("data_center");
  settings.callers = reader.RequiredEndpoint("callers");
  settings.operators = reader.RequiredEndpoint("operators");
  settings.peers = reader.RequiredEndpoint("peers");
  for (const std::string& seed : reader.OptionalStrings("peer_seeds"))
    settings.peer_seeds.push_back(reader.ToEndpoint("peer_seeds", seed));
  settings.platform = reader.RequiredEndpoint("platform");
  settings.job_id_key = reader.RequiredString("job_id_key");
  if (settings.job_id_key.size() < kMinKeyBytes)
    reader.Fault("job_id_key", "expected a secret of at least 16 bytes");
  settings.log_directory = reader.OptionalString("log_directory", "");
  const std::string placement = reader.OptionalString(
      "placement", std::string(kPlacementNames[settings.placement]));
  if (const auto found = kPlacementNames.Find(placement))
    settings.placement = *found;
  else
    reader.Fault("placement", "expected home_lending, least_loaded or random");
  if (reader.Has("limits")) {
    reader.Object("limits", [&](JsonObjectReader& limits) {
      ReadLimits(limits, settings.limits);
    });
  }
  if (reader.Has("timing")) {
    reader.Object("timing", [&](JsonObjectReader& timing) {
      ReadTiming(timing, settings.timing);
    });
  }
  reader.Finish();
  if (!faults.empty())
    return leaf::new_error(ConfigError{std::move(faults)});
  return settings;
}

leaf::result<Settings> Settings::Load(const std::string& file) {
  BOOST_LEAF_AUTO(document, JsonDocument::Load(file));
  return Read(document);
}

}  // namespace mustardbank
