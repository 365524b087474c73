// Makes a configuration from a new team's answers about its requests, places
// and tolerance for delay. Each setting carries its reason as a comment.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "LibConfig/json_document.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

// What an answer that comes late does.
enum class Lateness { kDanger, kIdleness, kNuisance };
inline constexpr EnumNames<Lateness, 3> kLatenessNames{
    {"danger", "idleness", "nuisance"}};

struct RequestAnswers {
  std::string name;
  bool may_run_twice = true;     // whether a second run does no harm
  std::uint32_t usual_ms = 200;  // usual run time
  std::uint32_t longest_ms = 2'000;
};

struct ServiceAnswers {
  std::string name;
  std::vector<std::string> teams;
  std::vector<std::string> places;
  Lateness lateness = Lateness::kIdleness;
  std::uint32_t patience_ms = 5'000;  // how long callers wait for a start
  bool may_start_again = false;  // on another backend server, after a failure
  bool accelerator = false;
  std::uint32_t cores = 1;
  std::uint32_t memory_gb = 1;
  std::vector<RequestAnswers> requests;
};

struct TeamAnswers {
  std::string name;
  std::string token;  // given once, kept as its digest
  std::uint32_t slots = 8;
};

struct Answers {
  std::vector<TeamAnswers> teams;
  std::vector<TeamAnswers> operators;  // `slots` unused
  std::vector<ServiceAnswers> services;

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<Answers> Read(const JsonDocument& document);
};

// The configuration as JSON with comments, of version 0.
std::string MakeConfiguration(const Answers& answers);

}  // namespace mustardbank
