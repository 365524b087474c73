// Stand-in for the users' platform with fault injection: the transactional
// store, which holds the registrations of the workers and the operator's
// configuration, and workers that run tasks under leases. The workers do not
// refuse tasks that exceed their capacity, so that tests can detect them.
//
// usage: users_platform_stand_in PLAN
// PLAN is a JSON file with:
//   workers: number of workers      data_centers: names
//   millicores: of each worker      log: file
// and, to show that the checks detect a broken worker:
//   clock_rate: of the workers' clocks; the platform guarantees 0.98 to 1.02
//   ignores_tokens: workers accept commands with outdated fencing tokens
// Prints the address of the store. The spec of a job's tasks is
// "MILLICORES RUN_MS [fail|crash]"; a task with crash ends its worker, which
// restarts at once with nothing but its id. The log has a line for each start,
// and a line that begins with VIOLATION for each start that exceeds the
// capacity of a worker or that runs a task while another worker still runs it.
//
// POST /admin takes an object with any of:
//   configuration: stored under the operator's key
//   store: up, refuse, hang (calls are executed 3 s later), lose (writes are
//     executed but not answered in time), or slow (calls are executed at once
//     and answered 400 ms later)
//   worker: ID or "*", together with
//     mode: normal, down (not registered, does not answer), mute (executes
//       commands but does not answer in time), late (executes commands 2 s
//       later), or leave; or
//     address: address under which the worker is registered, such as a proxy;
//       or
//     label: its only label from its next start on
//   entries: object of texts that another writer leaves among the entries of
//   the
//     workers, by key
// GET /admin lists the workers with the addresses on which they listen.
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>

#include "Harness/worker_model.h"
#include "LibCore/base64.h"
#include "LibCore/boot_clock.h"
#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_server.h"

namespace json = boost::json;
using namespace mustardbank;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{2};
constexpr milliseconds kCommandDelay{2000};
constexpr milliseconds kLostAnswerDelay{20'000};
constexpr milliseconds kStoreDelay{3000};
constexpr milliseconds kStoreLatency{3};
constexpr milliseconds kSlowStoreLatency{400};
constexpr milliseconds kRegistrationInterval{1000};

enum class StoreMode { kUp, kRefuse, kHang, kLose, kSlow };
constexpr EnumNames<StoreMode, 5> kStoreModes{
    {"up", "refuse", "hang", "lose", "slow"}};
enum class WorkerMode { kNormal, kDown, kMute, kLate, kLeave };
constexpr EnumNames<WorkerMode, 5> kWorkerModes{
    {"normal", "down", "mute", "late", "leave"}};

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             BootClock::now().time_since_epoch())
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

struct Row {
  std::string value;  // as received
  std::uint64_t version = 0;
  bool deleted = false;
};

class Store {
 public:
  StoreMode mode = StoreMode::kUp;

  void Put(const std::string& table,
           const std::string& key,
           std::string value,
           bool deleted = false) {
    rows_[table][key] = {std::move(value), ++version_, deleted};
  }

  HttpResponse Serve(const HttpRequest& request) {
    if (mode == StoreMode::kRefuse)
      return {.status = 503};
    if (mode == StoreMode::kHang)
      SleepFiber(kStoreDelay);
    SleepFiber(kStoreLatency);
    HttpResponse response = Execute(request);
    if (mode == StoreMode::kSlow)
      SleepFiber(kSlowStoreLatency);
    return response;
  }

 private:
  HttpResponse Execute(const HttpRequest& request) {
    if (request.path() == "/mustardbank/rows-get")
      return ToResponse(200, Page(std::string(request.query("table")), 0));
    if (request.path() == "/mustardbank/rows-feed")
      return Feed(request);
    if (request.path() == "/mustardbank/rows-tx")
      return Change(ParseObject(request.body));
    return {.status = 404};
  }

  // Returns all live rows if `after` is 0, otherwise the rows that changed
  // after this version, including deleted rows.
  json::object Page(const std::string& table, std::uint64_t after) {
    json::array rows;
    for (const auto& [key, row] : rows_[table]) {
      if (row.version <= after || (after == 0 && row.deleted))
        continue;
      json::object object{{"table", table},
                          {"part", ""},
                          {"key", key},
                          {"value", row.value},
                          {"rowVersion", row.version}};
      if (row.deleted)
        object["deleted"] = true;
      rows.push_back(std::move(object));
    }
    return {{"rows", std::move(rows)},
            {"hasMore", false},
            {"rowVersion", version_},
            {"nowMs", NowMs()}};
  }

