// Teams and how much of their quotas this VM may use. A quota holds for the
// whole deployment. Without asking anyone at each start, every VM takes its
// equal part, and what its peers leave of theirs by their last heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibDispatch/fair_queue.h"

namespace mustardbank {

struct Team {
  std::string name;
  std::uint32_t slots = 0;  // quota
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t share = 0;  // most tasks at once at this VM
};

class TeamTable {
 public:
  TeamIndex Ensure(std::string_view name);
  Team& operator[](TeamIndex index) { return teams_[index]; }
  const Team& operator[](TeamIndex index) const { return teams_[index]; }
  std::vector<Team>& teams() { return teams_; }
  const std::vector<Team>& teams() const { return teams_; }

  // The part of a quota that this VM may use. `others` is the demand of the
  // peers for the team, `vms` the number of live VMs and `rank` the position
  // of this VM among them, which settles who gets the remainder.
  static std::uint32_t ShareOf(std::uint32_t slots,
                               const std::vector<std::uint32_t>& others,
                               std::size_t vms,
                               std::size_t rank);

 private:
  std::vector<Team> teams_;
  std::unordered_map<std::string, TeamIndex> by_name_;
};

}  // namespace mustardbank
