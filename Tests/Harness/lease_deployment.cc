#include "Harness/lease_deployment.h"

#include <unistd.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <fstream>
#include <sstream>
#include <thread>

#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartTimeout{10'000};
constexpr milliseconds kAdminTimeout{5000};

FiberThread& ClientThread() {
  static FiberThread thread;
  return thread;
}

HttpResult<HttpResponse> Exchange(Endpoint endpoint,
                                  const HttpRequest& request,
                                  milliseconds timeout) {
  return RunInFiber(ClientThread(), [&] {
    return ExchangeOnce(ClientThread().io(), endpoint, request, timeout);
  });
}

CallerAnswer ToAnswer(const HttpResult<HttpResponse>& response) {
  if (!response)
    return {};
  return {.status = response->status,
          .body = response->body,
          .retry_after = std::string(response->header("Retry-After"))};
}

// Returns the endpoint that follows `name` in the log line that an entry writes
// when it has started.
Endpoint EndpointAfter(const std::string& line, const std::string& name) {
  const std::size_t at = line.find(name + ' ');
  if (at == std::string::npos)
    return {};
  std::istringstream rest(line.substr(at + name.size() + 1));
  std::string text;
  rest >> text;
  if (text.ends_with('"'))
    text.pop_back();
  return Endpoint::Parse(text).value_or(Endpoint{});
}

}  // namespace

LeaseDeployment::LeaseDeployment(LeaseDeploymentOptions options,
                                 bool start_entries)
    : options_(std::move(options)),
      entries_(options_.entries),
      callers_(options_.entries),
      readiness_(options_.entries),
      metrics_(options_.entries),
      peers_(options_.entries),
      store_routes_(options_.entries),
      starts_(options_.entries) {
  char folder[] = "/tmp/mustardbank-lease-XXXXXX";
  folder_ = ::mkdtemp(folder);
  json::object plan = options_.plan;
  plan["workers"] = options_.workers;
  plan["data_centers"] = json::value_from(options_.data_centers);
  plan["millicores"] = options_.millicores;
  plan["log"] = folder_ + "/starts";
  std::ofstream(folder_ + "/plan.json") << json::serialize(plan);
  platform_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{MUSTARDBANK_USERS_PLATFORM,
                               folder_ + "/plan.json"},
      folder_ + "/platform.err", kStartTimeout);
  store_ = Endpoint::Parse(platform_->first_line()).value_or(Endpoint{});
  PutConfiguration(1, {"/jobs/"});
  for (int i = 0; start_entries && i < options_.entries; ++i)
    StartEntry(i);
}

LeaseDeployment::~LeaseDeployment() = default;

std::string LeaseDeployment::BinaryOf(int entry, int start) const {
  const bool is_earlier =
      !options_.earlier_binary.empty() && (entry + start) % 2 == 1;
  return is_earlier ? options_.earlier_binary : MUSTARDBANK_BINARY;
}

std::string LeaseDeployment::EntryLog(int entry) const {
  return folder_ + "/entry" + std::to_string(entry) + ".log";
}

std::string LeaseDeployment::SettingsFile(int entry) const {
  return folder_ + "/entry" + std::to_string(entry) + ".json";
}

