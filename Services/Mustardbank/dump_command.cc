// mustardbank dump: prints the state or the metrics of a running entry process.
#include <sysexits.h>

#include <iostream>

#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"
#include "Mustardbank/commands.h"

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

}  // namespace

int RunDumpCommand(const Arguments& arguments) {
  const auto endpoint = Endpoint::Parse(arguments.at("--operators").asString());
  if (!endpoint) {
    std::cerr << "--operators: expected an IPv4 address and port\n";
    return EX_USAGE;
  }
  HttpRequest request{
      .method = "GET",
      .target = arguments.at("--metrics").asBool() ? "/metrics" : "/state"};
  if (const docopt::value& token = arguments.at("--token"))
    request.headers.emplace_back("Authorization", "Bearer " + token.asString());
  FiberThread thread;
  return RunInFiber(thread, [&] {
    const HttpResult<HttpResponse> response =
        ExchangeOnce(thread.io(), *endpoint, request, kTimeout);
    if (!response) {
      const HttpError& error = response.error();
      std::cerr << "no response from the entry process: "
                << kHttpFailureNames[error.failure] << ": " << error.reason
                << '\n';
      return EX_UNAVAILABLE;
    }
    const bool is_ok = response->status == 200;
    (is_ok ? std::cout : std::cerr) << response->body << '\n';
    return is_ok ? EX_OK : EX_NOPERM;
  });
}

}  // namespace mustardbank
