// A set of integers kept as disjoint closed intervals. Numbers inserted in
// order take one interval, so that the set stays small.
#pragma once

#include <cstdint>
#include <map>

namespace mustardbank {

class IntervalSet {
 public:
  using Map = std::map<std::uint64_t, std::uint64_t>;  // first to last

  // Returns whether `value` was absent before.
  bool Insert(std::uint64_t value);
  // Inserts an interval that overlaps none already here.
  void InsertInterval(std::uint64_t first, std::uint64_t last);
  bool Contains(std::uint64_t value) const;

  const Map& intervals() const { return intervals_; }

 private:
  Map intervals_;
};

}  // namespace mustardbank