void LeaseDeployment::WriteSettings(int index,
                                    const json::object& changes) const {
  json::object settings{
      {"name", "entry" + std::to_string(index)},
      {"data_center",
       options_.data_centers[index % options_.data_centers.size()]},
      {"callers", "127.0.0.1:0"},
      {"readiness", "127.0.0.1:0"},
      {"ip", "127.0.0.1"},
      {"peer_port", 0},
      {"metrics_port", 0},
      {"store", (store_routes_[index].port != 0 ? store_routes_[index] : store_)
                    .ToString()},
      {"log_lines_per_second", 100'000}};
  for (const auto& [key, value] : options_.settings)
    settings[key] = value;
  for (const auto& [key, value] : changes)
    settings[key] = value;
  std::ofstream(SettingsFile(index)) << json::serialize(settings);
}

void LeaseDeployment::StartEntry(int index) {
  const std::string name = "entry" + std::to_string(index);
  WriteSettings(index, {});
  entries_[index].reset();
  entries_[index] = std::make_unique<ChildProcess>(
      std::vector<std::string>{BinaryOf(index, starts_[index]++), "lease-entry",
                               SettingsFile(index)},
      folder_ + '/' + name + ".err", EntryLog(index), kStartTimeout);
  const std::string& line = entries_[index]->first_line();
  callers_[index] = EndpointAfter(line, "\"callers");
  if (callers_[index].port == 0)
    callers_[index] = EndpointAfter(line, "callers");
  readiness_[index] = EndpointAfter(line, "readiness");
  metrics_[index] = EndpointAfter(line, "metrics");
  peers_[index] = EndpointAfter(line, "peers");
}

bool LeaseDeployment::WaitUntilReady(milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  for (const Endpoint endpoint : readiness_) {
    while (true) {
      const auto response = Exchange(endpoint, {.method = "GET", .target = "/"},
                                     milliseconds(500));
      if (response && response->status == 200)
        break;
      if (std::chrono::steady_clock::now() > end)
        return false;
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  return true;
}

CallerAnswer LeaseDeployment::Call(int entry,
                                   const HttpRequest& request,
                                   milliseconds max_wait) const {
  return ToAnswer(Exchange(callers_[entry], request, max_wait));
}

CallerAnswer LeaseDeployment::CallAsPeer(int entry,
                                         const HttpRequest& request,
                                         milliseconds max_wait) const {
  return ToAnswer(Exchange(peers_[entry], request, max_wait));
}

CallerAnswer LeaseDeployment::Submit(int entry,
                                     const std::string& id,
                                     int tasks,
                                     int millicores,
                                     int run_ms,
                                     milliseconds max_wait,
                                     const std::string& outcome) const {
  const json::object step{{"count", tasks},
                          {"cpu", millicores},
                          {"memMb", 16},
                          {"estimateMs", run_ms}};
  const json::object job{
      {"spec", std::to_string(millicores) + ' ' + std::to_string(run_ms) +
                   (outcome.empty() ? "" : ' ' + outcome)},
      {"bestEffort", true},
      {"steps", json::array{step}}};
  return Call(entry,
              {.method = "POST",
               .target = "/jobs/" + id,
               .headers = {{"Host", "host"},
                           {"X-Mustardbank-Deadline-Ms",
                            std::to_string(max_wait.count())}},
               .body = json::serialize(job)},
              max_wait + milliseconds(200));
}

std::string LeaseDeployment::Scrape(int entry) const {
  const auto response = Exchange(
      metrics_[entry], {.method = "GET", .target = "/metrics"}, kAdminTimeout);
  return response ? response->body : "";
}

void LeaseDeployment::Admin(const json::object& change) const {
  const auto done = Exchange(
      store_,
      {.method = "POST", .target = "/admin", .body = json::serialize(change)},
      kAdminTimeout);
  static_cast<void>(done);
}

std::map<std::string, Endpoint> LeaseDeployment::Workers() const {
  std::map<std::string, Endpoint> workers;
  const auto response =
      Exchange(store_, {.method = "GET", .target = "/admin"}, kAdminTimeout);
  if (!response)
    return workers;
  const json::value list = json::parse(response->body);
  for (const json::value& worker : list.at("workers").as_array())
    workers[std::string(worker.at("id").as_string())] =
        Endpoint::Parse(worker.at("address").as_string()).value();
  return workers;
}

void LeaseDeployment::PutConfiguration(
    std::uint64_t version,
    const std::vector<std::string>& prefixes) const {
  json::array routes;
  for (const std::string& prefix : prefixes)
    routes.push_back(json::object{{"name", "queue" + prefix},
                                  {"host", "host"},
                                  {"pathPrefix", prefix},
                                  {"type", "non_idempotent"},
                                  {"timeoutMs", 1500},
                                  {"targetLatencyMs", 200},
                                  {"priority", 0},
                                  {"service", "guide"},
                                  {"attempts", 2},
                                  {"stretch", 3.0}});
  Admin({{"configuration",
          json::object{{"version", version}, {"routes", std::move(routes)}}}});
}

std::vector<std::string> LeaseDeployment::Violations() const {
  std::vector<std::string> violations;
  std::ifstream file(folder_ + "/starts");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VIOLATION"))
      violations.push_back(line);
  }
  return violations;
}

bool LeaseDeployment::HasLogged(int entry,
                                const std::string& event,
                                const std::string& detail) const {
  std::ifstream file(EntryLog(entry));
  std::string line;
  while (std::getline(file, line)) {
    if (line.find("event=" + event + ' ') != std::string::npos &&
        line.find(detail) != std::string::npos)
      return true;
  }
  return false;
}

int LeaseDeployment::StartsOf(const std::string& job) const {
  int starts = 0;
  std::ifstream file(folder_ + "/starts");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("start") &&
        line.find(' ' + job + '.') != std::string::npos)
      ++starts;
  }
  return starts;
}

}  // namespace mustardbank
