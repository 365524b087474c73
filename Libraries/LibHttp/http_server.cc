#include "LibHttp/http_server.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <optional>

#include "LibFiber/await.h"
#include "LibFiber/fiber_errors.h"
#include "LibFiber/fiber_thread.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using asio::ip::tcp;

namespace mustardbank {

struct HttpServer::Listener {
  std::vector<FiberThread*> threads;
  tcp::acceptor acceptor;
  std::size_t next_thread = 0;

  FiberThread& NextThread() { return *threads[next_thread++ % threads.size()]; }
};

// One connection, served by one fiber.
struct HttpSession {
  HttpServer& server;
  beast::tcp_stream stream;
  asio::steady_timer idle_timer;
  beast::flat_buffer buffer;
  // Whether a read for the first bytes of the next request is pending. The read
  // also detects that the caller closes the connection while its current
  // request is being served.
  bool read_pending = false;
  beast::error_code read_error;
  FiberSignal read_ended;
  CallerWatch* watch = nullptr;

  void Run();
  void Serve(bool& keep_alive);
  void StartRead();
  bool WaitForFirstByte();
  std::optional<HttpRequest> ReadRequest(bool& keep_alive);
  bool HasCallerDisconnected();
  bool Write(HttpResponse&& response, bool keep_alive);
  void RefuseMalformed(beast::error_code error);
  void DiscardRestOfRequest();
};

namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kReadBytes = 4096;
// The rest of a rejected request is read and discarded up to these limits.
constexpr std::size_t kMaxDiscardedBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds kDiscardTimeout{2000};
constexpr std::chrono::milliseconds kWriteTimeout{10000};
constexpr std::chrono::milliseconds kAcceptBackoff{20};

HttpRequest ToRequest(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message)
    request.headers.emplace_back(field.name_string(), field.value());
  request.body = std::move(message.body());
  return request;
}

}  // namespace

void HttpSession::StartRead() {
  read_pending = true;
  // Bypasses the stream, whose timer can't be changed while a read is pending.
  stream.socket().async_read_some(
      buffer.prepare(kReadBytes),
      [this](beast::error_code error, std::size_t bytes) {
        buffer.commit(bytes);
        read_pending = false;
        read_error = error;
        if (error && watch)
          RunGuarded("disconnect", [this] { watch->DidDisconnect(); });
        read_ended.Raise();
      });
}

bool HttpSession::WaitForFirstByte() {
  if (buffer.size() > 0)
    return true;
  if (!read_pending && !read_error)
    StartRead();
  if (read_pending) {
    idle_timer.expires_after(server.limits_.idle_timeout);
    idle_timer.async_wait([this](beast::error_code error) {
      beast::error_code ignored;
      if (!error)
        stream.socket().cancel(ignored);
    });
    // The signal may still be raised from a read that ended while the previous
    // request was being served.
    while (read_pending)
      read_ended.Wait();
    idle_timer.cancel();
  }
  return !read_error;
}

std::optional<HttpRequest> HttpSession::ReadRequest(bool& keep_alive) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(server.limits_.body_bytes);
  stream.expires_after(server.limits_.request_timeout);
  const IoResult read = Await([&](auto handler) {
    http::async_read(stream, buffer, parser, std::move(handler));
  });
  if (read.error) {
    RefuseMalformed(read.error);
    return std::nullopt;
  }
  keep_alive = parser.get().keep_alive();
  return ToRequest(parser.release());
}

void HttpSession::RefuseMalformed(beast::error_code error) {
  if (error == http::error::end_of_stream)
    return;
  HttpResponse refusal;
  if (error == http::error::body_limit || error == http::error::header_limit) {
    refusal = ProblemResponse(413, "Content too large",
                              "The request is larger than this server accepts. "
                              "It did not run.");
  } else if (error.category() ==
             http::make_error_code(http::error::bad_method).category()) {
    refusal = ProblemResponse(400, "Malformed request",
                              error.message() + ". It did not run.");
  } else {
    // After a timeout the stream is closed, so that no response can be sent.
    return;
  }
  if (Write(std::move(refusal), /*keep_alive=*/false))
    DiscardRestOfRequest();
}

// Returns whether the caller closed the connection before its request was read,
// for example while this process was paused.
bool HttpSession::HasCallerDisconnected() {
  if (buffer.size() > 0)
    return false;
  char next = 0;
  const ssize_t bytes = ::recv(stream.socket().native_handle(), &next, 1,
                               MSG_PEEK | MSG_DONTWAIT);
  return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EINTR);
}