  HttpResponse Feed(const HttpRequest& request) {
    const std::uint64_t after =
        std::stoull(std::string(request.query("after")));
    const std::int64_t end =
        NowMs() + std::stoll(std::string(request.query("waitMs")));
    const std::string table(request.query("table"));
    while (true) {
      json::object page = Page(table, std::max<std::uint64_t>(1, after));
      if (!page["rows"].as_array().empty() || NowMs() >= end)
        return ToResponse(200, page);
      SleepFiber(kPollInterval);
    }
  }

  HttpResponse Change(const json::object& body) {
    for (const json::value& condition : body.at("precondition").as_array()) {
      const auto& [table, key] = NameOf(condition);
      const Row& row = rows_[table][key];
      const std::uint64_t version = row.deleted ? 0 : row.version;
      if (version != condition.at("rowVersion").to_number<std::uint64_t>())
        return ToResponse(412, {{"rows", json::array()}});
    }
    for (const json::value& upsert : body.at("upserts").as_array()) {
      if (!IsWithinLimits(upsert))
        return ToResponse(400, {{"reason", "key or value too long"}});
    }
    for (const json::value& upsert : body.at("upserts").as_array()) {
      const auto& [table, key] = NameOf(upsert);
      Put(table, key, std::string(upsert.at("value").as_string()));
    }
    for (const json::value& removed : body.at("remove").as_array()) {
      const auto& [table, key] = NameOf(removed);
      Put(table, key, "", true);
    }
    if (mode == StoreMode::kLose)
      SleepFiber(kLostAnswerDelay);
    return ToResponse(200, {{"rowVersion", version_}, {"nowMs", NowMs()}});
  }

  static bool IsWithinLimits(const json::value& row) {
    return row.at("key").as_string().size() <= 200 &&
           row.at("table").as_string().size() <= 200 &&
           row.at("value").as_string().size() <= 65'536;
  }

  static std::pair<std::string, std::string> NameOf(const json::value& row) {
    return {std::string(row.at("table").as_string()),
            std::string(row.at("key").as_string())};
  }

  std::map<std::string, std::map<std::string, Row>> rows_;
  std::uint64_t version_ = 1;
};

struct Worker {
  std::string id;
  std::string data_center;
  Endpoint endpoint;
  Endpoint registered;
  std::int64_t millicores = 0;
  std::string label = "a";
  std::string next_label = "a";
  WorkerMode mode = WorkerMode::kNormal;
  std::unique_ptr<WorkerModel> model;
  std::unique_ptr<HttpServer> server;
};

class Workers {
 public:
  Workers(FiberThread& thread,
          const std::string& log,
          WorkerModel::Options options)
      : thread_(thread), log_(log, std::ios::app), options_(options) {}

  void Add(std::string id, std::string data_center, std::int64_t millicores) {
    auto worker = std::make_unique<Worker>();
    worker->id = std::move(id);
    worker->data_center = std::move(data_center);
    worker->millicores = millicores;
    worker->model = std::make_unique<WorkerModel>(options_, NowMs());
    worker->server = std::make_unique<HttpServer>(
        HttpServerLimits{}, [this, raw = worker.get()](HttpRequest&& request) {
          return Serve(*raw, request);
        });
    worker->endpoint =
        worker->server
            ->Listen({&thread_}, Endpoint{.ip = 0x7F000001, .port = 0})
            .value();
    worker->registered = worker->endpoint;
    workers_.push_back(std::move(worker));
  }

  void SetMode(const std::string& id, WorkerMode mode) {
    for (const auto& worker : workers_) {
      if (id != "*" && worker->id != id)
        continue;
      // A worker that was down restarts without its state.
      if (worker->mode == WorkerMode::kDown && mode != WorkerMode::kDown)
        Restart(*worker);
      worker->mode = mode;
    }
  }

  void SetNextLabel(const std::string& id, const std::string& label) {
    for (const auto& worker : workers_) {
      if (worker->id == id)
        worker->next_label = label;
    }
  }

  void SetAddress(const std::string& id, Endpoint endpoint) {
    for (const auto& worker : workers_) {
      if (worker->id == id)
        worker->registered = endpoint;
    }
  }

  json::array List() const {
    json::array list;
    for (const auto& worker : workers_)
      list.push_back(json::object{{"id", worker->id},
                                  {"address", worker->endpoint.ToString()}});
    return list;
  }

