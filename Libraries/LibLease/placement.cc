#include "LibLease/placement.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "LibSchedule/placement_choice.h"

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

CrashRisk RiskOn(const LeasedWorker& worker, const PlacementQuery& query) {
  if (!query.blamed_queues || query.blamed_queues->empty())
    return CrashRisk::kNone;
  const auto is_blamed = [&](const std::string& queue) {
    return query.blamed_queues->contains(queue);
  };
  const bool is_task_blamed = is_blamed(*query.queue);
  if (worker.runs.empty())
    return is_task_blamed ? CrashRisk::kSingle : CrashRisk::kNone;
  const bool is_shared = std::any_of(
      worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
        return is_blamed(entry.second.queue) != is_task_blamed;
      });
  return is_shared ? CrashRisk::kShared : CrashRisk::kNone;
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
  std::vector<LeasedWorker*> usable;
  std::vector<PlacementCandidate> candidates;
  const double run_ms = ToMilliseconds(query.run_time);
  for (auto& [id, worker] : workers) {
    if (!worker.CanStart(query.timing, now, query.is_job_started) ||
        !IsAllowed(worker, query))
      continue;
    const Resources free_capacity = worker.FreeCapacity(now);
    if (!query.group.each.FitsIn(free_capacity))
      continue;
    usable.push_back(&worker);
    candidates.push_back(
        {.leftover_millicores =
             free_capacity.millicores - query.group.each.millicores,
         .run_time =
             FromMilliseconds(run_ms * query.speeds.SpeedOf(id).factor()),
         .is_avoided = id == query.avoided,
         .is_reserve = worker.is_evacuated || worker.IsCold(now),
         .is_far = !query.group.preferred_rack.empty() &&
                   !HasLabel(worker.entry, query.group.preferred_rack),
         .crash_risk = RiskOn(worker, query)});
  }
  const auto choice = ChooseCandidate(candidates, query.latest_run_time);
  return choice ? usable[*choice] : nullptr;
}

LeasedWorker* ChooseExclusiveWorker(
    std::map<std::string, LeasedWorker>& workers,
    const PlacementQuery& query,
    Time now) {
  LeasedWorker* chosen = nullptr;
  std::tuple<bool, Time, std::int64_t> chosen_rank;
  for (auto& [id, worker] : workers) {
    if (!worker.reserved_for.empty() ||
        !worker.IsAvailable(query.timing, now, query.is_job_started) ||
        !IsAllowed(worker, query) ||
        !query.group.each.FitsIn(worker.Capacity(now)))
      continue;
    Time free_at = now;
    for (const auto& [task, run] : worker.runs)
      free_at = std::max(free_at, run.started + run.expected);
    const std::tuple rank(id == query.avoided, free_at,
                          worker.Capacity(now).millicores);
    if (chosen && rank >= chosen_rank)
      continue;
    chosen = &worker;
    chosen_rank = rank;
  }
  return chosen;
}

}  // namespace mustardbank
