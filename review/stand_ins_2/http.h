// A small HTTP/1.1 server and client for the stand-ins: one thread for each
// connection, on 127.0.0.1 only.
#pragma once

#include <netinet/in.h>
#include <poll.h>
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
    static asio::io_context io;  // never run: all calls block
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
  const auto end = std::chrono::steady_clock::now() + timeout;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  std::string received;
  Reply reply;
  bool is_open =
      fd >= 0 &&
      ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
          0 &&
      ::send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size());
  while (is_open && !parser.is_done()) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    pollfd waiting{.fd = fd, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 ||
        ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0)
      break;
    char bytes[4096];
    const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0)
      break;
    received.append(bytes, static_cast<std::size_t>(count));
    beast::error_code error;
    received.erase(0, parser.put(asio::buffer(received), error));
    is_open = !error || error == http::error::need_more;
  }
  if (parser.is_done())
    reply = {static_cast<int>(parser.get().result_int()), parser.get().body()};
  if (fd >= 0)
    ::close(fd);
  return reply;
}

}  // namespace review
