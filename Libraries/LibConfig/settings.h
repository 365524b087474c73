// Settings of one entry process: addresses, data centre, limits and timing.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "LibConfig/json_document.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

// How an entry VM picks the worker of a task.
enum class Placement { kHomeLending, kLeastLoaded, kRandom };

inline constexpr EnumNames<Placement, 3> kPlacementNames{
    {"home_lending", "least_loaded", "random"}};

struct Limits {
  std::uint32_t traffic_threads = 2;
  std::uint32_t caller_connections = 4'096;
  std::uint32_t body_bytes = 4 * 1024 * 1024;
  std::uint32_t header_timeout_ms = 5'000;
  std::uint32_t jobs = 100'000;          // unfinished jobs
  std::uint32_t queued_tasks = 200'000;  // tasks waiting for a slot
  std::uint32_t answers_kept = 200'000;  // answers of ended jobs
  std::uint32_t answer_megabytes = 48;   // total size of these answers
  std::uint32_t answer_kept_ms = 600'000;
  std::uint32_t key_kept_ms = 3'600'000;  // retention of idempotency keys
  std::uint32_t drain_ms = 30'000;        // longest wait for jobs when stopping
};

struct Timing {
  // Longest pause of the process after which it keeps its incarnation.
  std::uint32_t pause_lease_ms = 5'000;
  std::uint32_t heartbeat_ms = 200;
  // A peer from which no message arrives for this long counts as not live.
  std::uint32_t peer_silence_ms = 2'000;
  std::uint32_t platform_poll_ms = 1'000;
  // Time after which an idle borrowed slot is returned to the worker's home,
  // the entry VM that allots the worker's slots.
  std::uint32_t loan_idle_ms = 1'000;
};

struct Settings {
  std::string name;
  std::string data_center;
  Endpoint callers;
  Endpoint operators;
  Endpoint peers;
  std::vector<Endpoint> peer_seeds;
  Endpoint platform;
  std::string job_id_key;
  std::string log_directory;  // if empty, logs go to standard error
  Placement placement = Placement::kHomeLending;
  Limits limits;
  Timing timing;

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<Settings> Read(const JsonDocument& document);
  static boost::leaf::result<Settings> Load(const std::string& file);
};

}  // namespace mustardbank
