// An HTTP/1.1 server with one fiber for each connection, and with limits on the
// number of connections, the body size and the time to receive a request.
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

// Notifies the handler of a request when the caller closes the connection.
class CallerWatch {
 public:
  // Calls `callback` once, on the connection's thread, if the caller
  // disconnects before the handler has returned. Calls it at once if the caller
  // has already disconnected.
  void OnDisconnect(std::function<void()> callback) {
    callback_ = std::move(callback);
    if (is_disconnected_)
      DidDisconnect();
  }
  bool is_disconnected() const { return is_disconnected_; }

 private:
  friend struct HttpSession;

  void DidDisconnect() {
    is_disconnected_ = true;
    if (callback_)
      std::exchange(callback_, nullptr)();
  }

  std::function<void()> callback_;
  bool is_disconnected_ = false;
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

  // Listens on `endpoint` and distributes the connections to `threads` in turn.
  // The threads must outlive the server. Returns the endpoint with the bound
  // port. Must be called only once.
  boost::leaf::result<Endpoint> Listen(std::vector<FiberThread*> threads,
                                       Endpoint endpoint);

  // Closes each connection after its next response. The listener stays open, so
  // that callers who still connect get a response.
  void Drain();

  std::size_t connections() const { return connections_; }
  std::size_t requests_in_progress() const { return requests_; }

 private:
  struct Listener;
  friend struct HttpSession;

  void Accept();
  // Returns whether a connection was accepted.
  bool AcceptOne();

  const HttpServerLimits limits_;
  const WatchingHandler handler_;
  std::unique_ptr<Listener> listener_;
  std::atomic<std::size_t> connections_{0};
  std::atomic<std::size_t> requests_{0};
  std::atomic<bool> draining_{false};
};

}  // namespace mustardbank
