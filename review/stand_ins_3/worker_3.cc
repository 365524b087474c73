// Stand-in for one worker of the users' platform, as a process of its own, so
// that a script can kill it and start it again under its id.
//
// usage: worker_3 PLAN
// PLAN is a JSON file with:
//   id, data_center, service, labels: of the worker
//   cpu: its capacity in millicores    address: where it listens
//   store: address of the platform's store, where it registers
//   log: file to which it appends a line for each run that starts or ends:
//     start TIME ID BORN LABELS TASK RUN, or end TIME ID BORN LABELS TASK RUN
//     HOW, with the time of day in ms since 1970
// Prints the address. The spec of a job's tasks is "MILLICORES RUN_MS". It
// holds leases, tokens and runs as PROTOCOL says, and guards no capacity.
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>

#include "Harness/worker_model.h"
#include "LibCore/base64.h"
#include "LibCore/boot_clock.h"
#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"
#include "LibHttp/http_server.h"

namespace json = boost::json;
using namespace mustardbank;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeat{1500};
constexpr milliseconds kPollInterval{2};
constexpr milliseconds kStoreTimeout{500};

std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

json::object ParseObject(const std::string& text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

HttpResponse ToResponse(unsigned status, const json::object& body) {
  return {.status = status, .body = json::serialize(body)};
}

class Worker {
 public:
  Worker(FiberThread& thread, const json::object& plan)
      : thread_(thread),
        plan_(plan),
        id_(plan.at("id").as_string()),
        model_({}, WallMs()),
        log_(std::string(plan.at("log").as_string()), std::ios::app) {
    for (const json::value& label : plan.at("labels").as_array())
      labels_ += (labels_.empty() ? "" : ",") + std::string(label.as_string());
  }

  void Begin(Endpoint address) {
    address_ = address;
    FiberThread::SpawnHere([this] {
      while (true) {
        Register();
        SleepFiber(kHeartbeat);
      }
    });
    FiberThread::SpawnHere([this] {
      while (true) {
        EndDueRuns();
        SleepFiber(kPollInterval);
      }
    });
  }

  HttpResponse Serve(const HttpRequest& request) {
    if (request.header("X-Mustardbank-Expect-Instance") != id_)
      return ToResponse(421, {});
    const json::object body = ParseObject(request.body);
    const json::value* number = body.if_contains("fencingToken");
    const auto token = number ? number->to_number<std::uint64_t>() : 0;
    EndDueRuns();
    if (request.target == "/mustardbank/hold")
      return Hold(body, token);
    if (!body.contains("task") || !body.contains("run"))
      return ToResponse(400, {});
    const RunId run{std::string(body.at("task").as_string()),
                    body.at("run").to_number<std::uint32_t>()};
    if (request.target == "/mustardbank/run-stop")
      return Answer(model_.Stop(run, token, WallMs()));
    if (request.target == "/mustardbank/run-start")
      return Start(run, body, token);
    return {.status = 404};
  }

 private:
  void Register() {
    json::array labels = plan_.at("labels").as_array();
    const json::object entry{
        {"service", plan_.at("service").as_string()},
        {"address", address_.ToString()},
        {"zone", plan_.at("data_center").as_string()},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"capacity",
         {{"cpu", plan_.at("cpu").as_int64()}, {"memMb", 131072}, {"gpu", 0}}},
        {"labels", std::move(labels)},
        {"born", Born()},
        {"clockMs", model_.ClockAt(WallMs())},
        {"sequence", ++sequence_}};
    const json::object row{{"table", "servers"},
                           {"part", ""},
                           {"key", id_},
                           {"value", EncodeBase64(json::serialize(entry))}};
    const json::object change{{"precondition", json::array()},
                              {"upserts", json::array{row}},
                              {"remove", json::array()}};
    const auto answer = ExchangeOnce(
        thread_.io(),
        Endpoint::Parse(std::string(plan_.at("store").as_string())).value(),
        HttpRequest{.method = "POST",
                    .target = "/mustardbank/rows-tx",
                    .body = json::serialize(change)},
        kStoreTimeout);
    if (!answer)
      std::cerr << "not registered: " << answer.error().reason << '\n';
  }

  HttpResponse Start(const RunId& run,
                     const json::object& body,
                     std::uint64_t token) {
    std::istringstream spec{std::string(body.at("spec").as_string())};
    WorkerModel::Task task;
    spec >> task.millicores >> task.run_ms;
    const bool was_running = model_.runs().contains(run.task);
    const CommandAnswer answer = model_.Start(
        run, token, body.at("deadlineMs").to_number<std::int64_t>(), task,
        WallMs());
    if (answer == CommandAnswer::kAccepted && !was_running) {
      running_[run.task] = run.number;
      Log("start", run) << std::endl;
    }
    return Answer(answer);
  }

  HttpResponse Hold(const json::object& body, std::uint64_t token) {
    const auto number = [&body](std::string_view key) -> std::int64_t {
      const json::value* value = body.if_contains(key);
      return value ? value->to_number<std::int64_t>() : 0;
    };
    const auto acknowledged =
        static_cast<std::uint64_t>(number("ackedThrough"));
    const CommandAnswer answer =
        model_.Renew(token, number("deadlineMs"), acknowledged, WallMs());
    if (answer != CommandAnswer::kAccepted)
      return Answer(answer);
    const std::int64_t end = WallMs() + number("waitMs");
    while (WallMs() < end && !model_.HasEndsAfter(acknowledged)) {
      SleepFiber(kPollInterval);
      EndDueRuns();
    }
    const RenewReport report = model_.Report(WallMs());
    json::array running;
    for (const RunningTask& task : report.running)
      running.push_back(
          json::array{task.run.task, task.run.number, "", task.percent, 0});
    json::array ended;
    for (const EndedTask& task : report.ended)
      ended.push_back(json::array{task.sequence, task.run.task, task.run.number,
                                  kRunEndNames[task.end], ""});
    return ToResponse(200, {{"clockMs", report.clock_ms},
                            {"born", Born()},
                            {"running", std::move(running)},
                            {"ended", std::move(ended)}});
  }

  HttpResponse Answer(CommandAnswer answer) {
    json::object body{{"clockMs", model_.ClockAt(WallMs())}};
    if (answer == CommandAnswer::kAccepted)
      return ToResponse(200, body);
    body["reason"] = answer == CommandAnswer::kFenced ? "fence"
                     : answer == CommandAnswer::kLate ? "late"
                                                      : "old";
    return ToResponse(409, body);
  }

  // Ends the runs that are due, and logs the ends that are new.
  void EndDueRuns() {
    model_.EndDueRuns(WallMs());
    for (auto it = running_.begin(); it != running_.end();) {
      const auto run = *it++;
      if (model_.runs().contains(run.first))
        continue;
      std::string how = "unknown";
      for (const EndedTask& ended : model_.Report(WallMs()).ended) {
        if (ended.run == RunId{run.first, run.second})
          how = kRunEndNames[ended.end];
      }
      Log("end", {run.first, run.second}) << ' ' << how << std::endl;
      running_.erase(run.first);
    }
  }

  std::ostream& Log(std::string_view what, const RunId& run) {
    return log_ << what << ' ' << WallMs() << ' ' << id_ << ' ' << Born() << ' '
                << labels_ << ' ' << run.task << ' ' << run.number;
  }

  std::int64_t Born() const { return model_.started_at(); }

  FiberThread& thread_;
  const json::object plan_;
  const std::string id_;
  std::string labels_;
  Endpoint address_;
  WorkerModel model_;
  std::map<std::string, std::uint32_t> running_;  // by task
  std::int64_t sequence_ = 0;
  std::ofstream log_;
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: worker_3 PLAN\n";
    return 64;
  }
  std::ifstream file(argv[1]);
  const json::object plan = ParseObject(
      {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
  FiberThread thread;
  const auto worker = std::make_shared<Worker>(thread, plan);
  HttpServer server(HttpServerLimits{}, [worker](HttpRequest&& request) {
    return worker->Serve(request);
  });
  const Endpoint address =
      server
          .Listen({&thread},
                  Endpoint::Parse(std::string(plan.at("address").as_string()))
                      .value())
          .value();
  RunInFiber(thread, [&] {
    worker->Begin(address);
    return true;
  });
  std::cout << address.ToString() << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}
