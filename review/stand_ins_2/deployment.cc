#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>

namespace review {

namespace {

constexpr std::int64_t kLongestLeaseMs = 1000;  // maxHoldMs
constexpr std::int64_t kStopMs = 50;            // stopTimeoutMs
constexpr std::int64_t kHeartbeatMs = 1500;     // heartbeatMs
constexpr std::int64_t kStoreReadMs = 4;
constexpr std::int64_t kStoreWriteMs = 6;  // txMs

const auto kBegan = std::chrono::steady_clock::now();

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string part = target.substr(
        at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos)
      query[part.substr(0, equals)] = Decode(part.substr(equals + 1));
    at = end;
  }
  return query;
}

json::object Parse(const std::string& text) {
  beast::error_code error;
  json::value value = json::parse(text, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

std::int64_t Number(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

std::string Text(const json::value& object, const char* key) {
  const json::value* value = object.as_object().if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

Reply ToReply(int status, const json::object& body) {
  return {status, json::serialize(body)};
}

double Dice() {
  static std::mutex mutex;
  static std::mt19937 random(46);
  const std::lock_guard lock(mutex);
  return std::uniform_real_distribution<>(0, 1)(random);
}

unsigned short FreePort() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - kBegan)
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

void SleepUntil(std::int64_t at_ms) {
  std::this_thread::sleep_until(kBegan + milliseconds(at_ms));
}

std::string EncodeBase64(const std::string& text) {
  std::string encoded(beast::detail::base64::encoded_size(text.size()), '\0');
  encoded.resize(beast::detail::base64::encode(encoded.data(), text.data(),
                                               text.size()));
  return encoded;
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  file_ << NowMs() << " ms " << line << std::endl;
}

// --- Store ------------------------------------------------------------------

std::uint64_t Store::Put(const std::string& table,
                         const std::string& key,
                         const std::string& value) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {EncodeBase64(value), ++version_, false};
  changed_.notify_all();
  return version_;
}

json::object Store::ToJson(const std::string& table,
                           const std::string& key,
                           const Row& row) const {
  json::object object{{"table", table},
                      {"part", ""},
                      {"key", key},
                      {"value", row.value},
                      {"rowVersion", row.version}};
  if (row.deleted)
    object["deleted"] = true;
  return object;
}

Reply Store::Serve(int entry, const Request& request) {
  const std::string target(request.target());
  const std::string path = target.substr(0, target.find('?'));
  const auto query = QueryOf(target);
  if (path == "/mustardbank/rows-get") {
    SleepMs(kStoreReadMs);
    const Reply reply = Get(query);
    if (query.contains("table") && query.at("table") == "servers")
      before_worker_list(entry);
    return reply;
  }
  if (path == "/mustardbank/rows-feed")
    return Feed(query);
  if (path == "/mustardbank/rows-tx") {
    SleepMs(kStoreWriteMs);
    return Transact(Parse(request.body()));
  }
  return {404, "{}"};
}

Reply Store::Get(const std::map<std::string, std::string>& query) {
  const std::string table = query.at("table");
  const std::string from = query.contains("from") ? query.at("from") : "";
  std::size_t limit = 500;
  if (query.contains("limit"))
    limit = std::min<std::size_t>(limit, std::stoul(query.at("limit")));
  const std::lock_guard lock(mutex_);
  json::array rows;
  bool has_more = false;
  const auto& table_rows = tables_[table];
  for (auto it = table_rows.lower_bound(from); it != table_rows.end(); ++it) {
    if (it->second.deleted)
      continue;
    if (rows.size() == limit) {
      has_more = true;
      break;
    }
    rows.push_back(ToJson(table, it->first, it->second));
  }
  return ToReply(200, {{"rows", std::move(rows)},
                       {"hasMore", has_more},
                       {"rowVersion", version_},
                       {"nowMs", NowMs()}});
}

Reply Store::Feed(const std::map<std::string, std::string>& query) {
  const std::string table = query.at("table");
  const std::uint64_t after = std::stoull(query.at("after"));
  const auto end = std::chrono::steady_clock::now() +
                   milliseconds(std::stoll(query.at("waitMs")));
  std::unique_lock lock(mutex_);
  while (true) {
    std::map<std::uint64_t, json::object> rows;
    for (const auto& [key, row] : tables_[table]) {
      if (row.version > after)
        rows[row.version] = ToJson(table, key, row);
    }
    if (!rows.empty() || std::chrono::steady_clock::now() >= end) {
      json::array list;
      for (auto& [version, row] : rows)
        list.push_back(std::move(row));
      return ToReply(200, {{"rows", std::move(list)},
                           {"rowVersion", version_},
                           {"nowMs", NowMs()}});
    }
    changed_.wait_until(lock, end);
  }
}

Reply Store::Transact(const json::object& body) {
  const std::lock_guard lock(mutex_);
  const auto list = [&](const char* key) {
    const json::value* value = body.if_contains(key);
    return value && value->is_array() ? value->get_array() : json::array();
  };
  for (const char* key : {"upserts", "remove"}) {
    for (const json::value& row : list(key)) {
      if (Text(row, "table") == "op" || Text(row, "table") == "servers")
        return {403, "{}"};
    }
  }
  json::array conflicts;
  for (const json::value& condition : list("precondition")) {
    const Row& row = tables_[Text(condition, "table")][Text(condition, "key")];
    const std::uint64_t version = row.deleted ? 0 : row.version;
    if (static_cast<std::uint64_t>(
            Number(condition.as_object(), "rowVersion")) != version)
      conflicts.push_back(
          ToJson(Text(condition, "table"), Text(condition, "key"), row));
  }
  if (!conflicts.empty())
    return ToReply(412, {{"rows", std::move(conflicts)},
                         {"rowVersion", version_},
                         {"nowMs", NowMs()}});
  ++version_;
  for (const json::value& row : list("upserts"))
    tables_[Text(row, "table")][Text(row, "key")] = {Text(row, "value"),
                                                     version_, false};
  for (const json::value& row : list("remove"))
    tables_[Text(row, "table")][Text(row, "key")] = {"", version_, true};
  changed_.notify_all();
  return ToReply(200, {{"rowVersion", version_}, {"nowMs", NowMs()}});
}

// --- Starts -----------------------------------------------------------------

std::size_t Starts::Add(Start start) {
  const std::lock_guard lock(mutex_);
  starts_.push_back(std::move(start));
  return starts_.size() - 1;
}

void Starts::End(std::size_t index, const std::string& how) {
  const std::lock_guard lock(mutex_);
  starts_[index].ended = NowMs();
  starts_[index].how = how;
}

std::vector<Start> Starts::All() {
  const std::lock_guard lock(mutex_);
  return starts_;
}

// --- Worker -----------------------------------------------------------------

Worker::Worker(Options options, Store& store, Starts& starts, Record& record)
    : options_(std::move(options)),
      store_(store),
      starts_(starts),
      record_(record),
      server_([this](const Request& request) { return Serve(request); }) {
  server_.Listen();
  Restart(options_.labels);
  std::thread([this] {
    while (true) {
      SleepMs(2);
      std::unique_lock lock(mutex_);
      EndDue();
      while (!late_orders_.empty() &&
             late_orders_.begin()->first <= NowMs()) {
        Request request = std::move(late_orders_.begin()->second);
        late_orders_.erase(late_orders_.begin());
        // A late `hold` has nobody to wait for.
        if (request.target() != "/mustardbank/hold")
          Execute(request, lock);
      }
    }
  }).detach();
  std::thread([this] {
    while (true) {
      SleepMs(kHeartbeatMs);
      {
        const std::lock_guard lock(mutex_);
        if (!is_up_)
          continue;
      }
      Register();
    }
  }).detach();
}

std::int64_t Worker::Clock() const {
  return 1000 + NowMs() - started_at_;
}

std::int64_t Worker::Register() {
  json::object entry;
  {
    const std::lock_guard lock(mutex_);
    json::array labels;
    for (const std::string& label : options_.labels)
      labels.emplace_back(label);
    entry = {{"service", "desk"},
             {"address", server_.address()},
             {"zone", options_.zone},
             {"version", "v1"},
             {"slots", 8},
             {"state", is_draining_ ? "draining" : "ready"},
             {"coldRemainingMs", 0},
             {"capacity",
              {{"cpu", options_.cpu}, {"memMb", 32768}, {"gpu", 0}}},
             {"labels", std::move(labels)},
             {"born", born_},
             {"clockMs", Clock()},
             {"sequence", ++sequence_}};
    if (is_draining_)
      entry["remainingMs"] = 30000;
  }
  store_.Put("servers", options_.id, json::serialize(entry));
  return NowMs();
}

std::int64_t Worker::Drain() {
  {
    const std::lock_guard lock(mutex_);
    is_draining_ = true;
  }
  const std::int64_t accepted = Register();
  record_.Write("worker " + options_.id +
                " drains; the store has accepted the report");
  return accepted;
}

void Worker::Crash() {
  const std::lock_guard lock(mutex_);
  is_up_ = false;
  for (const auto& [task, run] : runs_)
    starts_.End(run.index, "crashed");
  runs_.clear();
  ended_signal_.notify_all();
  server_.Crash();
  record_.Write("worker " + options_.id + " crashes");
}

void Worker::Restart(std::vector<std::string> labels) {
  {
    const std::lock_guard lock(mutex_);
    options_.labels = std::move(labels);
    born_ = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    started_at_ = NowMs();
    token_ = 0;
    lease_until_ = 0;
    next_end_ = 1;
    sequence_ = 0;
    closed_.clear();
    late_orders_.clear();
    ends_.clear();
    if (life_++ > 0) {
      record_.Write("worker " + options_.id + " starts again, with the labels " +
                    options_.labels.front());
      server_.Listen(server_.port());
    }
    is_up_ = true;
  }
  Register();
}

void Worker::ExtendLease(std::int64_t deadline) {
  lease_until_ = std::max(lease_until_,
                          std::min(deadline, Clock() + kLongestLeaseMs));
}

void Worker::Close(const std::string& task, const std::string& how) {
  const Run run = runs_.at(task);
  runs_.erase(task);
  closed_[task] = std::max(closed_[task], run.number);
  ends_.push_back({next_end_++, task, run.number, how});
  starts_.End(run.index, how);
  ended_signal_.notify_all();
}

void Worker::EndDue() {
  const std::int64_t now = NowMs();
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : runs_) {
    if (Clock() >= lease_until_)
      due.emplace_back(task, "lapsed");
    else if (run.stops_at >= 0 && now >= run.stops_at)
      due.emplace_back(task, "stopped");
    else if (now >= run.ends_at)
      due.emplace_back(task, "done");
  }
  for (const auto& [task, how] : due)
    Close(task, how);
}

Reply Worker::Conflict(const std::string& reason) {
  return ToReply(409, {{"clockMs", Clock()}, {"reason", reason}});
}

Reply Worker::Serve(const Request& request) {
  if (Dice() < late_share) {
    {
      const std::lock_guard lock(mutex_);
      late_orders_.emplace(
          NowMs() + 2000 + static_cast<std::int64_t>(10'000 * Dice()), request);
    }
    SleepMs(1000);  // longer than any caller waits
    return {};
  }
  std::unique_lock lock(mutex_);
  return is_up_ ? Execute(request, lock) : Reply();
}

Reply Worker::Execute(const Request& request,
                      std::unique_lock<std::mutex>& lock) {
  if (request["X-Mustardbank-Expect-Instance"] != options_.id)
    return {421, "{}"};
  const json::object body = Parse(request.body());
  EndDue();
  const std::int64_t token = Number(body, "fencingToken");
  if (token < token_)
    return Conflict("fence");
  token_ = token;
  if (request.target() == "/mustardbank/run-start")
    return StartTask(body);
  if (request.target() == "/mustardbank/run-stop")
    return StopTask(body);
  if (request.target() == "/mustardbank/hold")
    return Hold(body, lock);
  return {404, "{}"};
}

Reply Worker::StartTask(const json::object& body) {
  const std::string task = Text(body, "task");
  const std::int64_t number = Number(body, "run");
  const std::int64_t deadline = Number(body, "deadlineMs");
  if (deadline <= Clock())
    return Conflict("late");
  ExtendLease(deadline);
  if (const auto it = runs_.find(task); it != runs_.end()) {
    if (it->second.number == number)
      return ToReply(200, {{"clockMs", Clock()}});
    return Conflict("old");
  }
  if (const auto it = closed_.find(task);
      it != closed_.end() && it->second >= number)
    return Conflict("old");
  const std::int64_t work_ms = std::atoll(Text(body, "spec").c_str());
  runs_[task] = {.number = number,
                 .ends_at = NowMs() + work_ms,
                 .work_ms = work_ms,
                 .index = starts_.Add({.worker = options_.id,
                                       .labels = options_.labels,
                                       .task = task,
                                       .run = number,
                                       .began = NowMs()})};
  return ToReply(200, {{"clockMs", Clock()}});
}

Reply Worker::StopTask(const json::object& body) {
  const std::string task = Text(body, "task");
  const std::int64_t number = Number(body, "run");
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.number == number) {
    if (it->second.stops_at < 0)
      it->second.stops_at = NowMs() + kStopMs - 10;
  } else {
    closed_[task] = std::max(closed_[task], number);
  }
  return ToReply(200, {{"clockMs", Clock()}});
}

Reply Worker::Hold(const json::object& body,
                   std::unique_lock<std::mutex>& lock) {
  if (const std::int64_t deadline = Number(body, "deadlineMs"); deadline > 0)
    ExtendLease(deadline);
  const std::int64_t acknowledged = Number(body, "ackedThrough");
  std::erase_if(ends_, [&](const End& end) {
    return end.sequence <= acknowledged;
  });
  const int life = life_;
  ended_signal_.wait_for(lock, milliseconds(Number(body, "waitMs")), [&] {
    return life != life_ || !is_up_ || !ends_.empty();
  });
  if (life != life_ || !is_up_)
    return {};
  json::array running;
  for (const auto& [task, run] : runs_) {
    const std::int64_t left = std::max<std::int64_t>(0, run.ends_at - NowMs());
    const std::int64_t percent =
        100 - 100 * left / std::max<std::int64_t>(1, run.work_ms);
    running.push_back(json::array{task, run.number, "", percent});
  }
  json::array ended;
  for (const End& end : ends_)
    ended.push_back(
        json::array{end.sequence, end.task, end.run, end.how, ""});
  return ToReply(200, {{"clockMs", Clock()},
                       {"born", born_},
                       {"running", std::move(running)},
                       {"ended", std::move(ended)}});
}

// --- Deployment -------------------------------------------------------------

Deployment::Deployment(const std::string& folder)
    : record_(folder + "/record.txt") {
  std::signal(SIGPIPE, SIG_IGN);
  char name[] = "/tmp/review-XXXXXX";
  temporary_ = ::mkdtemp(name);
}

Deployment::~Deployment() {
  Finish();
}

void Deployment::AddWorker(Worker::Options options) {
  const std::string id = options.id;
  workers_[id] =
      std::make_unique<Worker>(std::move(options), store_, starts_, record_);
}

void Deployment::AddEntry(const std::string& name, const std::string& zone) {
  const int index = static_cast<int>(entries_.size());
  Entry& entry = entries_.emplace_back();
  entry.name = name;
  entry.zone = zone;
  entry.store = std::make_unique<HttpServer>([this, index](const Request& r) {
    return store_.Serve(index, r);
  });
  entry.store->Listen();
  Spawn(entry);
  record_.Write("entry " + name + " in zone " + zone + " started");
}

void Deployment::Spawn(Entry& entry) {
  entry.callers = FreePort();
  entry.readiness = FreePort();
  // The fields of platform/entry_settings.json.template, with the values of
  // the small site.
  const json::object settings{
      {"name", entry.name},
      {"data_center", entry.zone},
      {"callers", "127.0.0.1:" + std::to_string(entry.callers)},
      {"readiness", "127.0.0.1:" + std::to_string(entry.readiness)},
      {"ip", "127.0.0.1"},
      {"peer_port", FreePort()},
      {"metrics_port", FreePort()},
      {"store", entry.store->address()},
      {"processors", {{"share", 0.25}, {"speed", 1}}},
      {"memory_mb", 260},
      {"longest_lease_ms", kLongestLeaseMs},
      {"stop_ms", kStopMs},
      {"grace_s", 6},
      {"drain_ms", 2000},
      {"worker_heartbeat_ms", kHeartbeatMs},
      {"capacity_notice_ms", 3000},
      {"configuration_ms", 2000}};
  const std::string file = temporary_ + "/" + entry.name + ".json";
  std::ofstream(file) << json::serialize(settings);
  const std::string log = temporary_ + "/" + entry.name + ".log";
  entry.pid = ::fork();
  if (entry.pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::close_range(3, ~0U, 0);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::execl("target/mustardbank", "target/mustardbank", "lease-entry",
            file.c_str(), nullptr);
    ::_exit(127);
  }
}

void Deployment::PutConfiguration(std::int64_t version,
                                  double stretch,
                                  int target_ms,
                                  const std::vector<std::string>& queues) {
  json::array routes;
  for (const std::string& queue : queues)
    routes.push_back({{"name", queue},
                      {"host", "desk.example"},
                      {"pathPrefix", "/" + queue + "/"},
                      {"type", "non_idempotent"},
                      {"timeoutMs", 20000},
                      {"targetLatencyMs", target_ms},
                      {"priority", 0},
                      {"service", "desk"},
                      {"attempts", 2},
                      {"stretch", stretch}});
  const json::object configuration{
      {"version", version},
      {"routes", std::move(routes)},
      {"services",
       json::array{json::object{{"name", "desk"},
                                {"healthPath", "/health"},
                                {"maxConnections", 64},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"admissionCheck", false},
                                {"standby", false}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 262144},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}};
  store_.Put("op", "config", json::serialize(configuration));
  record_.Write("the store has accepted configuration " +
                std::to_string(version));
}

std::string Deployment::NewId() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(next_id_++));
  return text;
}

