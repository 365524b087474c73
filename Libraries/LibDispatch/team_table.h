// Teams and the share of their quotas that this VM may use. A quota applies to
// the whole deployment. To avoid a message at each start of a task, every VM
// uses an equal share, plus what its peers leave unused according to their last
// heartbeats.
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
  std::uint32_t share = 0;  // limit of tasks running at once for this VM
};

class TeamTable {
 public:
  TeamIndex Ensure(std::string_view name);
  Team& operator[](TeamIndex index) { return teams_[index]; }
  const Team& operator[](TeamIndex index) const { return teams_[index]; }
  std::vector<Team>& teams() { return teams_; }
  const std::vector<Team>& teams() const { return teams_; }

  // The share of a quota of `slots` that this VM may use. `peer_demands` is the
  // demand of each live peer for the team, `vms` the number of live VMs and
  // `rank` the position of this VM among them, which decides who gets the
  // remainder of the division.
  static std::uint32_t ShareOf(std::uint32_t slots,
                               const std::vector<std::uint32_t>& peer_demands,
                               std::size_t vms,
                               std::size_t rank);

 private:
  std::vector<Team> teams_;
  std::unordered_map<std::string, TeamIndex> by_name_;
};

}  // namespace mustardbank
