// A small HTTP/1.1 server and client for the stand-ins: one thread for each
// connection, on 127.0.0.1 only.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Request = http::request<http::string_body>;

struct Reply {
  int status = 0;  // 0: no answer
  std::string body;
};

class HttpServer {
 public:
  using Handler = std::function<Reply(const Request&)>;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}

  // Listens on `port`, or on a free port if it is 0.
  void Listen(unsigned short port = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0)
      throw std::runtime_error("can't listen on loopback");
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    listener_ = fd;
    std::thread([this, fd] { Accept(fd); }).detach();
  }

  // Closes the listener and all connections, like a process that crashes.
  void Crash() {
    const std::lock_guard lock(mutex_);
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    for (const int fd : open_)
      ::shutdown(fd, SHUT_RDWR);
    ++life_;
  }

  unsigned short port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept(int listener) {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    const int life = life_;
    asio::io_context io;
    tcp::socket socket(io, tcp::v4(), fd);
    beast::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (!error && life == life_) {
      Request request;
      http::read(socket, buffer, request, error);
      if (error)
        break;
      const Reply reply = handler_(request);
      if (reply.status == 0 || life != life_)
        break;
      http::response<http::string_body> response(
          static_cast<http::status>(reply.status), 11);
      response.set(http::field::content_type, "application/json");
      response.body() = reply.body;
      response.keep_alive(true);
      response.prepare_payload();
      http::write(socket, response, error);
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    socket.close(error);
  }

  const Handler handler_;
  std::mutex mutex_;
  std::set<int> open_;
  int listener_ = -1;
  std::atomic<int> life_{0};
  unsigned short port_ = 0;
};

// One request on a new connection. Status 0 if there is no whole answer within
// `timeout`.
inline Reply Call(const std::string& method,
                  unsigned short port,
                  const std::string& target,
                  const std::vector<std::pair<std::string, std::string>>& headers,
                  const std::string& body,
                  std::chrono::milliseconds timeout) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  Reply reply;
  Request request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  for (const auto& [name, value] : headers)
    request.set(name, value);
  request.body() = body;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  stream.expires_after(timeout);
  stream.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), port),
      [&](beast::error_code error) {
        if (error)
          return;
        http::async_write(stream, request, [&](beast::error_code error,
                                               std::size_t) {
          if (error)
            return;
          http::async_read(stream, buffer, response,
                           [&](beast::error_code error, std::size_t) {
                             if (!error)
                               reply = {static_cast<int>(response.result_int()),
                                        response.body()};
                           });
        });
      });
  io.run();
  return reply;
}

}  // namespace review
