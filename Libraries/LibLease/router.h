// Chooses, at the home of a job, the owner that shall run it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "LibCore/boot_clock.h"
#include "LibLease/ownership.h"

namespace mustardbank {

struct RouterCandidate {
  std::string name;
  bool is_self = false;
  bool is_near = false;  // it owns workers of the home's data centre
  bool is_leaving = false;
  OwnerLoad load;
};

class Router {
 public:
  // The owner to try next for a job that needs `millicores` at once, but none
  // of `tried`; one that leaves only if there is no other; "" if there is none.
  std::string Choose(const std::vector<RouterCandidate>& candidates,
                     std::int64_t millicores,
                     const std::set<std::string>& tried) const;

  // Work sent since an owner's last report lessens the room it reported.
  void DidSend(const std::string& owner, std::int64_t millicores);
  void DidReport(const std::string& owner) { sent_.erase(owner); }

 private:
  std::int64_t SentTo(const std::string& owner) const;

  std::map<std::string, std::int64_t> sent_;
};

}  // namespace mustardbank
