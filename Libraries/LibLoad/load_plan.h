// The plan of a load run: the entry VMs, the arrival rate of jobs and their
// composition.
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
  double sigma = 0.5;  // standard deviation of the logarithm, for lognormal
  double least_ms = 0;
  double most_ms = 10'000;
  double declared_factor = 1;  // ratio of the declared to the real run time
};

// One size of job and its share of all jobs.
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
  double warmup_s = 0;           // jobs that arrive earlier are not measured
  double deadline_s = 30;        // from the intended start to the last attempt
  double client_latency_ms = 0;  // one way; added twice to each response time
  double cancel_fraction = 0;    // fraction of jobs that are cancelled
  std::uint32_t threads = 1;
  std::vector<LoadRequest> mix;
  std::vector<LoadJobSize> job_sizes;

  double mean_tasks() const;   // tasks of a job
  double mean_run_ms() const;  // run time of a task

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<LoadPlan> Read(const JsonDocument& document);
};

}  // namespace mustardbank