Submission Deployment::Submit(int entry,
                              const std::string& queue,
                              const std::string& id,
                              const json::array& steps,
                              const std::string& spec,
                              std::int64_t deadline_ms,
                              std::optional<std::int64_t> patience_ms) {
  Submission submission{.id = id};
  const std::string body = json::serialize(
      json::object{{"spec", spec}, {"bestEffort", true}, {"steps", steps}});
  submission.answer->sent = NowMs();
  submission.thread = std::make_shared<std::thread>(
      [this, entry, queue, id, body, deadline_ms, patience_ms,
       answer = submission.answer] {
        record_.Write("POST " + id + " to " + entries_[entry].name);
        const Reply reply =
            Call("POST", entries_[entry].callers, "/" + queue + "/" + id,
                 {{"Host", "desk.example"},
                  {"Content-Type", "application/json"},
                  {"X-Mustardbank-Deadline-Ms", std::to_string(deadline_ms)}},
                 body, milliseconds(patience_ms.value_or(deadline_ms)));
        answer->status = reply.status;
        answer->body = reply.body;
        answer->answered = NowMs();
        record_.Write("answer to POST " + id + ": " +
                      std::to_string(reply.status) + " " + reply.body);
      });
  return submission;
}

Answer Deployment::Cancel(int entry,
                          const std::string& queue,
                          const std::string& id) {
  Answer answer;
  answer.sent = NowMs();
  record_.Write("DELETE " + id + " to " + entries_[entry].name);
  const Reply reply = Call("DELETE", entries_[entry].callers,
                           "/" + queue + "/" + id,
                           {{"Host", "desk.example"}}, "", milliseconds(4000));
  answer.status = reply.status;
  answer.body = reply.body;
  answer.answered = NowMs();
  record_.Write("answer to DELETE " + id + ": " + std::to_string(reply.status) +
                " " + reply.body);
  return answer;
}

