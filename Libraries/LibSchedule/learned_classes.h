// What a dispatcher has learned about classes of workers: those that share a
// label or the capacity. It is kept in the platform's store, so that a new
// process or owner knows which workers are likely to be slow.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace mustardbank {

struct ClassStatistics {
  // Logarithm of run time relative to a reference worker.
  double mean_log_factor = 0;
  double deviation = 0;  // of the workers of the class from that mean
  std::uint32_t workers = 0;

  // Whether the numbers can be the result of observations.
  bool IsPlausible() const;

  bool operator==(const ClassStatistics&) const = default;
};

using LearnedClasses = std::map<std::string, ClassStatistics>;  // by name

}  // namespace mustardbank
