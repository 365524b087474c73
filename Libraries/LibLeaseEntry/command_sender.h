// Sends orders to workers over pooled connections, one fiber an order.
#pragma once

#include "LibFiber/fiber_pool.h"
#include "LibHttp/connection_pool.h"
#include "LibLeaseEntry/lease_control.h"

namespace mustardbank {

class CommandSender {
 public:
  CommandSender(boost::asio::io_context& io, LeaseControl& control);

  void Start(StartCommand&& order);
  void Stop(StopCommand&& order);
  void Renew(RenewCommand&& order);
  // Whether a connection to the worker opens.
  bool Reaches(Endpoint worker);

  std::uint64_t connections_opened() const {
    return pool_.connections_opened() + holds_.connections_opened();
  }

 private:
  LeaseControl& control_;
  ConnectionPool pool_;   // of starts and stops
  ConnectionPool holds_;  // which wait, so that each takes a connection
  FiberPool fibers_;
};

}  // namespace mustardbank
