// Malformed input, disconnects and draining at the server, and reuse of
// connections by the client.
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>

#include "LibFiber/fiber_errors.h"
#include "LibFiber/fiber_pool.h"
#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_client.h"
#include "LibHttp/http_server.h"

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr Endpoint kAnyPort{.ip = 0x7F000001};

// A plain socket, which can send what an HTTP client library would not.
class RawClient {
 public:
  explicit RawClient(Endpoint endpoint)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{.sin_family = AF_INET,
                        .sin_port = htons(endpoint.port),
                        .sin_addr = {.s_addr = htonl(endpoint.ip)}};
    const int connected = ::connect(
        socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    LONGS_EQUAL(0, connected);
  }
  ~RawClient() { ::close(socket_); }

  void Send(const std::string& text) const {
    CHECK_EQUAL(static_cast<ssize_t>(text.size()),
                ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL));
  }
  void CloseSending() const { ::shutdown(socket_, SHUT_WR); }
  // Returns all bytes received until the server closes the connection.
  std::string ReceiveAll() const {
    std::string text;
    char buffer[4096];
    for (ssize_t n = 0; (n = ::recv(socket_, buffer, sizeof(buffer), 0)) > 0;)
      text.append(buffer, static_cast<std::size_t>(n));
    return text;
  }

 private:
  const int socket_;
};

}  // namespace

TEST_GROUP(HttpServers) {
  FiberThread thread;
  // Never destroyed, since its fibers keep running after the test.
  HttpServer& server = *new HttpServer(
      HttpServerLimits{.body_bytes = 100,
                       .request_timeout = std::chrono::milliseconds(200)},
      [](HttpRequest&& request) { return HttpResponse{.body = request.body}; });
  Endpoint endpoint;

  void setup() override {
    endpoint = boost::leaf::try_handle_all(
        [&] { return server.Listen({&thread}, kAnyPort); },
        [] { return Endpoint{}; });
    CHECK_TRUE(endpoint.port != 0);
  }
};

TEST(HttpServers, reject_bodies_over_the_limit) {
  RawClient client(endpoint);
  client.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 413", client.ReceiveAll().c_str());
}

// If the server closed the connection while the body is still arriving, the
// connection would be reset and the caller could lose the response.
TEST(HttpServers, rejection_reaches_a_caller_that_keeps_sending) {
  const RawClient client(endpoint);
  client.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    client.Send(std::string(10'000, 'x'));
  }
  CHECK(client.ReceiveAll().starts_with("HTTP/1.1 413"));
}

// The second request arrives while the first is being served, the third later.
TEST(HttpServers, serve_pipelined_requests) {
  HttpServer& slow =
      *new HttpServer(HttpServerLimits{}, [](HttpRequest&& request) {
        SleepFiber(std::chrono::milliseconds(50));
        return HttpResponse{.body = request.body};
      });
  const Endpoint slow_endpoint = boost::leaf::try_handle_all(
      [&] { return slow.Listen({&thread}, kAnyPort); },
      [] { return Endpoint{}; });
  const RawClient client(slow_endpoint);
  const auto post = [&client](const std::string& body, bool is_last) {
    client.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n" +
                std::string(is_last ? "Connection: close\r\n" : "") + "\r\n" +
                body);
  };
  post("1", false);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  post("2", false);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  post("3", true);
  const std::string answers = client.ReceiveAll();
  CHECK(answers.ends_with("3"));
}

TEST(HttpServers, reject_input_that_is_not_http) {
  RawClient client(endpoint);
  client.Send("what is this\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 400", client.ReceiveAll().c_str());
}

TEST(HttpServers, close_connections_of_slow_senders) {
  RawClient client(endpoint);
  client.Send("POST / HTT");
  STRCMP_EQUAL("", client.ReceiveAll().c_str());
}

TEST(HttpServers, answer_callers_that_shut_down_sending) {
  RawClient client(endpoint);
  client.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi");
  client.CloseSending();
  STRCMP_CONTAINS("\r\n\r\nhi", client.ReceiveAll().c_str());
}

// A process that was paused reads requests whose callers have disconnected.
TEST(HttpServers, notify_handlers_of_disconnects_before_the_request_was_read) {
  static std::promise<bool> notified;
  static HttpServer& watching = *new HttpServer(
      HttpServerLimits{}, [](HttpRequest&& /*request*/, CallerWatch& caller) {
        bool was_called = false;
        caller.OnDisconnect([&was_called] { was_called = true; });
        notified.set_value(caller.is_disconnected() && was_called);
        return HttpResponse{};
      });
  const Endpoint watching_endpoint = boost::leaf::try_handle_all(
      [&] { return watching.Listen({&thread}, kAnyPort); },
      [] { return Endpoint{}; });
  std::promise<void> is_paused;
  std::promise<void> resume;
  thread.Post([&] {
    is_paused.set_value();
    resume.get_future().wait();
  });
  is_paused.get_future().wait();
  {
    const RawClient client(watching_endpoint);
    client.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi");
  }
  resume.set_value();
  CHECK_TRUE(notified.get_future().get());
}

