// Sends commands to workers over pooled connections, each from a fiber of its
// own.
#pragma once

#include "LibFiber/fiber_pool.h"
#include "LibHttp/connection_pool.h"
#include "LibLeaseEntry/lease_control.h"

namespace mustardbank {

class CommandSender {
 public:
  CommandSender(boost::asio::io_context& io, LeaseControl& control);

  void Start(StartCommand&& command);
  void Stop(StopCommand&& command);
  void Renew(RenewCommand&& command);
  // Opens a new connection to the worker, and returns whether it succeeded.
  bool CanConnect(Endpoint worker);

  std::uint64_t connections_opened() const {
    return pool_.connections_opened() + renew_pool_.connections_opened();
  }

 private:
  // Returns a connection to the process that the worker's last report came
  // from. A process that ends closes its connections, and the next one may have
  // other labels: while no report of it has been received, it gets no start.
  HttpResult<std::unique_ptr<HttpConnection>> AcquireForStart(Endpoint worker);

  LeaseControl& control_;
  ConnectionPool pool_;  // for start and stop commands
  // For lease renewals. A worker delays its answer until a run ends, so each
  // renewal occupies a connection for long.
  ConnectionPool renew_pool_;
  FiberPool fibers_;
};

}  // namespace mustardbank
