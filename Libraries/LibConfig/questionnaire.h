// Generates a configuration from a new team's answers about its requests, data
// centres and tolerance for delay. A comment gives the reason of each setting.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "LibConfig/json_document.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

// What a late answer costs the callers.
enum class DelayCost { kDanger, kIdleness, kNuisance };
inline constexpr EnumNames<DelayCost, 3> kDelayCostNames{
    {"danger", "idleness", "nuisance"}};

struct RequestAnswers {
  std::string name;
  bool may_run_twice = true;         // whether a second run is harmless
  std::uint32_t usual_ms = 200;      // usual run time
  std::uint32_t longest_ms = 2'000;  // longest expected run time
};

struct ServiceAnswers {
  std::string name;
  std::vector<std::string> teams;
  std::vector<std::string> places;
  DelayCost delay_cost = DelayCost::kIdleness;
  std::uint32_t longest_wait_ms = 5'000;  // how long callers wait for a start
  // Whether a failed task may start again on another backend server.
  bool may_start_again = false;
  bool accelerator = false;
  std::uint32_t cores = 1;
  std::uint32_t memory_gb = 1;
  std::vector<RequestAnswers> requests;
};

struct TeamAnswers {
  std::string name;
  std::string token;  // the configuration contains only its digest
  std::uint32_t slots = 8;
};

struct Answers {
  std::vector<TeamAnswers> teams;
  std::vector<TeamAnswers> operators;  // `slots` has no effect
  std::vector<ServiceAnswers> services;

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<Answers> Read(const JsonDocument& document);
};

// Returns the configuration as JSON text with comments, with version 0.
std::string MakeConfiguration(const Answers& answers);

}  // namespace mustardbank