  void Register(Store& store) {
    for (const auto& worker : workers_) {
      if (worker->mode == WorkerMode::kDown) {
        store.Put("servers", worker->id, "", true);
        continue;
      }
      const json::object entry{
          {"service", "guide"},
          {"address", worker->registered.ToString()},
          {"zone", worker->data_center},
          {"version", "v1"},
          {"slots", 8},
          {"state", worker->mode == WorkerMode::kLeave ? "draining" : "ready"},
          {"coldRemainingMs", 0},
          {"capacity",
           {{"cpu", worker->millicores}, {"memMb", 131072}, {"gpu", 0}}},
          {"labels", json::array{worker->label}},
          {"born", worker->model->started_at() + 1},
          {"clockMs", worker->model->ClockAt(NowMs())},
          {"sequence", ++sequence_}};
      store.Put("servers", worker->id, EncodeBase64(json::serialize(entry)));
    }
  }

 private:
  void Restart(Worker& worker) {
    worker.model = std::make_unique<WorkerModel>(options_, NowMs());
    worker.label = worker.next_label;
  }

  HttpResponse Serve(Worker& worker, const HttpRequest& request) {
    if (worker.mode == WorkerMode::kDown) {
      SleepFiber(kLostAnswerDelay);
      return {.status = 503};
    }
    if (worker.mode == WorkerMode::kLate) {
      // The commands that a process has not carried out yet end with it.
      const std::int64_t started_at = worker.model->started_at();
      SleepFiber(kCommandDelay);
      if (worker.mode == WorkerMode::kDown ||
          worker.model->started_at() != started_at)
        return {.status = 503};
    }
    HttpResponse response = Execute(worker, request);
    if (worker.mode == WorkerMode::kMute)
      SleepFiber(kLostAnswerDelay);
    return response;
  }

  HttpResponse Execute(Worker& worker, const HttpRequest& request) {
    const json::object body = ParseObject(request.body);
    const auto token = body.at("fencingToken").to_number<std::uint64_t>();
    if (request.header("X-Mustardbank-Expect-Instance") != worker.id)
      return ToResponse(421, {});
    if (request.target == "/mustardbank/hold")
      return RenewLease(worker, body, token);
    const RunId run{std::string(body.at("task").as_string()),
                    body.at("run").to_number<std::uint32_t>()};
    if (request.target == "/mustardbank/run-stop")
      return Answer(worker, worker.model->Stop(run, token, NowMs()));
    if (request.target == "/mustardbank/run-start")
      return Start(worker, run, body, token);
    return {.status = 404};
  }

  HttpResponse Start(Worker& worker,
                     const RunId& run,
                     const json::object& body,
                     std::uint64_t token) {
    std::istringstream spec{std::string(body.at("spec").as_string())};
    WorkerModel::Task task;
    std::string outcome;
    spec >> task.millicores >> task.run_ms >> outcome;
    if (outcome == "fail")
      task.end = RunEnd::kFailed;
    worker.model->EndDueRuns(NowMs());
    const bool was_running = worker.model->runs().contains(run.task);
    const CommandAnswer answer = worker.model->Start(
        run, token, body.at("deadlineMs").to_number<std::int64_t>(), task,
        NowMs());
    if (answer == CommandAnswer::kAccepted && !was_running)
      Record(worker, run);
    if (answer == CommandAnswer::kAccepted && outcome == "crash") {
      Restart(worker);
      SleepFiber(kLostAnswerDelay);
    }
    return Answer(worker, answer);
  }

  void Record(const Worker& worker, const RunId& run) {
    log_ << "start " << NowMs() << ' ' << worker.id << ' ' << run.task << ' '
         << run.number << std::endl;
    if (worker.model->UsedMillicores() > worker.millicores)
      log_ << "VIOLATION room " << NowMs() << ' ' << worker.id << ' '
           << worker.model->UsedMillicores() << std::endl;
    for (const auto& other : workers_) {
      other->model->EndDueRuns(NowMs());
      if (other.get() != &worker && other->mode != WorkerMode::kDown &&
          other->model->runs().contains(run.task))
        log_ << "VIOLATION one_run " << NowMs() << ' ' << run.task << " on "
             << other->id << " and " << worker.id << std::endl;
    }
  }

  HttpResponse RenewLease(Worker& worker,
                          const json::object& body,
                          std::uint64_t token) {
    const auto number = [&body](std::string_view key) -> std::int64_t {
      const json::value* value = body.if_contains(key);
      return value ? value->to_number<std::int64_t>() : 0;
    };
    const auto acknowledged =
        static_cast<std::uint64_t>(number("ackedThrough"));
    const CommandAnswer answer =
        worker.model->Renew(token, number("deadlineMs"), acknowledged, NowMs());
    if (answer != CommandAnswer::kAccepted)
      return Answer(worker, answer);
    const std::int64_t end = NowMs() + number("waitMs");
    const std::int64_t started_at = worker.model->started_at();
    while (worker.model->started_at() == started_at && NowMs() < end &&
           !worker.model->HasEndsAfter(acknowledged)) {
      SleepFiber(kPollInterval);
      worker.model->EndDueRuns(NowMs());
    }
    return ToResponse(200, ToJson(worker.model->Report(NowMs())));
  }

