#include "LibLoad/load_plan.h"

#include <boost/leaf/error.hpp>

#include "LibConfig/json_reader.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

LoadRequest ReadRequest(JsonObjectReader& reader) {
  LoadRequest request;
  request.request = reader.RequiredString("request");
  request.weight = reader.OptionalNumber("weight", request.weight, 0, 1e9);
  const std::string shape = reader.OptionalString(
      "shape", std::string(kRunTimeShapeNames[request.shape]));
  if (const auto found = kRunTimeShapeNames.Find(shape))
    request.shape = *found;
  else
    reader.Fault("shape", "expected constant, uniform or lognormal");
  request.mean_ms = reader.OptionalNumber("mean_ms", request.mean_ms, 0, 60e3);
  request.sigma = reader.OptionalNumber("sigma", request.sigma, 0, 5);
  request.least_ms =
      reader.OptionalNumber("least_ms", request.least_ms, 0, 60e3);
  request.most_ms = reader.OptionalNumber("most_ms", request.most_ms, 0, 60e3);
  request.declared_factor =
      reader.OptionalNumber("declared_factor", request.declared_factor, 0, 1e3);
  return request;
}

}  // namespace

double LoadPlan::mean_tasks() const {
  double weight = 0;
  double tasks = 0;
  for (const LoadJobSize& size : job_sizes) {
    weight += size.weight;
    tasks += size.weight * size.tasks;
  }
  return tasks / weight;
}

double LoadPlan::mean_run_ms() const {
  double weight = 0;
  double run_ms = 0;
  for (const LoadRequest& request : mix) {
    weight += request.weight;
    run_ms += request.weight * request.mean_ms;
  }
  return run_ms / weight;
}

leaf::result<LoadPlan> LoadPlan::Read(const JsonDocument& document) {
  std::vector<ConfigFault> faults;
  JsonObjectReader reader(document, document.root(), "", faults);
  LoadPlan plan;
  for (const std::string& text : reader.RequiredStrings("entries")) {
    const auto endpoint = Endpoint::Parse(text);
    if (!endpoint)
      reader.Fault("entries", "expected addresses such as 127.0.0.1:80");
    plan.entries.push_back(endpoint.value_or(Endpoint{}));
  }
  plan.token = reader.RequiredString("token");
  plan.service = reader.RequiredString("service");
  plan.seed = reader.OptionalInteger("seed", plan.seed, 0);
  plan.jobs_per_second =
      reader.OptionalNumber("jobs_per_second", plan.jobs_per_second, 1e-3, 1e6);
  plan.duration_s =
      reader.OptionalNumber("duration_s", plan.duration_s, 0.1, 3600);
  plan.warmup_s = reader.OptionalNumber("warmup_s", plan.warmup_s, 0, 3600);
  plan.deadline_s =
      reader.OptionalNumber("deadline_s", plan.deadline_s, 0.1, 3600);
  plan.client_latency_ms = reader.OptionalNumber(
      "client_latency_ms", plan.client_latency_ms, 0, 1e4);
  plan.cancel_fraction =
      reader.OptionalNumber("cancel_fraction", plan.cancel_fraction, 0, 1);
  plan.threads = reader.OptionalInteger("threads", plan.threads, 1, 64);
  reader.ForEachObject("mix", [&](JsonObjectReader& request) {
    plan.mix.push_back(ReadRequest(request));
  });
  reader.ForEachObject("job_sizes", [&](JsonObjectReader& size) {
    plan.job_sizes.push_back(
        {.tasks =
             static_cast<std::uint32_t>(size.RequiredInteger("tasks", 1, 250)),
         .weight = size.OptionalNumber("weight", 1, 0, 1e9)});
  });
  if (plan.mix.empty())
    reader.Fault("mix", "expected at least one request");
  if (plan.job_sizes.empty())
    reader.Fault("job_sizes", "expected at least one size");
  reader.Finish();
  if (!faults.empty())
    return leaf::new_error(ConfigError{std::move(faults)});
  return plan;
}

}  // namespace mustardbank
