#include "LibSchedule/router.h"

#include <algorithm>
#include <utility>

namespace mustardbank {

namespace {

// A job goes to another data centre only if the score of an owner there is
// better by this much. The score is the missing capacity as a share of the
// owner's total capacity.
constexpr double kNearPreference = 0.15;

}  // namespace

std::int64_t Router::SentTo(const RouterCandidate& owner) const {
  const auto it = sent_.find(owner.name);
  return owner.is_self || it == sent_.end() ? 0 : it->second;
}

void Router::DidSend(const std::string& owner, std::int64_t millicores) {
  sent_[owner] += millicores;
}

std::string Router::Choose(const std::vector<RouterCandidate>& candidates,
                           std::int64_t millicores,
                           const std::set<std::string>& tried) {
  struct Best {
    const RouterCandidate* candidate;
    double spare_share;
  };
  std::vector<Best> best;
  std::pair<bool, double> best_score;
  for (const RouterCandidate& candidate : candidates) {
    if (tried.contains(candidate.name))
      continue;
    const OwnerLoad& load = candidate.load;
    const auto capacity = static_cast<double>(
        std::max<std::int64_t>(1, load.capacity_millicores));
    const auto spare_millicores =
        static_cast<double>(load.free_millicores - load.queued_millicores -
                            SentTo(candidate) - millicores);
    const double spare_share = spare_millicores / capacity;
    // All owners with enough spare capacity score the same; of the others, the
    // one that lacks least is best.
    const std::pair score(
        !candidate.is_leaving,
        std::min(0.0, spare_share) + (candidate.is_near ? kNearPreference : 0));
    if (best.empty() || score > best_score) {
      best.clear();
      best_score = score;
    }
    if (score == best_score)
      best.push_back({&candidate, spare_share});
  }
  if (best.empty())
    return "";
  const Best& one = best[random_() % best.size()];
  const Best& other = best[random_() % best.size()];
  return (one.spare_share >= other.spare_share ? one : other).candidate->name;
}

}  // namespace mustardbank
