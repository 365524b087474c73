// Runs attempts of tasks on backend servers over pooled HTTP connections. Used
// by one traffic thread. The interface is described in docs/API.md.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "LibDispatch/events.h"
#include "LibFiber/fiber_pool.h"
#include "LibHttp/connection_pool.h"

namespace mustardbank {

class WorkerClient {
 public:
  using DidEnd = std::function<void(AttemptEnded&&)>;

  WorkerClient(boost::asio::io_context& io,
               std::string data_center,
               DidEnd did_end);

  // Starts an attempt; call from the thread that runs `io` only.
  void Start(StartTask task);

  std::size_t attempts() const { return attempts_; }

 private:
  AttemptEnded Run(const StartTask& task);
  HttpResult<AttemptEnded> Exchange(const StartTask& task);
  void UpdateEndpoint(const StartTask& task);

  const std::string data_center_;
  const DidEnd did_end_;
  FiberPool fibers_;
  ConnectionPool pool_;
  std::map<std::string, Endpoint> endpoints_;  // by worker
  std::size_t attempts_ = 0;
};

}  // namespace mustardbank
