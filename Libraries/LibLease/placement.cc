#include "LibLease/placement.h"

#include <algorithm>
#include <tuple>

namespace mustardbank {

namespace {

bool HasLabel(const WorkerEntry& entry, const std::string& label) {
  return std::find(entry.labels.begin(), entry.labels.end(), label) !=
         entry.labels.end();
}

std::size_t RunsOfJob(const LeasedWorker& worker, const std::string& job) {
  return static_cast<std::size_t>(
      std::count_if(worker.runs.begin(), worker.runs.end(),
                    [&](const auto& run) { return run.second.job == job; }));
}

bool IsAllowed(const LeasedWorker& worker, const PlacementQuery& query) {
  const TaskGroup& group = query.group;
  if (worker.entry.service != query.service)
    return false;
  if (!group.required_label.empty() &&
      !HasLabel(worker.entry, group.required_label))
    return false;
  return group.most_per_worker == 0 ||
         RunsOfJob(worker, query.job) < group.most_per_worker;
}

}  // namespace

LeasedWorker* ChooseWorker(std::map<std::string, LeasedWorker>& workers,
                           const PlacementQuery& query,
                           Time now) {
  LeasedWorker* best = nullptr;
  std::tuple<bool, bool, bool, std::int64_t> best_rank;
  for (auto& [id, worker] : workers) {
    if (!worker.CanStart(query.timing, now, query.is_job_started) ||
        !IsAllowed(worker, query))
      continue;
    const Resources free_capacity = worker.FreeCapacity();
    if (!query.group.each.FitsIn(free_capacity))
      continue;
    const bool is_far = !query.group.preferred_rack.empty() &&
                        !HasLabel(worker.entry, query.group.preferred_rack);
    const std::tuple rank(
        id == query.avoided, worker.is_evacuated || worker.IsCold(now), is_far,
        free_capacity.millicores - query.group.each.millicores);
    if (!best || rank < best_rank) {
      best = &worker;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace mustardbank