// An exception of a handler reached the edge of its fiber and ended the
// process.
TEST(HttpServers, go_on_after_a_handler_throws) {
  HttpServer& throwing = *new HttpServer(
      HttpServerLimits{}, [](HttpRequest&& request) -> HttpResponse {
        if (request.body == "bad")
          throw std::runtime_error("unexpected");
        return HttpResponse{.body = request.body};
      });
  const Endpoint throwing_endpoint = boost::leaf::try_handle_all(
      [&] { return throwing.Listen({&thread}, kAnyPort); },
      [] { return Endpoint{}; });
  const std::uint64_t errors = FiberErrors::count();
  RunInFiber(thread, [&] {
    HttpRequest request{.method = "POST", .target = "/", .body = "bad"};
    const auto bad =
        ExchangeOnce(thread.io(), throwing_endpoint, request, kTimeout);
    CHECK_EQUAL(500, bad->status);
    request.body = "good";
    const auto good =
        ExchangeOnce(thread.io(), throwing_endpoint, request, kTimeout);
    CHECK(good->body == "good");
    return 0;
  });
  CHECK_EQUAL(0, throwing.requests_in_progress());
  CHECK_EQUAL(errors + 1, FiberErrors::count());
}

TEST(HttpServers, answer_the_last_request_while_draining) {
  RunInFiber(thread, [&] {
    HttpConnection connection(thread.io());
    const HttpRequest request{.method = "POST", .target = "/", .body = "one"};
    CHECK_TRUE(connection.Connect(endpoint, kTimeout).has_value());
    CHECK_TRUE(connection.Exchange(request, kTimeout).has_value());
    CHECK_TRUE(connection.IsReusable());
    server.Drain();
    const auto last = connection.Exchange(request, kTimeout);
    CHECK_TRUE(last.has_value());
    CHECK_FALSE(connection.IsReusable());
    return 0;
  });
}

TEST_GROUP(HttpClients){};

TEST(HttpClients, go_on_after_exceptions_at_the_edge_of_fibers_and_handlers) {
  FiberThread thread;
  const std::uint64_t errors = FiberErrors::count();
  const auto fail = [] { throw std::runtime_error("unexpected"); };
  thread.Spawn(fail);
  thread.Post(fail);
  FiberPool& pool = *new FiberPool;
  std::promise<void> has_run;
  thread.Post([&] {
    pool.Run(fail);
    pool.Run([&] { has_run.set_value(); });
  });
  has_run.get_future().wait();
  CHECK_EQUAL(errors + 3, FiberErrors::count());
}

// A header beyond 64 KiB, as from a worker's id, made Boost.Beast throw.
TEST(HttpClients, report_a_request_that_can_not_be_encoded) {
  FiberThread thread;
  const auto result = RunInFiber(thread, [&] {
    HttpConnection connection(thread.io());
    return connection.Exchange(
        HttpRequest{.method = "GET",
                    .target = "/",
                    .headers = {{"X-Id", std::string(70'000, 'x')}}},
        kTimeout);
  });
  CHECK(result.has_error() && result.error().failure == HttpFailure::kNotSent);
}

// Once a byte was written, the server may have read the request: a connection
// that it closes while the rest is written is no proof that nothing ran.
TEST(HttpClients, request_that_was_partly_written_may_have_arrived) {
  FiberThread thread;
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{.sin_family = AF_INET,
                      .sin_addr = {.s_addr = htonl(0x7F000001)}};
  socklen_t size = sizeof(address);
  CHECK_EQUAL(0, ::bind(listener, reinterpret_cast<sockaddr*>(&address), size));
  CHECK_EQUAL(0, ::listen(listener, 1));
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread server([listener] {
    const int connection = ::accept(listener, nullptr, nullptr);
    char bytes[1000];
    CHECK(::recv(connection, bytes, sizeof(bytes), 0) > 0);
    ::close(connection);
  });
  // More than the buffers of the connection hold.
  constexpr std::size_t kBodyBytes = 32'000'000;
  std::string body;
  body.resize(kBodyBytes, 'x');
  const auto result = RunInFiber(thread, [&] {
    return ExchangeOnce(
        thread.io(),
        Endpoint{.ip = 0x7F000001, .port = ntohs(address.sin_port)},
        HttpRequest{.method = "POST", .target = "/", .body = std::move(body)},
        kTimeout);
  });
  server.join();
  ::close(listener);
  CHECK(result.has_error());
  CHECK(result.error().failure == HttpFailure::kLost);
}

TEST(HttpClients, report_a_refused_connection) {
  FiberThread thread;
  const auto result = RunInFiber(thread, [&] {
    return ExchangeOnce(thread.io(), Endpoint{.ip = 0x7F000001, .port = 1},
                        HttpRequest{.method = "GET", .target = "/"}, kTimeout);
  });
  CHECK_FALSE(result.has_value());
  CHECK_TRUE(result.error().failure == HttpFailure::kRefused);
}

}  // namespace mustardbank
