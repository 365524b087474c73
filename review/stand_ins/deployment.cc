#include "stand_ins/deployment.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "LibFiber/run_in_fiber.h"

namespace json = boost::json;
using namespace mustardbank;
using std::chrono::milliseconds;

namespace review {

namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr int kReadyMs = 20'000;

std::string NewFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string pattern = std::string(base ? base : "/tmp") + "/review-XXXXXX";
  return ::mkdtemp(pattern.data());
}

Endpoint EndpointAfter(const std::string& text, const std::string& name) {
  const std::size_t at = text.find(name + ' ');
  if (at == std::string::npos)
    return {};
  std::istringstream rest(text.substr(at + name.size() + 1));
  std::string word;
  rest >> word;
  word = word.substr(0, word.find_first_not_of("0123456789.:"));
  return Endpoint::Parse(word).value_or(Endpoint{});
}

json::object Body(const JobOptions& job) {
  json::object step{
      {"count", job.tasks},
      {"cpu", job.cpu},
      {"memMb", 64},
      {"estimateMs", job.estimate_ms > 0 ? job.estimate_ms : job.work_ms}};
  if (!job.requires_label.empty())
    step["requires"] = job.requires_label;
  return {{"spec", std::to_string(job.work_ms) + ' ' + std::to_string(job.cpu)},
          {"bestEffort", true},
          {"steps", json::array{std::move(step)}}};
}

}  // namespace

namespace {

HttpRequest PostOf(const std::string& id, const JobOptions& job) {
  return {.method = "POST",
          .target = "/lohu930/" + id,
          .headers = {{"Host", "nony24.example"},
                      {"Content-Type", "application/json"},
                      {"X-Mustardbank-Deadline-Ms",
                       std::to_string(job.deadline_ms)}},
          .body = json::serialize(Body(job))};
}

std::string Describe(const HttpResult<HttpResponse>& answer) {
  return answer
             ? std::to_string(answer->status) + ' ' + answer->body
             : "none (" +
                   std::string(kHttpFailureNames[answer.error().failure]) + ')';
}

}  // namespace

