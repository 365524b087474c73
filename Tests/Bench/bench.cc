// Benchmark on real processes at the sizes of both deployments: response time
// relative to the ideal, wasted messages, and throughput. It prints the
// measurements and has no pass criteria.
//
// usage: Bench [--json] [--quick] [--only SCENARIO] [--no-throughput]
#include <signal.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <functional>
#include <future>
#include <iostream>
#include <thread>

#include "Harness/deployment.h"
#include "LibLoad/load_generator.h"
#include "core_benchmark.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr int kEntries = 7;
constexpr int kWorkers = 48;
constexpr int kSlots = 8;
// Time until the platform's list shows a dead VM as gone.
constexpr std::chrono::milliseconds kListLag{2000};
constexpr const char* kWastedCauses[] = {
    "wasted_busy_refusals", "wasted_leaving_refusals",
    "wasted_unreachable",   "wasted_retries",
    "wasted_lending",       "wasted_crossed_answers"};

struct Options {
  bool is_json = false;
  bool is_quick = false;
  bool has_throughput = true;
  std::string only;
};

struct DeploymentSize {
  std::string name;
  std::vector<std::string> data_centers;
  int rack_size;
  int cores;
  int memory_gb;
  int latency_ms;            // one way, between data centres
  double client_latency_ms;  // one way
  std::string tolerance;
};

const DeploymentSize kAgency{
    .name = "agency",
    .data_centers = {"rif", "tanger", "chefchaouen", "oued-laou"},
    .rack_size = 6,
    .cores = 64,
    .memory_gb = 128,
    .latency_ms = 1,
    .client_latency_ms = 1,
    .tolerance = R"(,"delay_tolerance_permille":500)"};
const DeploymentSize kCooperative{
    .name = "cooperative",
    .data_centers = {"jm-south-1", "jm-south-2", "jm-south-3"},
    .rack_size = 8,
    .cores = 16,
    .memory_gb = 32,
    .latency_ms = 2,
    .client_latency_ms = 3,
    .tolerance = R"(,"delay_tolerance_permille":1000)"};

struct Scenario {
  std::string name;
  double load = 0.7;
  std::function<void(LoadPlan&)> shape = [](LoadPlan&) {};
  // Called half a second after the load starts.
  std::function<void(Deployment&)> fault = [](Deployment&) {};
  bool changes_deployment = false;  // the next scenario needs a new one
};

DeploymentPlan PlanOf(const DeploymentSize& size,
                      const std::string& placement) {
  DeploymentPlan plan;
  plan.data_centers = size.data_centers;
  plan.workers = kWorkers;
  plan.slots = kSlots;
  plan.rack_size = size.rack_size;
  plan.cores = size.cores;
  plan.memory_gb = size.memory_gb;
  plan.latency_ms = size.latency_ms;
  plan.worker_processes = static_cast<int>(size.data_centers.size());
  plan.worker_threads = 1;
  plan.entries = kEntries;
  plan.traffic_threads = 1;
  plan.placement = placement;
  plan.configuration = TestConfiguration(size.data_centers, size.tolerance);
  return plan;
}

