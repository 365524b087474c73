#include "LibLease/router.h"

#include <algorithm>
#include <utility>

namespace mustardbank {

namespace {

// A job goes to another data centre only if the score of an owner there is
// better by this much. The score is the missing capacity as a share of the
// owner's total capacity.
constexpr double kNearPreference = 0.15;

}  // namespace

std::int64_t Router::SentTo(const std::string& owner) const {
  const auto it = sent_.find(owner);
  return it == sent_.end() ? 0 : it->second;
}

void Router::DidSend(const std::string& owner, std::int64_t millicores) {
  sent_[owner] += millicores;
}

std::string Router::Choose(const std::vector<RouterCandidate>& candidates,
                           std::int64_t millicores,
                           const std::set<std::string>& tried) const {
  const RouterCandidate* best = nullptr;
  std::pair<bool, double> best_score;
  for (const RouterCandidate& candidate : candidates) {
    if (tried.contains(candidate.name))
      continue;
    const OwnerLoad& load = candidate.load;
    const auto capacity = static_cast<double>(
        std::max<std::int64_t>(1, load.capacity_millicores));
    const auto spare_millicores =
        static_cast<double>(load.free_millicores - load.queued_millicores -
                            SentTo(candidate.name) - millicores);
    // All owners with enough spare capacity score the same; of the others, the
    // one that lacks least is best.
    const std::pair score(!candidate.is_leaving,
                          std::min(0.0, spare_millicores / capacity) +
                              (candidate.is_near ? kNearPreference : 0));
    if (!best || score > best_score) {
      best = &candidate;
      best_score = score;
    }
  }
  return best ? best->name : "";
}

}  // namespace mustardbank
