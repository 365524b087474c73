#include "LibSchedule/queue_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mustardbank {

namespace {

// Of the mean load. A burst of 4 s at 1.8 times raises it by 15%, and a wrong
// row is forgotten within some tens of seconds.
constexpr double kLearnSeconds = 20;
// The assumption of equal shares weighs as much as this time of observations.
constexpr double kPriorSeconds = 3;
// Without any arrival for longer, jobs are kept away by an outage and show
// nothing about the demand.
constexpr double kLongestGapSeconds = 1;
// Jobs that the means of width and run time cover.
constexpr std::uint32_t kMeanJobs = 32;
// Part of its proportional share that a less urgent queue keeps when the steady
// demand of all queues exceeds the capacity.
constexpr double kFloorShare = 0.5;
// Jobs arrive at random: the standard deviation of the processors that a queue
// uses is the root of its steady demand times the demand of one job. A use
// beyond this many deviations counts as a burst.
constexpr double kBurstDeviations = 1;
// Bounds memory if the configuration is renamed again and again.
constexpr std::size_t kMostQueues = 256;
// A wrong row with the highest plausible load is forgotten within 60 s, and no
// queue can be served more than the whole capacity.
constexpr double kMostLoad = 1;
constexpr double kMostPeakMillicores = 1e9;
constexpr double kMostRunMs = 86'400'000;
constexpr double kMostSeconds = 1e9;

bool IsWithin(double value, double most) {
  return value >= 0 && value <= most;  // false for a NaN
}

struct Claim {
  const std::string* queue = nullptr;
  std::uint32_t priority = 0;
  double share = 0;
};

// Divides `usable` if it is less than the steady demand: each queue keeps a
// part of its proportional share, and the most urgent ones the rest. Equally
// urgent queues divide it in proportion to their demand.
void ScaleDown(std::vector<Claim>& claims, double usable, double total) {
  std::stable_sort(
      claims.begin(), claims.end(),
      [](const Claim& a, const Claim& b) { return a.priority < b.priority; });
  double rest = usable * (1 - kFloorShare);
  const double floor_part = kFloorShare * usable / total;
  for (auto begin = claims.begin(); begin != claims.end();) {
    const auto end = std::find_if(begin, claims.end(), [&](const Claim& claim) {
      return claim.priority != begin->priority;
    });
    double missing = 0;
    for (auto claim = begin; claim != end; ++claim)
      missing += claim->share * (1 - floor_part);
    const double granted = std::min(rest, missing);
    rest -= granted;
    for (; begin != end; ++begin)
      begin->share *=
          floor_part + (1 - floor_part) * (missing > 0 ? granted / missing : 0);
  }
}

}  // namespace

QueueDemand QueueDemand::Unreadable() {
  return {.load = -1};
}

bool QueueDemand::IsPlausible() const {
  return IsWithin(load, kMostLoad) &&
         IsWithin(peak_millicores, kMostPeakMillicores) &&
         IsWithin(run_ms, kMostRunMs) && IsWithin(seconds, kMostSeconds);
}

void QueueShares::Advance(Time now) {
  const double gap = std::clamp(ToMilliseconds(now - advanced_to_) / 1000, 0.0,
                                kLongestGapSeconds);
  advanced_to_ = std::max(advanced_to_, now);
  for (auto& [name, queue] : queues_) {
    QueueDemand& demand = queue.demand;
    demand.seconds = std::min(kMostSeconds, demand.seconds + gap);
    demand.load *= std::exp(
        -gap / std::min(kLearnSeconds, kPriorSeconds + demand.seconds));
  }
}

void QueueShares::ForgetLeast() {
  if (queues_.size() <= kMostQueues)
    return;
  queues_.erase(std::min_element(
      queues_.begin(), queues_.end(), [](const auto& a, const auto& b) {
        return a.second.demand.load < b.second.demand.load;
      }));
}

