// The plan of a load run: where it goes, how fast jobs arrive and what they
// are made of.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "LibConfig/json_document.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

enum class RunTimeShape { kConstant, kUniform, kLognormal };
inline constexpr EnumNames<RunTimeShape, 3> kRunTimeShapeNames{
    {"constant", "uniform", "lognormal"}};

// One kind of request in the mix.
struct LoadRequest {
  std::string request;
  double weight = 1;
  RunTimeShape shape = RunTimeShape::kLognormal;
  double mean_ms = 200;
  double sigma = 0.5;  // of the logarithm, for lognormal run times
  double least_ms = 0;
  double most_ms = 10'000;
  double declared_factor = 1;  // declared over real run time
};

struct LoadJobSize {
  std::uint32_t tasks = 1;
  double weight = 1;
};

struct LoadPlan {
  std::vector<Endpoint> entries;
  std::string token;
  std::string service;
  std::uint64_t seed = 1;
  double jobs_per_second = 10;
  double duration_s = 10;
  double warmup_s = 0;           // arrivals before this are not measured
  double deadline_s = 30;        // from the intended send time to the last try
  double client_latency_ms = 0;  // one way
  double cancel_fraction = 0;
  std::uint32_t threads = 1;
  std::vector<LoadRequest> mix;
  std::vector<LoadJobSize> job_sizes;

  double mean_tasks() const;
  double mean_run_ms() const;

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<LoadPlan> Read(const JsonDocument& document);
};

}  // namespace mustardbank
