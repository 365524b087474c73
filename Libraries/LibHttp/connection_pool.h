// A pool of client connections by endpoint, used by one thread.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "LibHttp/http_client.h"

namespace mustardbank {

class ConnectionPool {
 public:
  struct Limits {
    // The most idle connections that are kept to each endpoint.
    std::size_t idle = 8;
    std::chrono::milliseconds connect_timeout{300};
  };

  ConnectionPool(boost::asio::io_context& io, Limits limits)
      : io_(io), limits_(limits) {}

  // Returns an idle connection, or opens one. With `fresh`, closes the idle
  // connections to the endpoint and opens a new one, since requests on the old
  // ones may no longer be answered.
  HttpResult<std::unique_ptr<HttpConnection>> Acquire(Endpoint endpoint,
                                                      bool fresh = false);
  // Returns the idle connection that is to be used next, without opening one.
  // Null if there is none. Drops those that the other side has closed, and sets
  // `was_closed` if there was one.
  std::unique_ptr<HttpConnection> TakeIdle(Endpoint endpoint, bool& was_closed);
  // Returns a connection to the pool after a successful exchange.
  void Release(Endpoint endpoint, std::unique_ptr<HttpConnection> connection);
  // Closes the idle connections to an endpoint.
  void Forget(Endpoint endpoint) { idle_.erase(endpoint); }

  // Acquires a connection, exchanges one request, and releases the connection.
  HttpResult<HttpResponse> Exchange(Endpoint endpoint,
                                    const HttpRequest& request,
                                    std::chrono::milliseconds timeout,
                                    bool fresh = false);

  std::uint64_t connections_opened() const { return opened_; }

 private:
  boost::asio::io_context& io_;
  const Limits limits_;
  std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace mustardbank
