#include "LibSchedule/crash_limits.h"

#include <algorithm>

namespace mustardbank {

namespace {

// Trials older than this tell nothing about the tasks that come now.
constexpr Duration kTrialsKept = std::chrono::seconds(10);
// Before any trial, one suspect in five is taken for the cause, with the weight
// of two trials.
constexpr double kPriorCrashes = 0.4;
constexpr double kPriorTrials = 2;
constexpr double kBlamedShare = 0.5;
// Bounds memory; the rest of a storm tells nothing new.
constexpr std::size_t kMostKept = 1000;

}  // namespace

void CrashLimits::DidCrash(const std::string& queue,
                           const std::string& worker,
                           double weight,
                           Time now) {
  Forget(now);
  std::deque<Loss>& losses = queues_[queue].losses;
  losses.push_back({.worker = worker, .at = now, .weight = weight});
  if (losses.size() > kMostKept)
    losses.pop_front();
}

void CrashLimits::DidReturn(const std::string& worker) {
  for (auto& [name, queue] : queues_)
    std::erase_if(queue.losses,
                  [&](const Loss& loss) { return loss.worker == worker; });
}

void CrashLimits::DidTry(const std::string& queue, bool has_crashed, Time now) {
  Forget(now);
  std::deque<Trial>& trials = queues_[queue].trials;
  trials.push_back({.at = now, .has_crashed = has_crashed});
  if (trials.size() > kMostKept)
    trials.pop_front();
}

void CrashLimits::Forget(Time now) {
  for (auto& [name, queue] : queues_) {
    while (!queue.losses.empty() && now - queue.losses.front().at > kDownTime)
      queue.losses.pop_front();
    while (!queue.trials.empty() && now - queue.trials.front().at > kTrialsKept)
      queue.trials.pop_front();
  }
  std::erase_if(queues_, [](const auto& entry) {
    return entry.second.losses.empty() && entry.second.trials.empty();
  });
}

bool CrashLimits::IsBlamed(const std::string& queue, Time now) const {
  const auto it = queues_.find(queue);
  if (it == queues_.end())
    return false;
  double crashes = kPriorCrashes;
  double trials = kPriorTrials;
  for (const Trial& trial : it->second.trials) {
    if (now - trial.at > kTrialsKept)
      continue;
    crashes += trial.has_crashed ? 1 : 0;
    ++trials;
  }
  return crashes >= kBlamedShare * trials;
}

std::set<std::string> CrashLimits::Blamed(Time now) const {
  std::set<std::string> blamed;
  for (const auto& [name, queue] : queues_) {
    if (IsBlamed(name, now))
      blamed.insert(name);
  }
  return blamed;
}

double CrashLimits::LostBy(const std::string& queue, Time now) const {
  double lost = 0;
  if (const auto it = queues_.find(queue); it != queues_.end()) {
    for (const Loss& loss : it->second.losses)
      lost += now - loss.at <= kDownTime ? loss.weight : 0;
  }
  return lost;
}

double CrashLimits::Lost(Time now) const {
  double lost = 0;
  for (const auto& [name, queue] : queues_)
    lost += LostBy(name, now);
  return lost;
}

Time CrashLimits::EarliestRisk(const std::string& queue,
                               double limit,
                               Time now) const {
  if (!IsBlamed(queue, now))
    return now;
  double lost = LostBy(queue, now);
  Time earliest = now;
  for (const Loss& loss : queues_.at(queue).losses) {
    if (lost < limit)
      break;
    if (now - loss.at > kDownTime)
      continue;
    lost -= loss.weight;
    earliest = loss.at + kDownTime;
  }
  return earliest;
}

}  // namespace mustardbank
