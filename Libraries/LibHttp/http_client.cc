#include "LibHttp/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "LibFiber/await.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace mustardbank {

struct HttpConnection::Impl {
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool reusable = false;
  std::string host;
};

namespace {

constexpr std::size_t kMaxResponseBytes = 256 * 1024 * 1024;
// An idle connection is probed after 2 s, and closed if no probe is answered
// within 3 s more.
constexpr std::pair<int, int> kKeepAliveOptions[] = {{TCP_KEEPIDLE, 2},
                                                     {TCP_KEEPINTVL, 1},
                                                     {TCP_KEEPCNT, 3}};

http::request<http::string_body> ToMessage(const HttpRequest& request,
                                           const std::string& host) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, host);
  for (const auto& [name, value] : request.headers)
    message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

HttpResponse ToResponse(http::response<http::string_body>&& message) {
  HttpResponse response;
  response.status = message.result_int();
  response.content_type = std::string(message[http::field::content_type]);
  for (const auto& field : message)
    response.headers.emplace_back(field.name_string(), field.value());
  response.body = std::move(message.body());
  return response;
}

HttpFailure FailureOf(const beast::error_code& error) {
  return error == beast::error::timeout ? HttpFailure::kTimedOut
                                        : HttpFailure::kLost;
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& io)
    : impl_(std::make_unique<Impl>(Impl{.stream = beast::tcp_stream(io)})) {}

HttpConnection::~HttpConnection() = default;

HttpResult<void> HttpConnection::Connect(Endpoint endpoint,
                                         std::chrono::milliseconds timeout) {
  impl_->host = endpoint.ToString();
  impl_->stream.expires_after(timeout);
  const IoResult connected = Await([&](auto handler) {
    impl_->stream.async_connect(
        tcp::endpoint(asio::ip::address_v4(endpoint.ip), endpoint.port),
        std::move(handler));
  });
  if (connected.error) {
    return HttpError{
        .failure = connected.error == asio::error::connection_refused
                       ? HttpFailure::kRefused
                       : HttpFailure::kNotConnected,
        .reason = connected.error.message()};
  }
  beast::error_code ignored;
  tcp::socket& socket = impl_->stream.socket();
  socket.set_option(tcp::no_delay(true), ignored);
  // A peer that lost power does not close its connections; the unanswered
  // probes do.
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  for (const auto& [option, value] : kKeepAliveOptions)
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
                 sizeof value);
  impl_->reusable = true;
  return {};
}

HttpResult<HttpResponse> HttpConnection::Exchange(
    const HttpRequest& request,
    std::chrono::milliseconds timeout) {
  impl_->reusable = false;
  http::request<http::string_body> message;
  try {
    message = ToMessage(request, impl_->host);
  } catch (const std::exception& error) {
    // A header that is too long, or a malformed method.
    return HttpError{.failure = HttpFailure::kNotSent, .reason = error.what()};
  }
  impl_->stream.expires_after(timeout);
  const IoResult written = Await([&](auto handler) {
    http::async_write(impl_->stream, message, std::move(handler));
  });
  if (written.error) {
    Close();
    return HttpError{.failure = written.bytes == 0 ? HttpFailure::kNotSent
                                                   : FailureOf(written.error),
                     .reason = written.error.message()};
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  const IoResult read = Await([&](auto handler) {
    http::async_read(impl_->stream, impl_->buffer, parser, std::move(handler));
  });
  if (read.error) {
    Close();
    return HttpError{.failure = FailureOf(read.error),
                     .reason = read.error.message()};
  }
  impl_->reusable = parser.get().keep_alive() && impl_->buffer.size() == 0;
  return ToResponse(parser.release());
}

bool HttpConnection::IsReusable() {
  if (!impl_->reusable)
    return false;
  // If an idle connection is readable, the server has closed it or has sent
  // bytes that belong to no request.
  char byte = 0;
  const auto received = ::recv(impl_->stream.socket().native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::Close() {
  impl_->reusable = false;
  impl_->stream.close();
}

HttpResult<HttpResponse> ExchangeOnce(asio::io_context& io,
                                      Endpoint endpoint,
                                      const HttpRequest& request,
                                      std::chrono::milliseconds timeout) {
  HttpConnection connection(io);
  const HttpResult<void> connected = connection.Connect(endpoint, timeout);
  if (!connected)
    return connected.error();
  return connection.Exchange(request, timeout);
}

}  // namespace mustardbank
