// Settings of an entry VM that runs tasks under leases on the users' platform.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>

#include "LibConfig/json_document.h"
#include "LibCore/endpoint.h"

namespace mustardbank {

struct LeaseSettings {
  std::string name;
  std::string data_center;
  Endpoint callers;
  Endpoint readiness;  // probed by the load balancer
  Endpoint peers;      // datagrams and jobs from other entry VMs
  Endpoint metrics;
  Endpoint store;
  double cores = 1;  // processor share times speed
  std::uint32_t memory_mb = 256;
  std::uint32_t longest_lease_ms = 1000;  // longest lease a worker grants
  std::uint32_t stop_ms = 50;             // time a worker takes to stop a task
  std::uint32_t grace_s = 6;              // from SIGTERM to SIGKILL
  // Time from the registration that a worker leaves until it gets no more
  // tasks.
  std::uint32_t drain_ms = 2000;
  std::uint32_t configuration_ms = 2000;  // time until a change is in force
  // Between two registrations of a worker.
  std::uint32_t worker_heartbeat_ms = 1500;
  // Time from a registration with a smaller capacity until starts must respect
  // it.
  std::uint32_t capacity_notice_ms = 3000;
  // The share of their capacity that workers are assumed to have while their
  // registrations can't be read.
  double unconfirmed_capacity_share = 0.5;
  std::uint32_t log_lines_per_second = 400;
  // Whether a burst of one queue must leave other queues their share of scarce
  // capacity.
  bool queue_shares = false;

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<LeaseSettings> Read(const JsonDocument& document);
  static boost::leaf::result<LeaseSettings> Load(const std::string& file);
};

}  // namespace mustardbank
