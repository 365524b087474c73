#include <CppUTest/TestHarness.h>

#include <boost/leaf/handle_errors.hpp>

#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_server.h"
#include "LibLeaseEntry/command_sender.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(CommandSender) {
  EventLog log{"test"};
  LeaseControl control{{.name = "self"}, {}, log};
  // Never destroyed, since their fibers keep running after the test.
  FiberThread& thread = *new FiberThread;
  CommandSender& sender = *new CommandSender(thread.io(), control);
  std::atomic<int>& requests = *new std::atomic<int>(0);
  CommandTarget target{.worker = "a"};

  void setup() override {
    HttpServer& worker = *new HttpServer(
        HttpServerLimits{}, [&count = requests](HttpRequest&& /*request*/) {
          ++count;
          return HttpResponse{};
        });
    target.endpoint = boost::leaf::try_handle_all(
        [&] { return worker.Listen({&thread}, {.ip = 0x7F000001}); },
        [] { return Endpoint{}; });
    // Starts are sent only to workers that are owned, once the operator's table
    // is known.
    const Time now = BootClock::now();
    control.SetSinks({.start = [](StartCommand&&) {},
                      .stop = [](StopCommand&&) {},
                      .renew = [](RenewCommand&&) {},
                      .finish = [](FinishJob&&) {},
                      .read_operator_table = [] {}});
    control.ReplaceEvacuations({}, 1, "feed", now, now);
    control.dispatcher().Own({.id = target.worker}, 0, now);
  }

  int RequestsAfter(const std::function<void()>& send) {
    return RunInFiber(thread, [&] {
      send();
      SleepFiber(milliseconds(100));
      return requests.load();
    });
  }
};

// The process was paused between the decision and the send. A renewal was sent
// however late it was.
TEST(CommandSender, commands_whose_time_has_run_out_are_not_sent) {
  const Time past = BootClock::now() - milliseconds(1);
  const Duration timeout = milliseconds(80);
  CHECK_EQUAL(
      0, RequestsAfter([&] {
        sender.Start({.target = target,
                      .payload = std::make_shared<std::string>(),
                      .send_before = past,
                      .timeout = timeout});
        sender.Renew(
            {.target = target, .send_before = past, .timeout = timeout});
      }));
  const Time later = BootClock::now() + milliseconds(500);
  CHECK_EQUAL(
      2, RequestsAfter([&] {
        sender.Start({.target = target,
                      .payload = std::make_shared<std::string>(),
                      .send_before = later,
                      .timeout = timeout});
        sender.Renew(
            {.target = target, .send_before = later, .timeout = timeout});
      }));
}

// Guards against tasks on a worker that has restarted as another kind since its
// last report: its former process has closed its connections.
TEST(CommandSender, start_is_not_sent_to_the_next_process_of_a_worker) {
  HttpServer& worker =
      *new HttpServer(HttpServerLimits{.idle_timeout = milliseconds(30)},
                      [&count = requests](HttpRequest&& /*request*/) {
                        ++count;
                        return HttpResponse{};
                      });
  target.endpoint = boost::leaf::try_handle_all(
      [&] { return worker.Listen({&thread}, {.ip = 0x7F000001}); },
      [] { return Endpoint{}; });
  const Time later = BootClock::now() + std::chrono::seconds(5);
  const Duration timeout = milliseconds(80);
  const auto renew = [&] {
    sender.Renew({.target = target, .send_before = later, .timeout = timeout});
  };
  const auto start = [&] {
    sender.Start({.target = target,
                  .payload = std::make_shared<std::string>(),
                  .send_before = later,
                  .timeout = timeout});
  };
  CHECK_EQUAL(1, RequestsAfter(renew));
  // The connection of the report is closed by now.
  CHECK_EQUAL(1, RequestsAfter(start));
  // After the next report, over a connection of the present process.
  CHECK_EQUAL(3, RequestsAfter([&] {
                renew();
                SleepFiber(milliseconds(10));
                start();
              }));
}

}  // namespace mustardbank
