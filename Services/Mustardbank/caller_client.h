// What the caller's commands share: requests to any of several entry VMs, with
// retries that are safe by the answer's own word.
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
  // Yields nothing, after a message, if an endpoint is malformed.
  static std::optional<CallerClient> FromArguments(const Arguments& arguments);

  // Sends a request to one entry VM after the other until one answers with
  // something other than 503, or the deadline passes.
  std::optional<HttpResponse> Send(HttpRequest request);

  // Takes one job id from any entry VM.
  std::optional<std::string> TakeJobId();

  std::chrono::milliseconds wait() const { return wait_; }

 private:
  std::optional<HttpResponse> TryOnce(const HttpRequest& request);
  void Pause(const std::optional<HttpResponse>& response);

  std::vector<Endpoint> entries_;
  std::size_t next_entry_ = 0;
  std::string token_;
  std::chrono::milliseconds wait_{30000};
  std::chrono::steady_clock::time_point deadline_;
  std::unique_ptr<FiberThread> thread_;
};

// Prints a final response; returns the exit code that says what it was.
int PrintAnswer(const std::optional<HttpResponse>& response);

// The seconds in an option, or nothing if they are malformed.
std::optional<std::chrono::milliseconds> SecondsOption(
    const Arguments& arguments,
    const std::string& name);

}  // namespace mustardbank
