// Sends one HTTP request and prints the answer.
//
// usage: call_3 WAIT_MS METHOD ADDRESS TARGET [BODY [NAME=VALUE...]]
// Prints the body and " status NNN", 000 if there was no answer within WAIT_MS;
// the connection is then closed. NAME=VALUE is a header. Exits 1 unless the
// status is 2xx.
#include <csignal>
#include <iostream>
#include <string>

#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"

using namespace mustardbank;

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc < 5) {
    std::cerr << "usage: call_3 WAIT_MS METHOD ADDRESS TARGET [BODY "
                 "[NAME=VALUE...]]\n";
    return 64;
  }
  const std::chrono::milliseconds wait(std::stol(argv[1]));
  const auto address = Endpoint::Parse(argv[3]);
  if (!address)
    return 64;
  HttpRequest request{.method = argv[2], .target = argv[4]};
  if (argc > 5)
    request.body = argv[5];
  for (int i = 6; i < argc; ++i) {
    const std::string header = argv[i];
    const std::size_t at = header.find('=');
    request.headers.emplace_back(header.substr(0, at), header.substr(at + 1));
  }
  FiberThread thread;
  const auto answer = RunInFiber(thread, [&] {
    return ExchangeOnce(thread.io(), *address, request, wait);
  });
  if (!answer) {
    std::cout << " status 000" << std::endl;
    std::_Exit(1);
  }
  std::cout << answer->body << " status " << answer->status << std::endl;
  std::_Exit(answer->status / 100 == 2 ? 0 : 1);
}
