// Stand-in for backend servers with fault injection: one process with many
// workers, each with its own port and slots, and a log of task starts.
//
// usage: worker_stand_in PLAN
// PLAN is a JSON file with:
//   data_centers: names
//   workers: total number, spread evenly over the data centres
//   prefix: of the workers' names
//   slots, cores, memory_gb, connections: of each worker
//   rack_size: workers in a rack
//   latency_ms: one way, between data centres
//   threads: number of threads that serve all workers
//   platform: address of the platform that lists the workers
//   log: file to which each start is appended
// Prints the address of its control port. POST /admin/workers on this port with
// {"name": NAME or "*", "mode": MODE, "factor": N} injects a fault. MODE is:
//   normal
//   fail: tasks fail at once
//   straggle: tasks run N times as long
//   leaving: tasks are refused
//   cross: answers carry the id of the previous attempt
// A task runs for the run_ms of its payload, and fails if the payload has the
// member fail.
#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/enum_names.h"
#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"
#include "LibHttp/http_server.h"

namespace json = boost::json;
namespace leaf = boost::leaf;
using namespace mustardbank;

namespace {

enum class Mode { kNormal, kFail, kStraggle, kLeaving, kCross };
constexpr EnumNames<Mode, 5> kModeNames{
    {"normal", "fail", "straggle", "leaving", "cross"}};

struct Plan {
  json::object values;

  std::int64_t Number(std::string_view key, std::int64_t fallback) const {
    const json::value* value = values.if_contains(key);
    return value ? value->as_int64() : fallback;
  }
  std::string Text(std::string_view key, std::string fallback) const {
    const json::value* value = values.if_contains(key);
    return value ? std::string(value->as_string()) : std::move(fallback);
  }
};

// Appends a line for each start: wall clock in ms, worker, request, attempt,
// job.
class StartLog {
 public:
  explicit StartLog(const std::string& file)
      : descriptor_(
            file.empty()
                ? -1
                : ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644)) {}

  void Add(const std::string& worker, const HttpRequest& request) {
    if (descriptor_ < 0)
      return;
    std::string line = std::to_string(ClockReading::Now().wall.count());
    for (std::string_view field :
         {std::string_view(worker), request.header("Mustardbank-Request"),
          request.header("Mustardbank-Attempt"),
          request.header("Mustardbank-Job")}) {
      line += ' ';
      line += field;
    }
    line += '\n';
    if (::write(descriptor_, line.data(), line.size()) < 0)
      std::cerr << "cannot write to the start log\n";
  }

 private:
  const int descriptor_;
};

struct WorkerState {
  std::string name;
  std::string data_center;
  std::string rack;
  std::uint32_t slots = 8;
  std::chrono::milliseconds latency{0};
  std::atomic<Mode> mode{Mode::kNormal};
  std::atomic<std::int64_t> factor{1};
  std::atomic<std::uint32_t> running{0};
  std::mutex mutex;
  std::string last_attempt;  // sent in answers in the mode kCross
  std::unique_ptr<HttpServer> server;
  Endpoint endpoint;
};

HttpResponse NotRun(std::string_view reason) {
  HttpResponse response = ProblemResponse(503, "Not run", reason);
  response.headers.emplace_back("Mustardbank-Ran", "not run");
  response.headers.emplace_back("Mustardbank-Reason", reason);
  return response;
}

// Stores `attempt` and returns the attempt before it.
std::string ExchangeLastAttempt(WorkerState& worker,
                                const std::string& attempt) {
  const std::lock_guard lock(worker.mutex);
  return std::exchange(worker.last_attempt, attempt);
}

HttpResponse RunTask(WorkerState& worker,
                     StartLog& log,
                     const HttpRequest& request) {
  const std::string attempt(request.header("Mustardbank-Attempt"));
  const Mode mode = worker.mode;
  HttpResponse response;
  if (mode == Mode::kLeaving) {
    response = NotRun("leaving");
    response.headers.emplace_back("Mustardbank-Attempt", attempt);
    return response;
  }
  if (worker.running.fetch_add(1) >= worker.slots) {
    --worker.running;
    response = NotRun("busy");
    response.headers.emplace_back("Mustardbank-Attempt", attempt);
    return response;
  }
  log.Add(worker.name, request);
  json::error_code error;
  const json::value payload = json::parse(request.body, error);
  const json::object* object = error ? nullptr : payload.if_object();
  const json::value* run_ms = object ? object->if_contains("run_ms") : nullptr;
  const bool fails =
      mode == Mode::kFail || (object && object->contains("fail"));
  const std::int64_t factor =
      mode == Mode::kStraggle ? worker.factor.load() : 1;
  if (run_ms && mode != Mode::kFail) {
    const auto milliseconds = run_ms->to_number<double>() * factor;
    if (milliseconds > 0)
      SleepFiber(FromMilliseconds(milliseconds));
  }
  --worker.running;
  if (request.header("Data-Center") != worker.data_center &&
      worker.latency.count() > 0) {
    SleepFiber(2 * worker.latency);
  }
  response.status = fails ? 500 : 200;
  response.headers.emplace_back(
      "Mustardbank-Attempt",
      mode == Mode::kCross ? ExchangeLastAttempt(worker, attempt) : attempt);
  response.body = json::serialize(json::object{
      {"attempt", attempt},
      {"job", request.header("Mustardbank-Job")},
      {"worker", worker.name},
      {"echo", object && object->contains("tag") ? object->at("tag")
                                                 : json::value(nullptr)}});
  return response;
}

