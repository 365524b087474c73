#include "LibHttp/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>
#include <optional>

#include "LibFiber/await.h"
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
  beast::flat_buffer buffer;

  void Run();
  bool WaitForFirstByte();
  std::optional<HttpRequest> ReadRequest(bool& keep_alive);
  bool Write(HttpResponse&& response, bool keep_alive);
  void RefuseMalformed(beast::error_code error);
};

namespace {

constexpr std::size_t kHeaderBytes = 16 * 1024;
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

bool HttpSession::WaitForFirstByte() {
  if (buffer.size() > 0)
    return true;
  stream.expires_after(server.limits_.idle_timeout);
  const IoResult read = Await([this](auto handler) {
    stream.async_read_some(buffer.prepare(4096), std::move(handler));
  });
  buffer.commit(read.bytes);
  return !read.error;
}

std::optional<HttpRequest> HttpSession::ReadRequest(bool& keep_alive) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(kHeaderBytes);
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
  if (error == http::error::body_limit || error == http::error::header_limit) {
    Write(ProblemResponse(413, "Content too large",
                          "The request is larger than this server accepts. "
                          "It did not run."),
          false);
  } else if (error == beast::error::timeout) {
    // The stream is closed after a timeout, so that no answer can be sent.
    return;
  } else if (error.category() ==
             http::make_error_code(http::error::bad_method).category()) {
    Write(ProblemResponse(400, "Malformed request",
                          error.message() + ". It did not run."),
          false);
  }
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

void HttpSession::Run() {
  stream.socket().set_option(tcp::no_delay(true));
  bool keep_alive = true;
  while (keep_alive && WaitForFirstByte()) {
    std::optional<HttpRequest> request = ReadRequest(keep_alive);
    if (!request)
      break;
    // The handler may take longer than any timeout of the stream.
    stream.expires_never();
    ++server.requests_;
    HttpResponse response = server.handler_(std::move(*request));
    keep_alive = keep_alive && !server.draining_;
    const bool written = Write(std::move(response), keep_alive);
    --server.requests_;
    if (!written)
      break;
  }
  beast::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

HttpServer::HttpServer(HttpServerLimits limits, Handler handler)
    : limits_(limits), handler_(std::move(handler)) {}

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
    FiberThread& thread = listener_->NextThread();
    auto session = std::make_unique<HttpSession>(
        HttpSession{.server = *this, .stream = beast::tcp_stream(thread.io())});
    const IoResult accepted = Await([&](auto handler) {
      listener_->acceptor.async_accept(session->stream.socket(),
                                       std::move(handler));
    });
    if (accepted.error || connections_ >= limits_.connections) {
      SleepFiber(kAcceptBackoff);
      continue;
    }
    ++connections_;
    thread.Spawn([this, raw = session.release()] {
      const std::unique_ptr<HttpSession> owned(raw);
      owned->Run();
      --connections_;
    });
  }
}

void HttpServer::Drain() {
  draining_ = true;
}

}  // namespace mustardbank