bool Deployment::AwaitService(std::int64_t timeout_ms) {
  const std::int64_t end = NowMs() + timeout_ms;
  // Another program may have taken a port that was free a moment ago.
  SleepMs(300);
  for (Entry& entry : entries_) {
    int status = 0;
    for (int i = 0; i < 5 && ::waitpid(entry.pid, &status, WNOHANG) != 0; ++i) {
      Spawn(entry);
      SleepMs(300);
    }
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    int served = 0;
    while (served < 3) {
      if (NowMs() > end)
        return false;
      const Reply ready = Call("GET", entries_[i].readiness,
                               "/mustardbank/readiness", {}, "",
                               milliseconds(500));
      if (ready.status != 200) {
        SleepMs(50);
        continue;
      }
      Submission job = Submit(static_cast<int>(i), "warm", NewId(),
                              {json::object{{"count", 1},
                                            {"cpu", 100},
                                            {"memMb", 16},
                                            {"estimateMs", 20}}},
                              "20", 1500);
      served = job.Wait().status == 200 ? served + 1 : 0;
    }
  }
  SleepMs(3500);  // hand-overs at the start have ended, all are in touch
  return true;
}

void Deployment::Finish() {
  if (std::exchange(is_finished_, true))
    return;
  for (const Entry& entry : entries_) {
    ::kill(entry.pid, SIGCONT);
    ::kill(entry.pid, SIGTERM);
  }
  const std::int64_t end = NowMs() + 7000;
  for (const Entry& entry : entries_) {
    int status = 0;
    while (::waitpid(entry.pid, &status, WNOHANG) == 0) {
      if (NowMs() > end)
        ::kill(entry.pid, SIGKILL);
      SleepMs(20);
    }
  }
  record_.Write("all starts:");
  for (const Start& start : starts_.All())
    record_.Write("start " + start.task + " run " + std::to_string(start.run) +
                  " on " + start.worker + " (" + start.labels.front() +
                  ") at " + std::to_string(start.began) + " ms, ended at " +
                  std::to_string(start.ended) + " ms: " + start.how);
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(temporary_);
  else
    std::cerr << temporary_ << '\n';
}

}  // namespace review