json::object ToRecord(const WorkerState& worker, const Plan& plan) {
  return json::object{
      {"name", worker.name},
      {"role", "worker"},
      {"state", "live"},
      {"data_center", worker.data_center},
      {"rack", worker.rack},
      {"endpoint", worker.endpoint.ToString()},
      {"slots", worker.slots},
      {"connections", plan.Number("connections", 64)},
      {"cores", plan.Number("cores", 64)},
      {"memory_gb", plan.Number("memory_gb", 128)},
  };
}

HttpResponse SetMode(std::vector<std::unique_ptr<WorkerState>>& workers,
                     const HttpRequest& request) {
  json::error_code error;
  const json::value body = json::parse(request.body, error);
  const auto mode = error ? std::optional<Mode>()
                          : kModeNames.Find(body.at("mode").as_string());
  if (!mode)
    return ProblemResponse(400, "Malformed", "Expected name and mode.");
  const std::string_view name = body.at("name").as_string();
  int changed = 0;
  for (const auto& worker : workers) {
    if (name != "*" && name != worker->name)
      continue;
    if (const json::value* factor = body.get_object().if_contains("factor"))
      worker->factor = factor->as_int64();
    worker->mode = *mode;
    ++changed;
  }
  return HttpResponse{.body =
                          json::serialize(json::object{{"changed", changed}})};
}

Plan LoadPlan(const char* file) {
  std::ifstream stream(file);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    std::cerr << file << ": expected a JSON object\n";
    std::exit(1);
  }
  return Plan{.values = std::move(value.get_object())};
}

leaf::result<int> Run(const Plan& plan) {
  std::vector<std::unique_ptr<FiberThread>> threads;
  const std::int64_t thread_count = plan.Number("threads", 2);
  for (std::int64_t i = 0; i < thread_count; ++i)
    threads.push_back(std::make_unique<FiberThread>());
  StartLog log(plan.Text("log", ""));
  std::vector<std::unique_ptr<WorkerState>> workers;
  const json::array& places = plan.values.at("data_centers").as_array();
  const std::int64_t count = plan.Number("workers", 1);
  json::array records;
  for (std::int64_t i = 0; i < count; ++i) {
    auto worker = std::make_unique<WorkerState>();
    worker->name = plan.Text("prefix", "worker-") + std::to_string(i);
    worker->data_center = std::string(places[i % places.size()].as_string());
    worker->rack =
        worker->data_center + "-" +
        std::to_string(i / places.size() / plan.Number("rack_size", 6));
    worker->slots = static_cast<std::uint32_t>(plan.Number("slots", 8));
    worker->latency = std::chrono::milliseconds(plan.Number("latency_ms", 0));
    WorkerState& state = *worker;
    worker->server = std::make_unique<HttpServer>(
        HttpServerLimits{.connections = static_cast<std::size_t>(
                             plan.Number("connections", 64))},
        [&state, &log](HttpRequest&& request) {
          return RunTask(state, log, request);
        });
    BOOST_LEAF_ASSIGN(worker->endpoint, worker->server->Listen(
                                            {threads[i % threads.size()].get()},
                                            Endpoint{.ip = 0x7F000001}));
    records.push_back(ToRecord(*worker, plan));
    workers.push_back(std::move(worker));
  }
  HttpServer control(HttpServerLimits{}, [&](HttpRequest&& request) {
    return SetMode(workers, request);
  });
  BOOST_LEAF_AUTO(address, control.Listen({threads.front().get()},
                                          Endpoint{.ip = 0x7F000001}));
  const auto platform = Endpoint::Parse(plan.Text("platform", ""));
  if (platform) {
    const HttpRequest request{
        .method = "POST",
        .target = "/admin/vms",
        .body = json::serialize(json::object{{"vms", std::move(records)}})};
    const auto listed = RunInFiber(*threads.front(), [&] {
      return ExchangeOnce(threads.front()->io(), *platform, request,
                          std::chrono::milliseconds(5000));
    });
    if (!listed)
      std::cerr << "cannot register the workers with the platform\n";
  }
  std::cout << address.ToString() << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: worker_stand_in PLAN\n";
    return 64;
  }
  const Plan plan = LoadPlan(argv[1]);
  return leaf::try_handle_all([&] { return Run(plan); },
                              [] {
                                std::cerr << "cannot listen on loopback\n";
                                return 1;
                              });
}
