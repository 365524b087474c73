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
                                 const std::vector<std::uint32_t>& others,
                                 std::size_t vms,
                                 std::size_t rank) {
  const auto count = static_cast<std::uint32_t>(vms);
  const std::uint32_t part = slots / count;
  const std::uint32_t own = part + (rank < slots % count ? 1 : 0);
  // The shares that peers leave unused are divided equally among the VMs that
  // use all of their own, so that two VMs never both take the entire rest.
  std::uint32_t unused = 0;
  for (const std::uint32_t demand : others)
    unused += part - std::min(part, demand);
  const std::size_t silent = vms - 1 - std::min(vms - 1, others.size());
  unused += part * static_cast<std::uint32_t>(silent);
  std::uint32_t claimants = 1;
  for (const std::uint32_t demand : others)
    claimants += demand >= part && demand > 0 ? 1 : 0;
  return own + unused / claimants;
}

}  // namespace mustardbank