void SleepMs(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

Deployment::Deployment(const std::string& folder)
    : record_file_(folder + "/record.txt"),
      folder_(NewFolder()),
      record_(folder_ + "/case.rec", NowMs()) {
  std::signal(SIGPIPE, SIG_IGN);
  store_server_ = std::make_unique<HttpServer>(
      HttpServerLimits{},
      [this](HttpRequest&& request) { return store_.Serve(request); });
  store_endpoint_ =
      store_server_->Listen({&thread_}, Endpoint{.ip = kLoopback, .port = 0})
          .value();
}

void Deployment::OnThread(const std::function<void()>& function) {
  RunInFiber(thread_, [&] {
    function();
    return true;
  });
}

std::string Deployment::NewId(const std::string& name) const {
  // The random end of the temporary folder's name.
  return name + '-' + folder_.substr(folder_.size() - 6);
}

void Deployment::SpawnWorker(const WorkerOptions& worker) {
  workers_[worker.id] = std::make_unique<Process>(
      std::vector<std::string>{
          "review/build/worker_stand_in", worker.id,
          worker_addresses_.at(worker.id).ToString(), worker.zone,
          worker.labels, std::to_string(worker.cpu),
          std::to_string(worker.smaller_cpu), store_endpoint_.ToString(),
          folder_ + '/' + worker.id + ".rec",
          std::to_string(record_.base_ms())},
      folder_ + '/' + worker.id + ".log");
}

void Deployment::StartWorker(const WorkerOptions& worker) {
  worker_addresses_[worker.id] = {.ip = kLoopback, .port = 0};
  record_.Merge(folder_ + '/' + worker.id + ".rec");
  SpawnWorker(worker);
  const std::int64_t end = NowMs() + kReadyMs;
  while (worker_addresses_[worker.id].port == 0 && NowMs() < end) {
    SleepMs(5);
    for (const auto& words : record_.Lines()) {
      // TIME worker ID up labels LABELS cpu CPU at ADDRESS
      if (words.size() == 10 && words[2] == worker.id && words[3] == "up")
        worker_addresses_[worker.id] = Endpoint::Parse(words[9]).value();
    }
  }
}

void Deployment::KillWorker(const std::string& id) {
  workers_.at(id)->Kill();
  record_.Write("worker " + id + " killed");
}

void Deployment::RestartWorker(const WorkerOptions& worker) {
  SpawnWorker(worker);
}

void Deployment::Shrink(const std::string& id) {
  workers_.at(id)->Signal(SIGUSR1);
}

void Deployment::PutConfiguration(int version, bool has_route) {
  OnThread([&] {
    store_.Put(
        "op", "config",
        {{"version", version},
         {"routes", json::array{json::object{
                        {"name", "r-itineraire"},
                        {"host", "nony24.example"},
                        {"pathPrefix", has_route ? "/lohu930/" : "/pufi791/"},
                        {"type", "non_idempotent"},
                        {"timeoutMs", 1500},
                        {"targetLatencyMs", 60},
                        {"priority", 1},
                        {"service", "guide"},
                        {"attempts", 2},
                        {"stretch", 1.6}}}},
         {"services", json::array{json::object{{"name", "guide"},
                                               {"healthPath", "/health"},
                                               {"maxConnections", 64},
                                               {"protocol", "h1"},
                                               {"tls", false},
                                               {"admissionCheck", false},
                                               {"standby", false}}}},
         {"limits", json::object{{"maxHeaderBytes", 16384},
                                 {"maxBodyBytes", 262144},
                                 {"headerTimeoutMs", 3000},
                                 {"idleTimeoutMs", 15000}}}});
  });
}

void Deployment::StartEntry(const std::string& name,
                            const std::string& zone,
                            std::map<std::string, std::string> addresses) {
  Entry& entry = entries_[name];
  entry.addresses = std::move(addresses);
  if (!entry.store) {
    entry.store = std::make_unique<HttpServer>(
        HttpServerLimits{}, [this, &entry](HttpRequest&& request) {
          return store_.Serve(request, entry.addresses);
        });
    entry.store_endpoint =
        entry.store->Listen({&thread_}, Endpoint{.ip = kLoopback, .port = 0})
            .value();
  }
  // As the template of the deploy file yields it, with free ports.
  const std::string file = folder_ + '/' + name + ".json";
  std::ofstream(file) << json::serialize(
      json::object{{"name", name},
                   {"data_center", zone},
                   {"callers", "127.0.0.1:0"},
                   {"readiness", "127.0.0.1:0"},
                   {"ip", "127.0.0.1"},
                   {"peer_port", 0},
                   {"metrics_port", 0},
                   {"store", entry.store_endpoint.ToString()},
                   {"processors", json::object{{"share", 0.25}, {"speed", 1}}},
                   {"memory_mb", 260},
                   {"longest_lease_ms", 1000},
                   {"stop_ms", 50},
                   {"grace_s", 6},
                   {"drain_ms", 2000},
                   {"worker_heartbeat_ms", 1500},
                   {"capacity_notice_ms", 3000},
                   {"configuration_ms", 2000}});
  const std::string log =
      folder_ + '/' + name + '.' + std::to_string(++entry.starts) + ".log";
  entry.peers = {};
  entry.process = std::make_unique<Process>(
      std::vector<std::string>{"target/mustardbank", "lease-entry", file}, log);
  const std::int64_t end = NowMs() + kReadyMs;
  while (entry.peers.port == 0 && NowMs() < end) {
    SleepMs(10);
    std::ifstream stream(log);
    std::string line;
    std::getline(stream, line);
    if (stream.eof())
      continue;  // not written in full yet
    entry.callers = EndpointAfter(line, "callers");
    entry.readiness = EndpointAfter(line, "readiness");
    entry.peers = EndpointAfter(line, "peers");
  }
  record_.Write("entry " + name + " in " + zone + " started");
}

Endpoint Deployment::PeersOf(const std::string& entry) const {
  return entries_.at(entry).peers;
}

void Deployment::Reroute(const std::string& entry,
                         std::map<std::string, std::string> addresses) {
  OnThread([&] { entries_.at(entry).addresses = std::move(addresses); });
}

void Deployment::Finish(bool is_broken, bool was_played) {
  bool is_complete = was_played;
  for (auto& [name, entry] : entries_) {
    if (!stopped_entries_.contains(name) && entry.process->HasEnded()) {
      record_.Write("entry " + name + " ended by itself");
      is_complete = false;
    }
  }
  for (auto& [id, worker] : workers_) {
    if (worker->WasKilled() || !worker->HasEnded())
      continue;
    record_.Write("worker " + id + " ended by itself");
    is_complete = false;
  }
  Outcome outcome = is_broken ? Outcome::kBroken : Outcome::kHeld;
  if (!is_complete)
    outcome = Outcome::kCouldNotRun;
  record_.Write(!is_complete ? "the case could not run"
                : is_broken  ? "rule broken"
                             : "rule held");
  record_.Save(record_file_);
  for (auto& [name, entry] : entries_)
    entry.process->Kill();
  for (auto& [id, worker] : workers_)
    worker->Kill();
  // The logs of a case that could not run tell why.
  if (is_complete)
    std::filesystem::remove_all(folder_);
  // The thread of the stand-ins does not end: exit without its destructors.
  std::_Exit(static_cast<int>(outcome));
}

bool Deployment::WaitUntilReady() {
  const std::int64_t end = NowMs() + kReadyMs;
  for (const auto& [name, entry] : entries_) {
    while (true) {
      bool is_ready = false;
      OnThread([&] {
        const auto answer = ExchangeOnce(
            thread_.io(), entry.readiness,
            HttpRequest{.method = "GET", .target = "/mustardbank/readiness"},
            milliseconds(500));
        is_ready = answer && answer->status == 200;
      });
      if (is_ready)
        break;
      if (NowMs() > end) {
        record_.Write("entry " + name + " did not get ready; logs in " +
                      folder_);
        return false;
      }
      SleepMs(50);
    }
  }
  record_.Write("all entries ready");
  return true;
}

void Deployment::Submit(const std::string& name,
                        const std::string& id,
                        const JobOptions& job,
                        int leaves_after_ms) {
  const Endpoint callers = entries_.at(name).callers;
  thread_.Spawn([=, this] {
    const HttpRequest request = PostOf(id, job);
    record_.Write("client submits " + id + " to " + name);
    HttpConnection connection(thread_.io());
    const int patience =
        leaves_after_ms > 0 ? leaves_after_ms : job.deadline_ms + 500;
    std::string outcome = "no channel";
    if (connection.Connect(callers, milliseconds(1000))) {
      // At its end the client closes the channel.
      const auto answer = connection.Exchange(request, milliseconds(patience));
      outcome = Describe(answer);
      connection.Close();
    }
    record_.Write("client's answer for " + id + " from " + name + ": " +
                  outcome);
  });
}

void Deployment::SubmitOnOneChannel(const std::string& name,
                                    const std::vector<TimedJob>& jobs) {
  const Endpoint callers = entries_.at(name).callers;
  thread_.Spawn([=, this] {
    HttpConnection connection(thread_.io());
    if (!connection.Connect(callers, milliseconds(1000)))
      return;
    for (const TimedJob& timed : jobs) {
      if (timed.at > NowMs())
        SleepFiber(milliseconds(timed.at - NowMs()));
      // The server has closed the channel after an answer.
      if (!connection.IsReusable())
        return;
      record_.Write("client sends " + timed.id + " to " + name);
      const auto answer =
          connection.Exchange(PostOf(timed.id, timed.job),
                              milliseconds(timed.job.deadline_ms + 500));
      record_.Write("client's answer for " + timed.id + " from " + name + ": " +
                    Describe(answer));
      if (!answer)
        return;
    }
  });
}

void Deployment::SignalEntry(const std::string& name, int signal) {
  stopped_entries_.insert(name);
  entries_.at(name).process->Signal(signal);
  record_.Write("entry " + name + " gets signal " + std::to_string(signal));
}

bool Deployment::HasEntryEnded(const std::string& name) {
  return entries_.at(name).process->HasEnded();
}

unsigned Deployment::Cancel(const std::string& name, const std::string& id) {
  unsigned status = 0;
  OnThread([&] {
    record_.Write("client cancels " + id + " at " + name);
    const auto answer =
        ExchangeOnce(thread_.io(), entries_.at(name).callers,
                     HttpRequest{.method = "DELETE",
                                 .target = "/lohu930/" + id,
                                 .headers = {{"Host", "nony24.example"}}},
                     milliseconds(3000));
    status = answer ? answer->status : 0;
    record_.Write("cancel of " + id + " acknowledged " +
                  std::to_string(status));
  });
  return status;
}

}  // namespace review
