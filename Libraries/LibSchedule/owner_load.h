// Free capacity of an owner of workers, as it reports it to other VMs.
#pragma once

#include <cstdint>

namespace mustardbank {

struct OwnerLoad {
  std::int64_t free_millicores = 0;
  std::int64_t capacity_millicores = 0;
  std::int64_t queued_millicores = 0;  // of waiting tasks
};

}  // namespace mustardbank
