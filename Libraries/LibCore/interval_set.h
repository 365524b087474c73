// A set of integers, stored as disjoint closed intervals. Consecutive numbers
// share one interval, so that a set of mostly consecutive numbers stays small.
#pragma once

#include <cstdint>
#include <map>

namespace mustardbank {

class IntervalSet {
 public:
  // Maps the first number of each interval to its last.
  using Map = std::map<std::uint64_t, std::uint64_t>;

  // Returns whether `value` was absent before.
  bool Insert(std::uint64_t value);
  // Inserts an interval, which must not overlap any in the set.
  void InsertInterval(std::uint64_t first, std::uint64_t last);
  bool Contains(std::uint64_t value) const;

  const Map& intervals() const { return intervals_; }

 private:
  Map intervals_;
};

}  // namespace mustardbank