bool HttpSession::Write(HttpResponse&& response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(response.status);
  message.set(http::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers)
    message.set(name, value);
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  stream.expires_after(kWriteTimeout);
  const IoResult written = Await([&](auto handler) {
    http::async_write(stream, message, std::move(handler));
  });
  return !written.error;
}

void HttpSession::Serve(bool& keep_alive) {
  std::optional<HttpRequest> request = ReadRequest(keep_alive);
  if (!request) {
    keep_alive = false;
    return;
  }
  // The handler may take longer than any timeout of the stream.
  stream.expires_never();
  ++server.requests_;
  CallerWatch caller;
  if (HasCallerDisconnected())
    caller.DidDisconnect();
  watch = &caller;
  if (buffer.size() == 0)
    StartRead();
  HttpResponse response;
  // The handler may have failed after the work had begun.
  if (!RunGuarded("http_handler", [&] {
        response = server.handler_(std::move(*request), caller);
      }))
    response = ProblemResponse(500, "Internal error",
                               "The request may have been carried out.");
  watch = nullptr;
  keep_alive = keep_alive && !server.draining_;
  keep_alive = Write(std::move(response), keep_alive) && keep_alive;
  --server.requests_;
}

// Reads the rest of a rejected request: closing a socket with unread bytes
// resets the connection, and the caller may lose the response.
void HttpSession::DiscardRestOfRequest() {
  beast::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream.expires_after(kDiscardTimeout);
  std::size_t bytes = 0;
  while (bytes < kMaxDiscardedBytes) {
    buffer.clear();
    const IoResult read = Await([this](auto handler) {
      stream.async_read_some(buffer.prepare(kReadBytes), std::move(handler));
    });
    if (read.error)
      return;
    bytes += read.bytes;
  }
}

void HttpSession::Run() {
  beast::error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  bool keep_alive = true;
  RunGuarded("http_session", [&] {
    while (keep_alive && WaitForFirstByte())
      Serve(keep_alive);
  });
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  if (read_pending) {
    // The handler of the pending read uses this session, so the read must end
    // first. Receiving is shut down, since closing a socket with unread bytes
    // resets the connection, and the caller may lose the response.
    stream.socket().shutdown(tcp::socket::shutdown_receive, ignored);
    stream.socket().cancel(ignored);
    while (read_pending)
      read_ended.Wait();
  }
}

HttpServer::HttpServer(HttpServerLimits limits, WatchingHandler handler)
    : limits_(limits), handler_(std::move(handler)) {}

HttpServer::HttpServer(HttpServerLimits limits, Handler handler)
    : HttpServer(limits,
                 WatchingHandler(
                     [handler = std::move(handler)](HttpRequest&& request,
                                                    CallerWatch& /*caller*/) {
                       return handler(std::move(request));
                     })) {}

HttpServer::~HttpServer() = default;

leaf::result<Endpoint> HttpServer::Listen(std::vector<FiberThread*> threads,
                                          Endpoint endpoint) {
  const tcp::endpoint address(asio::ip::address_v4(endpoint.ip), endpoint.port);
  tcp::acceptor acceptor(threads.front()->io());
  beast::error_code error;
  acceptor.open(address.protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(address, error);
  if (!error)
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return leaf::new_error(
        ListenError{.endpoint = endpoint, .reason = error.message()});
  }
  endpoint.port = acceptor.local_endpoint().port();
  listener_ = std::make_unique<Listener>(
      Listener{.threads = std::move(threads), .acceptor = std::move(acceptor)});
  listener_->threads.front()->Spawn([this] { Accept(); });
  return endpoint;
}

void HttpServer::Accept() {
  while (true) {
    bool is_accepted = false;
    RunGuarded("accept", [&] { is_accepted = AcceptOne(); });
    if (!is_accepted)
      SleepFiber(kAcceptBackoff);
  }
}

bool HttpServer::AcceptOne() {
  FiberThread& thread = listener_->NextThread();
  std::unique_ptr<HttpSession> session(
      new HttpSession{.server = *this,
                      .stream = beast::tcp_stream(thread.io()),
                      .idle_timer = asio::steady_timer(thread.io())});
  const IoResult accepted = Await([&](auto handler) {
    listener_->acceptor.async_accept(session->stream.socket(),
                                     std::move(handler));
  });
  if (accepted.error || connections_ >= limits_.connections)
    return false;
  ++connections_;
  thread.Spawn([this, raw = session.release()] {
    const std::unique_ptr<HttpSession> owned(raw);
    owned->Run();
    --connections_;
  });
  return true;
}

void HttpServer::Drain() {
  draining_ = true;
}

}  // namespace mustardbank
