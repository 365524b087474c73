#include "Mustardbank/caller_client.h"

#include <sysexits.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <iostream>
#include <thread>

#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kResponseMargin{10000};
constexpr std::chrono::milliseconds kMinRetryDelay{50};
constexpr std::chrono::milliseconds kMaxRetryDelay{2000};

}  // namespace

std::optional<std::chrono::milliseconds> SecondsOption(
    const Arguments& arguments,
    const std::string& name) {
  const docopt::value& value = arguments.at(name);
  const std::string text = value ? value.asString() : "";
  double seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || end != text.data() + text.size() || seconds < 0 ||
      seconds > 86'400) {
    std::cerr << name
              << ": expected a number of seconds from 0 to 86400, got \""
              << text << "\"\n";
    return std::nullopt;
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

std::optional<CallerClient> CallerClient::FromArguments(
    const Arguments& arguments) {
  CallerClient client;
  for (const std::string& text : arguments.at("--entry").asStringList()) {
    const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
    if (!endpoint) {
      std::cerr << "--entry: expected an IPv4 address and port, got \"" << text
                << "\"\n";
      return std::nullopt;
    }
    client.entries_.push_back(*endpoint);
  }
  client.token_ = arguments.at("--token").asString();
  const auto wait = SecondsOption(arguments, "--wait");
  const auto deadline = SecondsOption(arguments, "--deadline");
  if (!wait || !deadline)
    return std::nullopt;
  client.wait_ = *wait;
  client.deadline_ = std::chrono::steady_clock::now() + *deadline;
  client.thread_ = std::make_unique<FiberThread>();
  return client;
}

std::optional<HttpResponse> CallerClient::TryOnce(const HttpRequest& request) {
  const Endpoint entry = entries_[next_entry_ % entries_.size()];
  return RunInFiber(*thread_, [&]() -> std::optional<HttpResponse> {
    HttpResult<HttpResponse> response =
        ExchangeOnce(thread_->io(), entry, request, wait_ + kResponseMargin);
    return response ? std::optional(std::move(*response)) : std::nullopt;
  });
}

void CallerClient::WaitBeforeRetry(
    const std::optional<HttpResponse>& response) {
  std::chrono::milliseconds delay = kMinRetryDelay;
  if (response) {
    json::error_code error;
    const json::value body = json::parse(response->body, error);
    const json::value* retry =
        !error && body.is_object()
            ? body.get_object().if_contains("retry_after_ms")
            : nullptr;
    if (retry && retry->is_int64())
      delay = std::chrono::milliseconds(retry->get_int64());
  }
  std::this_thread::sleep_for(
      std::clamp(delay, kMinRetryDelay, kMaxRetryDelay));
}

std::optional<HttpResponse> CallerClient::Send(HttpRequest request) {
  request.headers.emplace_back("Authorization", "Bearer " + token_);
  std::optional<HttpResponse> response;
  while (true) {
    response = TryOnce(request);
    const bool is_settled =
        response && response->status != 503 && response->status != 202;
    if (is_settled || std::chrono::steady_clock::now() >= deadline_)
      return response;
    if (!response || response->status == 503)
      ++next_entry_;
    WaitBeforeRetry(response);
  }
}

std::optional<std::string> CallerClient::FetchJobId() {
  const auto response =
      Send(HttpRequest{.method = "POST", .target = "/v1/job-ids"});
  if (!response || response->status != 200) {
    PrintAnswer(response);
    return std::nullopt;
  }
  json::error_code error;
  const json::value body = json::parse(response->body, error);
  const json::value* ids = !error && body.is_object()
                               ? body.get_object().if_contains("ids")
                               : nullptr;
  if (!ids || !ids->is_array() || ids->get_array().empty() ||
      !ids->get_array()[0].is_string()) {
    std::cerr << "The response of the entry VM contains no job id.\n";
    return std::nullopt;
  }
  return std::string(ids->get_array()[0].get_string());
}

int PrintAnswer(const std::optional<HttpResponse>& response) {
  if (!response) {
    std::cerr << "No entry VM responded.\n";
    return EX_UNAVAILABLE;
  }
  const bool is_answer = response->status < 300;
  (is_answer ? std::cout : std::cerr) << response->body << '\n';
  if (response->status == 202 || response->status == 503)
    return EX_TEMPFAIL;
  if (is_answer)
    return EX_OK;
  if (response->status == 401 || response->status == 403)
    return EX_NOPERM;
  if (response->status == 502 || response->status == 504 ||
      response->status == 409) {
    return EX_SOFTWARE;
  }
  return EX_DATAERR;
}

}  // namespace mustardbank
