// Client for the commands of callers: sends requests to any of several entry
// VMs and retries them. A retried submission does not start the job again,
// since its job id or idempotency key identifies the job.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/endpoint.h"
#include "LibFiber/fiber_thread.h"
#include "LibHttp/http_message.h"
#include "Mustardbank/commands.h"

namespace mustardbank {

class CallerClient {
 public:
  // Prints a message and returns nothing if an option is malformed.
  static std::optional<CallerClient> FromArguments(const Arguments& arguments);

  // Sends the request, repeatedly if needed, until a response is neither 202
  // (still running) nor 503 (try again) or the deadline passes; returns the
  // last response. Moves on to the next entry VM after a 503 or no response.
  std::optional<HttpResponse> Send(HttpRequest request);

  // Requests one job id from any entry VM.
  std::optional<std::string> FetchJobId();

  std::chrono::milliseconds wait() const { return wait_; }

 private:
  std::optional<HttpResponse> TryOnce(const HttpRequest& request);
  // Sleeps for the time that the response asks for, within bounds.
  void WaitBeforeRetry(const std::optional<HttpResponse>& response);

  std::vector<Endpoint> entries_;
  std::size_t next_entry_ = 0;
  std::string token_;
  std::chrono::milliseconds wait_{30000};
  std::chrono::steady_clock::time_point deadline_;
  std::unique_ptr<FiberThread> thread_;
};

// Prints the last response; returns the exit code for its status.
int PrintAnswer(const std::optional<HttpResponse>& response);

// Reads an option in seconds. Prints a message and returns nothing if it is
// malformed.
std::optional<std::chrono::milliseconds> SecondsOption(
    const Arguments& arguments,
    const std::string& name);

}  // namespace mustardbank
