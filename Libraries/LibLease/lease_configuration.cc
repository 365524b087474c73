#include "LibLease/lease_configuration.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace mustardbank {

const QueueRoute* LeaseConfiguration::Find(std::string_view host,
                                           std::string_view path) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : routes) {
    if (!path.starts_with(route.path_prefix) ||
        !boost::algorithm::iequals(route.host, name))
      continue;
    if (!best || route.path_prefix.size() > best->path_prefix.size())
      best = &route;
  }
  return best;
}

}  // namespace mustardbank
