#include "LibCore/interval_set.h"

#include <iterator>

namespace mustardbank {

bool IntervalSet::Contains(std::uint64_t value) const {
  auto next = intervals_.upper_bound(value);
  if (next == intervals_.begin())
    return false;
  return std::prev(next)->second >= value;
}

bool IntervalSet::Insert(std::uint64_t value) {
  if (Contains(value))
    return false;
  InsertInterval(value, value);
  return true;
}

void IntervalSet::InsertInterval(std::uint64_t first, std::uint64_t last) {
  auto next = intervals_.upper_bound(first);
  if (next != intervals_.end() && next->first == last + 1) {
    last = next->second;
    next = intervals_.erase(next);
  }
  if (next != intervals_.begin()) {
    auto previous = std::prev(next);
    if (previous->second + 1 == first) {
      previous->second = last;
      return;
    }
  }
  intervals_.emplace(first, last);
}

}  // namespace mustardbank
