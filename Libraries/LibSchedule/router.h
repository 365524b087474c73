// Chooses the owner that runs a job. Used by the job's home, the entry VM that
// keeps the job's state and answers its caller.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "LibCore/boot_clock.h"
#include "LibSchedule/owner_load.h"

namespace mustardbank {

struct RouterCandidate {
  std::string name;
  bool is_self = false;
  bool is_near = false;  // owns workers in the home's data centre
  bool is_leaving = false;
  OwnerLoad load;
};

class Router {
 public:
  // Homes with different seeds choose differently.
  explicit Router(std::uint64_t seed) : random_(seed) {}

  // Returns the owner to try next for a job that needs `millicores` at once, or
  // "" if all owners are in `tried`. An owner that is leaving is chosen only if
  // there is no other. Of several owners with enough spare capacity, the better
  // of two random ones is chosen: load reports are some 100 ms old, and with a
  // fixed order all homes would send their jobs to the same owner meanwhile.
  std::string Choose(const std::vector<RouterCandidate>& candidates,
                     std::int64_t millicores,
                     const std::set<std::string>& tried);

  // Work sent since an owner's last load report is subtracted from the free
  // capacity in that report. The load of this VM's own workers is current.
  void DidSend(const std::string& owner, std::int64_t millicores);
  void DidReport(const std::string& owner) { sent_.erase(owner); }
  std::int64_t SentTo(const RouterCandidate& owner) const;

 private:
  std::map<std::string, std::int64_t> sent_;
  std::mt19937_64 random_;
};

}  // namespace mustardbank
