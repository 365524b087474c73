#include "LibEntry/worker_client.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace json = boost::json;

namespace mustardbank {

namespace {

// Keeps as many idle connections to a worker as it has slots. Seven entry VMs
// then stay within the worker's limit of 64 connections.
constexpr ConnectionPool::Limits kPoolLimits{
    .idle = 8,
    .connect_timeout = std::chrono::milliseconds(300)};

std::string FormatAttempt(const AttemptId& id) {
  return id.home.endpoint.ToString() + '/' +
         std::to_string(id.home.incarnation) + '.' +
         std::to_string(id.sequence) + '.' + std::to_string(id.task) + '.' +
         std::to_string(id.attempt);
}

// Returns an id that matches no attempt if the text is malformed.
AttemptId ParseAttempt(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return {};
  const auto endpoint = Endpoint::Parse(text.substr(0, slash));
  std::array<std::uint64_t, 4> fields{};
  const char* next = text.data() + slash + 1;
  const char* const end = text.data() + text.size();
  for (std::uint64_t& field : fields) {
    const auto [rest, error] = std::from_chars(next, end, field);
    if (error != std::errc())
      return {};
    next = rest == end ? rest : rest + 1;
  }
  return AttemptId{.home = {.endpoint = endpoint.value_or(Endpoint{}),
                            .incarnation = fields[0]},
                   .sequence = fields[1],
                   .task = static_cast<std::uint32_t>(fields[2]),
                   .attempt = static_cast<std::uint32_t>(fields[3])};
}

// Returns the body of a response as JSON text: unchanged if it is valid JSON,
// otherwise as a JSON string.
std::string ToJsonText(const HttpResponse& response) {
  json::error_code error;
  if (response.content_type.starts_with(kJsonType)) {
    const json::value parsed = json::parse(response.body, error);
    if (!error)
      return response.body;
  }
  return json::serialize(json::string(response.body));
}

AttemptResult ResultOf(const HttpResponse& response) {
  if (response.status >= 200 && response.status < 300)
    return AttemptResult::kSucceeded;
  if (response.header("Mustardbank-Ran") != kRanNames[Ran::kNotRun])
    return AttemptResult::kFailed;
  return response.header("Mustardbank-Reason") == "leaving"
             ? AttemptResult::kRefusedLeaving
             : AttemptResult::kRefusedBusy;
}

AttemptResult ResultOf(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNotConnected:
    case HttpFailure::kRefused:
    case HttpFailure::kNotSent:
      return AttemptResult::kNotSent;
    case HttpFailure::kTimedOut:
    case HttpFailure::kLost:
      return AttemptResult::kUnknown;
  }
  return AttemptResult::kUnknown;
}

}  // namespace

WorkerClient::WorkerClient(boost::asio::io_context& io,
                           std::string data_center,
                           DidEnd did_end)
    : data_center_(std::move(data_center)),
      did_end_(std::move(did_end)),
      pool_(io, kPoolLimits) {}

void WorkerClient::Start(StartTask task) {
  ++attempts_;
  fibers_.Run([this, task = std::move(task)] {
    did_end_(Run(task));
    --attempts_;
  });
}

AttemptEnded WorkerClient::Run(const StartTask& task) {
  const HttpResult<AttemptEnded> ended = Exchange(task);
  if (ended)
    return *ended;
  return AttemptEnded{.sent = task.attempt,
                      .answered = task.attempt,
                      .result = ResultOf(ended.error().failure),
                      .worker = task.worker};
}

HttpResult<AttemptEnded> WorkerClient::Exchange(const StartTask& task) {
  AttemptEnded ended{
      .sent = task.attempt, .answered = task.attempt, .worker = task.worker};
  UpdateEndpoint(task);
  HttpResult<std::unique_ptr<HttpConnection>> acquired =
      pool_.Acquire(task.endpoint);
  if (!acquired)
    return acquired.error();
  std::unique_ptr<HttpConnection> connection = std::move(*acquired);
  HttpRequest request{
      .method = "POST",
      .target = "/v1/tasks",
      .headers = {{"Content-Type", std::string(kJsonType)},
                  {"Data-Center", data_center_},
                  {"Mustardbank-Attempt", FormatAttempt(task.attempt)},
                  {"Mustardbank-Job", task.job_id},
                  {"Mustardbank-Service", task.service},
                  {"Mustardbank-Request", task.request}},
      .body = task.payload};
  // Checked as late as possible, since the process may have been paused after
  // the control thread decided to start the task.
  const Time started = BootClock::now();
  if (started > task.start_before) {
    ended.result = AttemptResult::kStale;
    return ended;
  }
  const HttpResult<HttpResponse> response = connection->Exchange(
      request,
      std::chrono::duration_cast<std::chrono::milliseconds>(task.timeout));
  if (!response)
    return response.error();
  ended.run_time = BootClock::now() - started;
  ended.answered = ParseAttempt(response->header("Mustardbank-Attempt"));
  ended.result = ResultOf(*response);
  ended.body = ToJsonText(*response);
  // A response to another attempt means that requests and responses no longer
  // match on this connection, so it is not reused.
  if (ended.answered == task.attempt)
    pool_.Release(task.endpoint, std::move(connection));
  return ended;
}

void WorkerClient::UpdateEndpoint(const StartTask& task) {
  Endpoint& known = endpoints_[task.worker];
  if (known == task.endpoint)
    return;
  pool_.Forget(known);
  known = task.endpoint;
}

}  // namespace mustardbank
