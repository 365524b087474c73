// An HTTP/1.1 server: one fiber for each connection, with limits on
// connections, body size and the time a caller takes to send a request.
#pragma once

#include <atomic>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "LibCore/endpoint.h"
#include "LibHttp/http_message.h"

namespace mustardbank {

class FiberThread;

struct HttpServerLimits {
  std::size_t connections = 4096;
  std::size_t body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds request_timeout{5000};
  std::chrono::milliseconds idle_timeout{60000};
};

// The listener could not be opened.
struct ListenError {
  Endpoint endpoint;
  std::string reason;
};

// Tells the handler of a request when its caller closes the connection.
class CallerWatch {
 public:
  // `leave` is called at most once, on the connection's thread, if the caller
  // leaves before the handler has returned; at once if it left before.
  void OnLeave(std::function<void()> leave) {
    leave_ = std::move(leave);
    if (has_left_)
      DidLeave();
  }
  bool has_left() const { return has_left_; }

 private:
  friend struct HttpSession;

  void DidLeave() {
    has_left_ = true;
    if (leave_)
      std::exchange(leave_, nullptr)();
  }

  std::function<void()> leave_;
  bool has_left_ = false;
};

class HttpServer {
 public:
  // Called in the connection's fiber, and may suspend it.
  using Handler = std::function<HttpResponse(HttpRequest&&)>;
  using WatchingHandler =
      std::function<HttpResponse(HttpRequest&&, CallerWatch&)>;

  HttpServer(HttpServerLimits limits, Handler handler);
  HttpServer(HttpServerLimits limits, WatchingHandler handler);
  ~HttpServer();

  // Listens on `endpoint` and serves its connections on `threads` in turn,
  // which outlive the server. Returns the endpoint with the port bound. Call
  // it once.
  boost::leaf::result<Endpoint> Listen(std::vector<FiberThread*> threads,
                                       Endpoint endpoint);

  // Ends each connection after its next response. The listener stays open, so
  // that late callers get an answer.
  void Drain();

  std::size_t connections() const { return connections_; }
  std::size_t requests_in_progress() const { return requests_; }

 private:
  struct Listener;
  friend struct HttpSession;

  void Accept();

  const HttpServerLimits limits_;
  const WatchingHandler handler_;
  std::unique_ptr<Listener> listener_;
  std::atomic<std::size_t> connections_{0};
  std::atomic<std::size_t> requests_{0};
  std::atomic<bool> draining_{false};
};

}  // namespace mustardbank
