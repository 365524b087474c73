// The configuration of a deployment, which operators store on the platform:
// teams with quotas, operators and services. Its version only increases.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfig/json_document.h"

namespace mustardbank {

// One kind of request that a service accepts.
struct RequestKind {
  std::string name;
  bool idempotent = true;
  std::uint32_t declared_ms = 0;  // expected run time until one is measured
  std::uint32_t timeout_ms = 0;   // longest run time of one attempt
};

struct ServiceConfiguration {
  std::string name;
  std::vector<std::string> teams;   // teams that may submit jobs
  std::vector<std::string> places;  // data centres where tasks may run
  // A job is refused if its expected wait for a slot exceeds either tolerance.
  // The relative one is in thousandths of the ideal response time.
  std::uint32_t delay_tolerance_ms = 0;
  std::uint32_t delay_tolerance_permille = 0;
  bool accelerator = false;
  std::uint32_t cores = 1;
  std::uint32_t memory_gb = 1;
  // Whether an idempotent task may be retried once its failed attempt is known
  // to have ended.
  bool retry_failed = false;
  std::map<std::string, RequestKind, std::less<>> requests;
};

struct TeamConfiguration {
  std::string name;
  std::vector<std::string> token_sha256;
  std::uint32_t slots = 0;  // concurrent tasks allowed in the whole deployment
};

struct OperatorConfiguration {
  std::string name;
  std::string token_sha256;
};

struct Configuration {
  std::uint64_t version = 0;
  std::string change_id;  // unique to each change
  std::map<std::string, TeamConfiguration, std::less<>> teams;
  std::map<std::string, OperatorConfiguration, std::less<>> operators;
  std::map<std::string, ServiceConfiguration, std::less<>> services;

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<Configuration> Read(const JsonDocument& document);
  static boost::leaf::result<Configuration> Parse(std::string_view text,
                                                  std::string file);

  // Returns the team or operator whose token has this digest, or nullptr.
  const TeamConfiguration* FindTeam(std::string_view token_sha256) const;
  const OperatorConfiguration* FindOperator(
      std::string_view token_sha256) const;
};

inline constexpr std::uint32_t kMaxTasksPerJob = 250;

}  // namespace mustardbank
