// The configuration of queues in force: which requests belong to which queue,
// and how the queue treats its jobs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibLease/job.h"

namespace mustardbank {

struct QueueRoute {
  std::string host;  // lower case, without a port
  std::string path_prefix;
  QueuePolicy policy;
  bool needs_advice = false;  // only an adviser knows which workers may run it
};

struct LeaseConfiguration {
  std::uint64_t version = 0;  // 0: none yet
  std::vector<QueueRoute> routes;
  std::size_t body_bytes = 0;  // limit of a request's body

  // The route of the host with the longest prefix of `path`, or null.
  const QueueRoute* Find(std::string_view host, std::string_view path) const;
};

}  // namespace mustardbank
