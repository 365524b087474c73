#include "LibHttp/connection_pool.h"

namespace mustardbank {

HttpResult<std::unique_ptr<HttpConnection>> ConnectionPool::Acquire(
    Endpoint endpoint,
    bool fresh) {
  if (fresh)
    Forget(endpoint);
  bool was_closed = false;
  if (auto connection = TakeIdle(endpoint, was_closed))
    return connection;
  ++opened_;
  auto connection = std::make_unique<HttpConnection>(io_);
  const HttpResult<void> connected =
      connection->Connect(endpoint, limits_.connect_timeout);
  if (!connected)
    return connected.error();
  return connection;
}

std::unique_ptr<HttpConnection> ConnectionPool::TakeIdle(Endpoint endpoint,
                                                         bool& was_closed) {
  auto& idle = idle_[endpoint];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsReusable())
      return connection;
    was_closed = true;
  }
  return nullptr;
}

void ConnectionPool::Release(Endpoint endpoint,
                             std::unique_ptr<HttpConnection> connection) {
  auto& idle = idle_[endpoint];
  if (idle.size() < limits_.idle)
    idle.push_back(std::move(connection));
}

HttpResult<HttpResponse> ConnectionPool::Exchange(
    Endpoint endpoint,
    const HttpRequest& request,
    std::chrono::milliseconds timeout,
    bool fresh) {
  HttpResult<std::unique_ptr<HttpConnection>> connection =
      Acquire(endpoint, fresh);
  if (!connection)
    return connection.error();
  HttpResult<HttpResponse> response = (*connection)->Exchange(request, timeout);
  if (response)
    Release(endpoint, std::move(*connection));
  return response;
}

}  // namespace mustardbank
