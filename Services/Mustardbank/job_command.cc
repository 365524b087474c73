// mustardbank submit, status and cancel.
#include <sysexits.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "Mustardbank/caller_client.h"
#include "Mustardbank/commands.h"

namespace mustardbank {

namespace {

constexpr int kMaxJobIdAttempts = 5;

std::optional<std::string> ReadInput(const std::string& file) {
  if (file == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    std::cerr << file << ": cannot be read\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::string WaitQuery(const CallerClient& client) {
  std::ostringstream text;
  text << "?wait=" << std::chrono::duration<double>(client.wait()).count();
  return text.str();
}

// Submits the job under a job id that it requests first. If the entry VM that
// issued the id left before the job arrived, the response says that nothing ran
// and the job is submitted under a new id.
int SubmitUnderId(CallerClient& client, const std::string& job) {
  std::optional<HttpResponse> response;
  for (int i = 0; i < kMaxJobIdAttempts; ++i) {
    const auto id = client.FetchJobId();
    if (!id)
      return EX_UNAVAILABLE;
    response =
        client.Send(HttpRequest{.method = "POST",
                                .target = "/v1/jobs/" + *id + WaitQuery(client),
                                .body = job});
    const bool has_issuer_left =
        response &&
        response->body.find("urn:mustardbank:problem:issuer-left") !=
            std::string::npos;
    if (!has_issuer_left)
      break;
  }
  return PrintAnswer(response);
}

}  // namespace

int RunSubmitCommand(const Arguments& arguments) {
  const auto job = ReadInput(arguments.at("JOB").asString());
  if (!job)
    return EX_NOINPUT;
  auto client = CallerClient::FromArguments(arguments);
  if (!client)
    return EX_USAGE;
  if (!arguments.at("--key"))
    return SubmitUnderId(*client, *job);
  return PrintAnswer(client->Send(HttpRequest{
      .method = "POST",
      .target = "/v1/jobs" + WaitQuery(*client),
      .headers = {{"Idempotency-Key", arguments.at("--key").asString()}},
      .body = *job}));
}

int RunStatusCommand(const Arguments& arguments) {
  auto client = CallerClient::FromArguments(arguments);
  if (!client)
    return EX_USAGE;
  return PrintAnswer(client->Send(HttpRequest{
      .method = "GET",
      .target =
          "/v1/jobs/" + arguments.at("ID").asString() + WaitQuery(*client)}));
}

int RunCancelCommand(const Arguments& arguments) {
  auto client = CallerClient::FromArguments(arguments);
  if (!client)
    return EX_USAGE;
  const auto response = client->Send(
      HttpRequest{.method = "DELETE",
                  .target = "/v1/jobs/" + arguments.at("ID").asString()});
  // The response to a successful cancellation has status 409.
  if (response && response->status == 409) {
    std::cout << response->body << '\n';
    return EX_OK;
  }
  return PrintAnswer(response);
}

}  // namespace mustardbank
