// The active configuration of queues: the requests that belong to each queue,
// and how the queue treats its jobs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibSchedule/job.h"

namespace mustardbank {

struct QueueRoute {
  std::string host;  // lower case, without a port
  std::string path_prefix;
  QueuePolicy policy;
  // Placement on workers needs an external adviser, which is not supported.
  bool needs_advice = false;
};

struct LeaseConfiguration {
  std::uint64_t version = 0;  // 0: no configuration was read yet
  std::vector<QueueRoute> routes;
  std::size_t body_bytes = 0;  // limit of a request's body

  // Returns the route of the host with the longest matching prefix of `path`,
  // or null. The port in `host` is ignored.
  const QueueRoute* Find(std::string_view host, std::string_view path) const;
};

}  // namespace mustardbank