  static json::object ToJson(const RenewReport& report) {
    json::array running;
    for (const RunningTask& task : report.running)
      running.push_back(
          json::array{task.run.task, task.run.number, "", task.percent});
    json::array ended;
    for (const EndedTask& task : report.ended)
      ended.push_back(json::array{task.sequence, task.run.task, task.run.number,
                                  kRunEndNames[task.end], ""});
    return {{"clockMs", report.clock_ms},
            {"born", report.incarnation},
            {"running", std::move(running)},
            {"ended", std::move(ended)}};
  }

  static HttpResponse Answer(const Worker& worker, CommandAnswer answer) {
    json::object body{{"clockMs", worker.model->ClockAt(NowMs())}};
    if (answer == CommandAnswer::kAccepted)
      return ToResponse(200, body);
    body["reason"] = answer == CommandAnswer::kFenced ? "fence"
                     : answer == CommandAnswer::kLate ? "late"
                                                      : "old";
    return ToResponse(409, body);
  }

  FiberThread& thread_;
  std::ofstream log_;
  const WorkerModel::Options options_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::int64_t sequence_ = 0;
};

class StandIn {
 public:
  StandIn(FiberThread& thread, const json::object& plan)
      : workers_(thread,
                 std::string(plan.at("log").as_string()),
                 OptionsOf(plan)) {
    const json::array& data_centers = plan.at("data_centers").as_array();
    for (std::int64_t i = 0; i < plan.at("workers").as_int64(); ++i)
      workers_.Add(
          "w" + std::to_string(i),
          std::string(data_centers[i % data_centers.size()].as_string()),
          plan.at("millicores").as_int64());
    FiberThread::SpawnHere([this] {
      while (true) {
        workers_.Register(store_);
        SleepFiber(kRegistrationInterval);
      }
    });
  }

  HttpResponse Serve(const HttpRequest& request) {
    if (request.path() != "/admin")
      return store_.Serve(request);
    if (request.method == "GET")
      return ToResponse(200, {{"workers", workers_.List()}});
    const json::object body = ParseObject(request.body);
    if (const json::value* configuration = body.if_contains("configuration"))
      store_.Put("op", "config", EncodeBase64(json::serialize(*configuration)));
    if (const json::value* entries = body.if_contains("entries")) {
      for (const auto& [key, text] : entries->as_object())
        store_.Put("servers", key, EncodeBase64(std::string(text.as_string())));
    }
    if (const json::value* data_center = body.if_contains("evacuate"))
      store_.Put("op", EvacuationKey(*data_center), EncodeBase64("{}"));
    if (const json::value* data_center = body.if_contains("withdraw"))
      store_.Put("op", EvacuationKey(*data_center), "", /*deleted=*/true);
    if (const json::value* mode = body.if_contains("store"))
      store_.mode = kStoreModes.Find(mode->as_string()).value();
    if (const json::value* worker = body.if_contains("worker")) {
      const std::string id(worker->as_string());
      if (const json::value* mode = body.if_contains("mode"))
        workers_.SetMode(id, kWorkerModes.Find(mode->as_string()).value());
      if (const json::value* label = body.if_contains("label"))
        workers_.SetNextLabel(id, std::string(label->as_string()));
      if (const json::value* address = body.if_contains("address"))
        workers_.SetAddress(id, Endpoint::Parse(address->as_string()).value());
      workers_.Register(store_);
    }
    return ToResponse(200, {});
  }

 private:
  static std::string EvacuationKey(const json::value& data_center) {
    return "evacuate/" + std::string(data_center.as_string());
  }

  static WorkerModel::Options OptionsOf(const json::object& plan) {
    WorkerModel::Options options{.clock_rate = 0.99};
    if (const json::value* rate = plan.if_contains("clock_rate"))
      options.clock_rate = rate->to_number<double>();
    options.ignores_tokens = plan.contains("ignores_tokens");
    return options;
  }

  Store store_;
  Workers workers_;
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: users_platform_stand_in PLAN\n";
    return 64;
  }
  std::ifstream file(argv[1]);
  const json::object plan = ParseObject(
      {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
  FiberThread thread;
  const auto stand_in = RunInFiber(
      thread, [&] { return std::make_shared<StandIn>(thread, plan); });
  HttpServer server(HttpServerLimits{}, [stand_in](HttpRequest&& request) {
    return stand_in->Serve(request);
  });
  const auto endpoint =
      server.Listen({&thread}, Endpoint{.ip = 0x7F000001, .port = 0});
  std::cout << endpoint.value().ToString() << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}
