// mustardbank dump: the state or the metrics of a running entry process.
#include <sysexits.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>

#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"
#include "Mustardbank/commands.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

}  // namespace

int RunDumpCommand(const Arguments& arguments) {
  const auto endpoint = Endpoint::Parse(arguments.at("--operators").asString());
  if (!endpoint) {
    std::cerr << "--operators: expected an address and port\n";
    return EX_USAGE;
  }
  HttpRequest request{
      .method = "GET",
      .target = arguments.at("--metrics").asBool() ? "/metrics" : "/state"};
  if (const docopt::value& token = arguments.at("--token"))
    request.headers.emplace_back("Authorization", "Bearer " + token.asString());
  FiberThread thread;
  return RunInFiber(thread, [&] {
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
          BOOST_LEAF_AUTO(response, ExchangeOnce(thread.io(), *endpoint,
                                                 request, kTimeout));
          const bool is_ok = response.status == 200;
          (is_ok ? std::cout : std::cerr) << response.body << '\n';
          return is_ok ? EX_OK : EX_NOPERM;
        },
        [](const HttpError& error) {
          std::cerr << "no answer: " << kHttpFailureNames[error.failure] << ": "
                    << error.reason << '\n';
          return EX_UNAVAILABLE;
        },
        [] { return EX_SOFTWARE; });
  });
}

}  // namespace mustardbank