void QueueShares::DidArrive(const JobRequest& job,
                            const JobEstimate& estimate,
                            double capacity,
                            Time now) {
  if (capacity <= 0)
    return;
  Advance(now);
  Queue& queue = queues_[job.policy.name];
  queue.priority = job.policy.priority;
  const double run_ms = ToMilliseconds(estimate.longest_chain);
  QueueDemand& demand = queue.demand;
  const double window = std::min(kLearnSeconds, kPriorSeconds + demand.seconds);
  // Callers that return have been counted by their first try.
  if (job.age.count() == 0)
    demand.load = std::min(
        kMostLoad, demand.load + estimate.work / 1000 / capacity / window);
  // The first jobs replace recalled means: at a job a second, a wrong row would
  // last for minutes.
  queue.jobs = std::min(queue.jobs + 1, kMeanJobs);
  const double weight = 1.0 / queue.jobs;
  demand.peak_millicores +=
      weight * (estimate.peak_demand - demand.peak_millicores);
  demand.run_ms += weight * (run_ms - demand.run_ms);
  queue.slack_ms = std::max(0.0, (job.policy.stretch - 1) * demand.run_ms +
                                     ToMilliseconds(job.policy.target_latency));
  ForgetLeast();
}

QueueUses QueueShares::Shares(double capacity) const {
  const double usable = kPackedShare * capacity;
  const auto arrived = static_cast<double>(
      std::count_if(queues_.begin(), queues_.end(),
                    [](const auto& queue) { return queue.second.jobs > 0; }));
  std::vector<Claim> claims;
  double total = 0;
  for (const auto& [name, queue] : queues_) {
    if (queue.jobs == 0)
      continue;
    const double prior = kPriorSeconds / (kPriorSeconds + queue.demand.seconds);
    claims.push_back({&name, queue.priority,
                      queue.demand.load * capacity + prior * usable / arrived});
    total += claims.back().share;
  }
  if (total > usable)
    ScaleDown(claims, usable, total);
  QueueUses shares;
  for (const Claim& claim : claims)
    shares[*claim.queue] = claim.share;
  return shares;
}

ShareDecision QueueShares::Decide(const JobRequest& job,
                                  const JobEstimate& estimate,
                                  double capacity,
                                  const QueueUses& uses) const {
  const QueueUses shares = Shares(capacity);
  const std::string& name = job.policy.name;
  const auto share = shares.find(name);
  if (shares.size() < 2 || share == shares.end())
    return {};
  const auto use_of = [&](const std::string& queue) {
    const auto it = uses.find(queue);
    return it == uses.end() ? 0 : it->second;
  };
  const double usual_peak = queues_.at(name).demand.peak_millicores;
  const double usual_most =
      share->second + kBurstDeviations * std::sqrt(share->second * usual_peak);
  // A single job is no burst, however little the queue usually asks for.
  if (use_of(name) <= 0)
    return {};
  // Rounds to whole jobs. A wide job counts as one of usual width, or it would
  // exceed the share for ever.
  if (use_of(name) + std::min(estimate.peak_demand, usual_peak) / 2 <=
      usual_most)
    return {};
  const double run_ms = ToMilliseconds(estimate.longest_chain);
  double reserved = 0;
  for (const auto& [other_name, other_share] : shares) {
    const Queue& other = queues_.at(other_name);
    if (other_name == name)
      continue;
    // What the other queue could ask for and not wait for until the tasks of
    // this job end. Its use grows to its share within one run time.
    const double asked_for = std::clamp(
        (run_ms - other.slack_ms) / std::max(1.0, other.demand.run_ms), 0.0,
        1.0);
    reserved += asked_for * std::max(0.0, other_share - use_of(other_name));
  }
  double free = capacity;
  for (const auto& [queue, use] : uses)
    free -= use;
  if (reserved <= 0 || free - reserved >= estimate.peak_demand)
    return {};
  return {.is_allowed = false, .reserved = reserved};
}

std::map<std::string, QueueDemand> QueueShares::Learned() const {
  std::map<std::string, QueueDemand> learned;
  for (const auto& [name, queue] : queues_)
    learned[name] = queue.demand;
  return learned;
}

bool QueueShares::Recall(const std::string& queue, const QueueDemand& demand) {
  if (!demand.IsPlausible())
    return false;
  Queue& known = queues_[queue];
  if (known.demand.seconds < demand.seconds)
    known.demand = demand;
  ForgetLeast();
  return true;
}

}  // namespace mustardbank
