// Runs attempts on backend servers over pooled HTTP connections, from one
// traffic thread. The interface is described in docs/API.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibDispatch/events.h"
#include "LibFiber/fiber_pool.h"
#include "LibHttp/http_client.h"

namespace mustardbank {

class WorkerClient {
 public:
  using DidEnd = std::function<void(AttemptEnded&&)>;

  WorkerClient(boost::asio::io_context& io,
               std::string data_center,
               DidEnd did_end);

  // Starts an attempt; only on the client's thread.
  void Start(StartTask task);

  std::size_t attempts() const { return attempts_; }

 private:
  struct Pool {
    Endpoint endpoint;
    std::vector<std::unique_ptr<HttpConnection>> idle;
  };

  AttemptEnded Run(const StartTask& task);
  HttpResult<AttemptEnded> Exchange(const StartTask& task);
  HttpResult<std::unique_ptr<HttpConnection>> Acquire(const StartTask& task);
  Pool& PoolOf(const StartTask& task);

  boost::asio::io_context& io_;
  const std::string data_center_;
  const DidEnd did_end_;
  FiberPool fibers_;
  std::map<std::string, Pool> pools_;
  std::size_t attempts_ = 0;
};

}  // namespace mustardbank
