#include "deployment.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "LibCore/digest.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kStartTimeout{10000};
constexpr std::chrono::milliseconds kCallTimeout{5000};
constexpr std::chrono::milliseconds kPollInterval{25};

}  // namespace

Deployment::Deployment(DeploymentPlan plan) : plan_(std::move(plan)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mustardbank-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
}

Deployment::~Deployment() {
  entries_.clear();
  workers_.clear();
  platform_.reset();
  if (!std::getenv("MUSTARDBANK_KEEP"))
    std::filesystem::remove_all(directory_);
}

void Deployment::Write(const std::string& name, const std::string& text) const {
  std::ofstream(File(name)) << text;
}

bool Deployment::Start() {
  platform_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{MUSTARDBANK_PLATFORM, "127.0.0.1:0"},
      File("platform.log"), kStartTimeout);
  const auto endpoint = Endpoint::Parse(platform_->first_line());
  if (!endpoint)
    return false;
  platform_endpoint_ = *endpoint;
  StartWorkers();
  if (!plan_.configuration.empty() && Apply(plan_.configuration, 0) != 0)
    return false;
  for (int i = 0; i < plan_.entries; ++i)
    StartEntry(i);
  for (int i = 0; i < plan_.entries; ++i) {
    if (!WaitUntilServing(i, kStartTimeout))
      return false;
  }
  // After a few heartbeats, every entry VM has received one from each other.
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  return true;
}

void Deployment::StartWorkers() {
  const int processes = plan_.worker_processes;
  for (int i = 0; i < processes; ++i) {
    json::array places;
    for (std::size_t k = i; k < plan_.data_centers.size(); k += processes)
      places.emplace_back(plan_.data_centers[k]);
    const std::string name = "workers-" + std::to_string(i) + ".json";
    Write(name, json::serialize(json::object{
                    {"data_centers", std::move(places)},
                    {"workers", plan_.workers / processes},
                    {"prefix", "worker-" + std::to_string(i) + "-"},
                    {"slots", plan_.slots},
                    {"rack_size", plan_.rack_size},
                    {"cores", plan_.cores},
                    {"memory_gb", plan_.memory_gb},
                    {"latency_ms", plan_.latency_ms},
                    {"threads", plan_.worker_threads},
                    {"platform", platform_endpoint_.ToString()},
                    {"log", File("starts.log")}}));
    WorkerProcess worker;
    worker.process = std::make_unique<ChildProcess>(
        std::vector<std::string>{MUSTARDBANK_WORKER, File(name)},
        File("workers.log"), kStartTimeout);
    worker.control =
        Endpoint::Parse(worker.process->first_line()).value_or(Endpoint{});
    workers_.push_back(std::move(worker));
  }
}

void Deployment::StartEntry(int index) {
  if (index >= static_cast<int>(entries_.size())) {
    auto vm = std::make_unique<EntryVm>();
    vm->name = "entry-" + std::to_string(index);
    vm->data_center = plan_.data_centers[index % plan_.data_centers.size()];
    vm->callers.ip = vm->operators.ip = vm->peers.ip = 0x7F000001;
    entries_.push_back(std::move(vm));
  }
  EntryVm& vm = *entries_[index];
  json::array seeds;
  for (const auto& other : entries_) {
    if (other->name != vm.name && other->peers.port != 0)
      seeds.emplace_back(other->peers.ToString());
  }
  const std::string name = vm.name + ".json";
  Write(name, json::serialize(json::object{
                  {"name", vm.name},
                  {"data_center", vm.data_center},
                  {"callers", vm.callers.ToString()},
                  {"operators", vm.operators.ToString()},
                  {"peers", vm.peers.ToString()},
                  {"peer_seeds", std::move(seeds)},
                  {"platform", platform_endpoint_.ToString()},
                  {"job_id_key", "a key of the test's own"},
                  {"placement", plan_.placement},
                  {"limits", {{"traffic_threads", plan_.traffic_threads}}}}));
  vm.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{MUSTARDBANK_BINARY, "entry", File(name)},
      File(vm.name + ".log"), kStartTimeout);
  const std::string& line = vm.process->first_line();
  vm.callers =
      Endpoint::Parse(JsonMember(line, "callers")).value_or(vm.callers);
  vm.operators =
      Endpoint::Parse(JsonMember(line, "operators")).value_or(vm.operators);
  vm.peers = Endpoint::Parse(JsonMember(line, "peers")).value_or(vm.peers);
  SetListedState(index, "live");
}

void Deployment::SetListedState(int index, const std::string& state) {
  const EntryVm& vm = *entries_[index];
  UpdateVmList(json::array{json::object{{"name", vm.name},
                                        {"role", "entry"},
                                        {"state", state},
                                        {"data_center", vm.data_center},
                                        {"endpoint", vm.peers.ToString()}}});
}

