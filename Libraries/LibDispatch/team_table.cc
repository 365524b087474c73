#include "LibDispatch/team_table.h"

#include <algorithm>

namespace mustardbank {

TeamIndex TeamTable::Ensure(std::string_view name) {
  const auto [it, is_new] = by_name_.try_emplace(
      std::string(name), static_cast<TeamIndex>(teams_.size()));
  if (is_new)
    teams_.push_back(Team{.name = std::string(name)});
  return it->second;
}

std::uint32_t TeamTable::ShareOf(std::uint32_t slots,
                                 const std::vector<std::uint32_t>& peer_demands,
                                 std::size_t vms,
                                 std::size_t rank) {
  const auto count = static_cast<std::uint32_t>(vms);
  const std::uint32_t equal_share = slots / count;
  const std::uint32_t own = equal_share + (rank < slots % count ? 1 : 0);
  // The shares that peers leave unused are divided equally among the VMs that
  // use all of their own, so that two VMs never both take the entire rest.
  std::uint32_t unused = 0;
  for (const std::uint32_t demand : peer_demands)
    unused += equal_share - std::min(equal_share, demand);
  const std::size_t unreported =
      vms - 1 - std::min(vms - 1, peer_demands.size());
  unused += equal_share * static_cast<std::uint32_t>(unreported);
  std::uint32_t claimants = 1;
  for (const std::uint32_t demand : peer_demands)
    claimants += demand >= equal_share && demand > 0 ? 1 : 0;
  return own + unused / claimants;
}

}  // namespace mustardbank
