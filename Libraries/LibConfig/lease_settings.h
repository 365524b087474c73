// Settings of an entry VM that runs tasks under leases on the users' platform.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "LibConfig/config_error.h"
#include "LibConfig/json_document.h"
#include "LibCore/boot_clock.h"
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
  double memory_mb = 256;
  // Bounds of the platform, which may have fractions of their unit. One that
  // can't be used is replaced (see `warnings`): the platform writes the file,
  // and a VM that does not start serves nobody.
  Duration longest_lease = std::chrono::seconds(1);    // that a worker grants
  Duration stop_time = std::chrono::milliseconds(50);  // of a task
  Duration grace_period = std::chrono::seconds(6);  // from SIGTERM to SIGKILL
  // From the registration that a worker leaves until it gets no more tasks.
  Duration drain_time = std::chrono::seconds(2);
  Duration configuration_time =
      std::chrono::seconds(2);  // until it is in force
  // Between two registrations of a worker.
  Duration worker_heartbeat = std::chrono::milliseconds(1500);
  // From a registration with a smaller capacity until starts must respect it.
  Duration capacity_notice = std::chrono::seconds(3);
  // The share of their capacity that workers are assumed to have while their
  // registrations can't be read.
  double unconfirmed_capacity_share = 0.5;
  std::uint32_t log_lines_per_second = 400;
  // Whether a burst of one queue must leave other queues their share of scarce
  // capacity.
  bool queue_shares = false;

  // Bounds in the document that could not be used, and what is used instead.
  std::vector<ConfigFault> warnings{};

  // Fails with ConfigError, which lists all faults.
  static boost::leaf::result<LeaseSettings> Read(const JsonDocument& document);
  static boost::leaf::result<LeaseSettings> Load(const std::string& file);
};

}  // namespace mustardbank
