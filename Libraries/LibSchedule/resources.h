// Resources that a worker has or a task needs.
#pragma once

#include <algorithm>
#include <cstdint>

namespace mustardbank {

struct Resources {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  bool FitsIn(const Resources& available) const {
    return millicores <= available.millicores &&
           memory_mb <= available.memory_mb &&
           accelerators <= available.accelerators;
  }
  Resources& operator+=(const Resources& other) {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
};

// The lesser amount of each resource.
inline Resources LesserOf(const Resources& a, const Resources& b) {
  return {.millicores = std::min(a.millicores, b.millicores),
          .memory_mb = std::min(a.memory_mb, b.memory_mb),
          .accelerators = std::min(a.accelerators, b.accelerators)};
}

// The greater amount of each resource.
inline Resources GreaterOf(const Resources& a, const Resources& b) {
  return {.millicores = std::max(a.millicores, b.millicores),
          .memory_mb = std::max(a.memory_mb, b.memory_mb),
          .accelerators = std::max(a.accelerators, b.accelerators)};
}

}  // namespace mustardbank