bool Deployment::WaitUntilServing(int index,
                                  std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto health =
        Call(entries_[index]->operators,
             {.method = "GET", .target = "/healthz"}, kCallTimeout);
    if (health && health->status == 200)
      return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

std::vector<Endpoint> Deployment::callers() const {
  std::vector<Endpoint> list;
  for (const auto& vm : entries_)
    list.push_back(vm->callers);
  return list;
}

std::optional<HttpResponse> Deployment::Call(
    Endpoint endpoint,
    HttpRequest request,
    std::chrono::milliseconds timeout) {
  return RunInFiber(thread_, [&]() -> std::optional<HttpResponse> {
    HttpResult<HttpResponse> response =
        ExchangeOnce(thread_.io(), endpoint, request, timeout);
    return response ? std::optional(std::move(*response)) : std::nullopt;
  });
}

std::optional<HttpResponse> Deployment::CallAs(
    const std::string& token,
    Endpoint endpoint,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    std::chrono::milliseconds timeout) {
  return Call(endpoint,
              HttpRequest{.method = method,
                          .target = target,
                          .headers = {{"Authorization", "Bearer " + token}},
                          .body = body},
              timeout);
}

std::string Deployment::TakeId(const std::string& token, int index) {
  const auto response =
      CallAs(token, entries_[index]->callers, "POST", "/v1/job-ids");
  if (!response || response->status != 200)
    return "";
  const json::value body = json::parse(response->body);
  return std::string(body.at("ids").as_array().at(0).as_string());
}

void Deployment::SetFaults(const json::value& faults) {
  Call(platform_endpoint_,
       {.method = "POST",
        .target = "/admin/faults",
        .body = json::serialize(faults)},
       kCallTimeout);
}

void Deployment::UpdateVmList(const json::value& vms) {
  Call(platform_endpoint_,
       {.method = "POST",
        .target = "/admin/vms",
        .body = json::serialize(json::object{{"vms", vms}})},
       kCallTimeout);
}

void Deployment::SetWorkerMode(const std::string& worker,
                               const std::string& mode,
                               int factor) {
  for (const WorkerProcess& process : workers_) {
    Call(process.control,
         {.method = "POST",
          .target = "/admin/workers",
          .body = json::serialize(json::object{
              {"name", worker}, {"mode", mode}, {"factor", factor}})},
         kCallTimeout);
  }
}

int Deployment::RunCommand(const std::vector<std::string>& arguments) {
  std::vector<std::string> command{MUSTARDBANK_BINARY};
  command.insert(command.end(), arguments.begin(), arguments.end());
  ChildProcess process(command, File("commands.log"), kStartTimeout);
  return process.Wait(kStartTimeout).value_or(-1);
}

int Deployment::Apply(const std::string& configuration,
                      std::uint64_t expected_version) {
  Write("configuration.json", configuration);
  return RunCommand({"apply", "--platform=" + platform_endpoint_.ToString(),
                     "--expect=" + std::to_string(expected_version),
                     File("configuration.json")});
}

json::value Deployment::State(int index) {
  const auto response =
      CallAs("duty", entries_[index]->operators, "GET", "/state");
  if (!response || response->status != 200)
    return json::object{};
  return json::parse(response->body);
}

std::map<std::string, std::uint64_t> Deployment::Counters() {
  std::map<std::string, std::uint64_t> sums;
  for (int i = 0; i < entry_count(); ++i) {
    const json::value state = State(i);
    const json::value* counters = state.as_object().if_contains("counters");
    if (!counters)
      continue;
    for (const auto& member : counters->as_object())
      sums[member.key()] += member.value().to_number<std::uint64_t>();
  }
  return sums;
}

std::vector<LoggedStart> Deployment::Starts() const {
  std::vector<LoggedStart> starts;
  std::ifstream log(File("starts.log"));
  LoggedStart start;
  while (log >> start.at_ms >> start.worker >> start.request >> start.attempt >>
         start.job) {
    starts.push_back(start);
  }
  return starts;
}

std::string TestConfiguration(const std::vector<std::string>& data_centers,
                              const std::string& service_members) {
  json::array places(data_centers.begin(), data_centers.end());
  return R"({"teams":[{"name":"keepers","token_sha256":[")" +
         Sha256Hex("secret") +
         R"("],"slots":100000}],"operators":[{"name":"duty",)"
         R"("token_sha256":")" +
         Sha256Hex("duty") +
         R"("}],"services":[{"name":"guide","teams":["keepers"],"places":)" +
         json::serialize(places) +
         R"(,"requests":[{"name":"card"},)"
         R"({"name":"closure","idempotent":false}])" +
         service_members + "}]}";
}

std::string TestJob(int tasks, int run_ms, const std::string& request) {
  json::array list;
  for (int i = 0; i < tasks; ++i) {
    list.push_back(json::object{{"request", request},
                                {"payload", {{"run_ms", run_ms}, {"tag", i}}}});
  }
  return json::serialize(
      json::object{{"service", "guide"}, {"tasks", std::move(list)}});
}

std::string JsonMember(const std::string& text, std::string_view name) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* member = object ? object->if_contains(name) : nullptr;
  return member && member->is_string() ? std::string(member->get_string()) : "";
}

}  // namespace mustardbank