LoadPlan LoadOf(const DeploymentSize& size,
                const Scenario& scenario,
                bool is_quick) {
  LoadPlan plan;
  plan.token = "secret";
  plan.service = "guide";
  plan.duration_s = is_quick ? 3.5 : 15;
  plan.warmup_s = 0.5;
  plan.deadline_s = 10;
  plan.client_latency_ms = size.client_latency_ms;
  plan.threads = 1;
  plan.mix = {LoadRequest{.request = "card",
                          .weight = 4,
                          .mean_ms = 200,
                          .sigma = 0.4,
                          .least_ms = 50,
                          .most_ms = 3'000},
              LoadRequest{.request = "closure",
                          .weight = 1,
                          .mean_ms = 150,
                          .sigma = 0.4,
                          .least_ms = 50,
                          .most_ms = 3'000}};
  plan.job_sizes = {{.tasks = 1, .weight = 4},
                    {.tasks = 4, .weight = 3},
                    {.tasks = 12, .weight = 2},
                    {.tasks = 30, .weight = 1}};
  scenario.shape(plan);
  plan.jobs_per_second = scenario.load * kWorkers * kSlots * 1000 /
                         (plan.mean_tasks() * plan.mean_run_ms());
  return plan;
}

json::object Summarise(const DeploymentSize& size,
                       const Scenario& scenario,
                       const std::string& placement,
                       const LoadReport& report,
                       const json::object& wasted_by_cause,
                       std::uint64_t wasted,
                       std::uint64_t starts) {
  json::object run{{"deployment", size.name},
                   {"scenario", scenario.name},
                   {"policy", placement},
                   {"load", scenario.load}};
  const json::object measured = report.ToJson();
  for (const char* name :
       {"jobs", "response_over_ideal", "failed", "refused", "cancelled",
        "unanswered", "wrong", "resubmissions", "refusal_ms", "problems"}) {
    run[name] = measured.at(name);
  }
  const double wasted_per_task =
      starts == 0 ? 0
                  : static_cast<double>(wasted) / static_cast<double>(starts);
  run["wasted_by_cause"] = wasted_by_cause;
  run["task_starts"] = starts;
  run["wasted_messages_per_task"] = std::round(wasted_per_task * 1e4) / 1e4;
  return run;
}

json::object RunScenario(Deployment& deployment,
                         const DeploymentSize& size,
                         const Scenario& scenario,
                         const std::string& placement,
                         bool is_quick) {
  LoadPlan plan = LoadOf(size, scenario, is_quick);
  plan.entries = deployment.callers();
  auto before = deployment.Counters();
  auto fault = std::async(std::launch::async, [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    scenario.fault(deployment);
  });
  const LoadReport report = RunLoad(plan);
  fault.get();
  for (int i = 0; i < deployment.entry_count(); ++i)
    deployment.entry(i).process->Signal(SIGCONT);
  auto after = deployment.Counters();
  // The sum can decrease, because the counters of a killed VM are lost.
  const auto increase = [&](const std::string& name) {
    return after[name] - std::min(after[name], before[name]);
  };
  json::object causes;
  for (const char* cause : kWastedCauses)
    causes[cause] = increase(cause);
  return Summarise(size, scenario, placement, report, causes,
                   increase("wasted"), increase("task_starts"));
}

std::vector<Scenario> Scenarios(const DeploymentSize& size) {
  const std::string first = size.data_centers.front();
  std::vector<Scenario> list;
  for (const auto& [name, load] :
       {std::pair("steady_50", 0.5), std::pair("steady_70", 0.7),
        std::pair("steady_90", 0.9), std::pair("overload_150", 1.5)}) {
    list.push_back({.name = name, .load = load});
  }
  list.push_back(
      {.name = "burst_250", .load = 0.5, .shape = [](LoadPlan& plan) {
         plan.job_sizes = {{.tasks = 1, .weight = 30},
                           {.tasks = 250, .weight = 1}};
       }});
  list.push_back({.name = "declared_wrong_10", .shape = [](LoadPlan& plan) {
                    plan.mix[0].declared_factor = 10;
                    plan.mix[1].declared_factor = 0.1;
                  }});
  list.push_back({.name = "cancellations",
                  .shape = [](LoadPlan& plan) { plan.cancel_fraction = 0.3; }});
  list.push_back({.name = "stragglers",
                  .fault =
                      [](Deployment& deployment) {
                        deployment.SetWorkerMode("worker-0-0", "straggle", 10);
                        deployment.SetWorkerMode("worker-1-0", "straggle", 10);
                      },
                  .changes_deployment = true});
  list.push_back({.name = "failing_worker",
                  .fault =
                      [](Deployment& deployment) {
                        deployment.SetWorkerMode("worker-0-0", "fail");
                      },
                  .changes_deployment = true});
  list.push_back({.name = "platform_out",
                  .fault =
                      [](Deployment& deployment) {
                        deployment.SetFaults(json::object{{"outage", true}});
                      },
                  .changes_deployment = true});
  list.push_back({.name = "entry_killed",
                  .fault =
                      [](Deployment& deployment) {
                        deployment.entry(kEntries - 1).process->Kill();
                        std::this_thread::sleep_for(kListLag);
                        deployment.SetListedState(kEntries - 1, "gone");
                      },
                  .changes_deployment = true});
  list.push_back(
      {.name = "workers_dying",
       .load = 0.5,
       .fault =
           [](Deployment& deployment) { deployment.worker_process(1).Kill(); },
       .changes_deployment = true});
  // Partitions one data centre: its entry VMs are paused and the platform
  // refuses its requests. Callers use the other data centres.
  list.push_back(
      {.name = "data_centre_cut",
       .load = 0.5,
       .fault =
           [first](Deployment& deployment) {
             deployment.SetFaults(json::object{{"cut", json::array{first}}});
             for (int i = 0; i < deployment.entry_count(); ++i) {
               if (deployment.entry(i).data_center == first)
                 deployment.entry(i).process->Signal(SIGSTOP);
             }
           },
       .changes_deployment = true});
  return list;
}

class Bench {
 public:
  explicit Bench(Options options) : options_(std::move(options)) {}

  int Run() {
    for (const DeploymentSize& size : {kAgency, kCooperative}) {
      RunScenarios(size, "home_lending", Scenarios(size));
      for (const char* placement : {"least_loaded", "random"}) {
        RunScenarios(size, placement, {{.name = "steady_70", .load = 0.7}});
      }
    }
    json::object result{{"runs", std::move(runs_)}};
    if (options_.has_throughput) {
      MeasureThroughput(result);
      MeasureIdle(result);
      MeasureCore(result);
    }
    std::cout << json::serialize(result) << std::endl;
    return 0;
  }

 private:
  void RunScenarios(const DeploymentSize& size,
                    const std::string& placement,
                    const std::vector<Scenario>& scenarios) {
    std::unique_ptr<Deployment> deployment;
    for (const Scenario& scenario : scenarios) {
      if (!options_.only.empty() && scenario.name != options_.only)
        continue;
      if (!deployment) {
        deployment = std::make_unique<Deployment>(PlanOf(size, placement));
        if (!deployment->Start()) {
          std::cerr << size.name << ": the deployment did not start\n";
          return;
        }
      }
      json::object run = RunScenario(*deployment, size, scenario, placement,
                                     options_.is_quick);
      std::cerr << json::serialize(run) << '\n';
      runs_.push_back(std::move(run));
      if (scenario.changes_deployment)
        deployment.reset();
    }
  }

  // Measures one entry process with jobs of 50 tasks that take no time.
  void MeasureThroughput(json::object& result) {
    DeploymentPlan plan = PlanOf(kAgency, "home_lending");
    plan.entries = 1;
    plan.traffic_threads = 2;
    plan.worker_processes = 2;
    plan.configuration = TestConfiguration(
        plan.data_centers, R"(,"delay_tolerance_permille":1000000)");
    Deployment deployment(plan);
    if (!deployment.Start())
      return;
    LoadPlan load;
    load.entries = deployment.callers();
    load.token = "secret";
    load.service = "guide";
    load.duration_s = options_.is_quick ? 4 : 10;
    load.mix = {
        {.request = "card", .shape = RunTimeShape::kConstant, .mean_ms = 0}};
    load.job_sizes = {{.tasks = 50}};
    load.jobs_per_second = 700;
    load.threads = 2;
    const double processor_before =
        deployment.entry(0).process->processor_seconds();
    const LoadReport report = RunLoad(load);
    const double processor =
        deployment.entry(0).process->processor_seconds() - processor_before;
    const double tasks =
        static_cast<double>(deployment.Counters()["task_successes"]);
    result["task_starts_per_second"] = std::round(tasks / report.seconds);
    result["processor_us_per_task"] =
        std::round(processor / std::max(1.0, tasks) * 1e8) / 100;
    result["busy_memory_bytes"] = deployment.entry(0).process->resident_bytes();
  }

  void MeasureIdle(json::object& result) {
    Deployment deployment(PlanOf(kAgency, "home_lending"));
    if (!deployment.Start())
      return;
    const int seconds = options_.is_quick ? 10 : 60;
    const double before = deployment.entry(0).process->processor_seconds();
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const double used =
        deployment.entry(0).process->processor_seconds() - before;
    result["idle_processor_percent"] = std::round(used / seconds * 1e4) / 100;
    result["idle_memory_bytes"] = deployment.entry(0).process->resident_bytes();
  }

  void MeasureCore(json::object& result) {
    const std::size_t jobs = options_.is_quick ? 20'000 : 100'000;
    json::object by_workers;
    for (const std::size_t workers : {48, 300, 1'000, 3'000}) {
      by_workers[std::to_string(workers)] =
          std::round(MeasureEventsPerSecond(workers, jobs));
    }
    result["events_per_second"] = by_workers.at("48");
    result["events_per_second_by_workers"] = std::move(by_workers);
    result["heartbeat_bytes_by_teams"] =
        json::object{{"0", MeasureHeartbeatBytes(0)},
                     {"10", MeasureHeartbeatBytes(10)},
                     {"310", MeasureHeartbeatBytes(310)}};
  }

  const Options options_;
  json::array runs_;
};

}  // namespace

}  // namespace mustardbank

int main(int argc, char** argv) {
  mustardbank::Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--json") {
      options.is_json = true;
    } else if (argument == "--quick") {
      options.is_quick = true;
    } else if (argument == "--no-throughput") {
      options.has_throughput = false;
    } else if (argument == "--only" && i + 1 < argc) {
      options.only = argv[++i];
    } else {
      std::cerr << "usage: Bench [--json] [--quick] [--only SCENARIO] "
                   "[--no-throughput]\n";
      return 64;
    }
  }
  return mustardbank::Bench(options).Run();
}
