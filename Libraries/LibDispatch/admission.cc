#include "LibDispatch/admission.h"

#include <algorithm>

namespace mustardbank {

namespace {

constexpr double kMinToleranceMs = 20;
constexpr std::uint32_t kMinRetryMs = 100;
constexpr std::uint32_t kFullRetryMs = 1'000;

bool HasWorkerThatFits(const DispatchState& state,
                       const ServiceConfiguration& service,
                       bool& any_worker) {
  any_worker = false;
  for (WorkerIndex i = 0; i < state.workers.size(); ++i) {
    const Worker& worker = state.workers[i];
    const bool is_place =
        std::ranges::find(service.places, worker.vm.data_center) !=
        service.places.end();
    if (!is_place || worker.vm.state == VmState::kGone)
      continue;
    any_worker = true;
    const bool fits = worker.vm.cores >= service.cores &&
                      worker.vm.memory_gb >= service.memory_gb &&
                      (!service.accelerator || worker.vm.accelerators > 0);
    if (fits)
      return true;
  }
  return false;
}

std::uint32_t RetryAfter(double wait_ms, double tolerance_ms) {
  return std::max(kMinRetryMs,
                  static_cast<std::uint32_t>(wait_ms - tolerance_ms));
}

}  // namespace

std::optional<Refusal> CheckJob(const DispatchState& state,
                                const std::string& team,
                                const wire::JobSpec& job) {
  const auto found = state.configuration.services.find(job.service());
  if (found == state.configuration.services.end()) {
    return Refusal{.problem = Problem::kUnknownService,
                   .detail = "No service " + job.service() + "."};
  }
  const ServiceConfiguration& service = found->second;
  if (std::ranges::find(service.teams, team) == service.teams.end()) {
    return Refusal{
        .problem = Problem::kForbiddenService,
        .detail = "Team " + team + " may not use " + service.name + "."};
  }
  if (job.tasks_size() == 0 ||
      job.tasks_size() > static_cast<int>(kMaxTasksPerJob)) {
    return Refusal{.problem = Problem::kMalformedJob,
                   .detail = "A job has 1 to " +
                             std::to_string(kMaxTasksPerJob) + " tasks."};
  }
  for (const wire::TaskSpec& task : job.tasks()) {
    if (!service.requests.contains(task.request())) {
      return Refusal{.problem = Problem::kUnknownRequest,
                     .detail = "Service " + service.name + " has no request " +
                               task.request() + "."};
    }
  }
  return std::nullopt;
}

std::optional<Refusal> CheckDelay(const DispatchState& state,
                                  const ServiceConfiguration& service,
                                  std::uint32_t placement_class,
                                  TeamIndex team_index,
                                  std::size_t tasks,
                                  Duration longest,
                                  Time now) {
  const PlacementClass& entry = state.classes[placement_class];
  const std::uint32_t allotted = state.workers.AllottedInPools(entry.mask);
  const std::uint32_t borrowable = state.BorrowableSlots(entry.mask, now);
  if (allotted + borrowable == 0) {
    bool any_worker = false;
    if (!HasWorkerThatFits(state, service, any_worker) && any_worker) {
      return Refusal{.problem = Problem::kCanNeverRun,
                     .detail =
                         "No worker in the data centres of the service has "
                         "the cores, memory and accelerators it needs."};
    }
    return Refusal{.problem = Problem::kNoBackendServer,
                   .detail = "No backend server is reachable at present.",
                   .retry_after_ms = kFullRetryMs};
  }
  if (state.queued_tasks + tasks > state.options.limits.queued_tasks ||
      state.jobs.size() >= state.options.limits.jobs) {
    return Refusal{.detail = "Too many jobs are queued on this entry VM.",
                   .retry_after_ms = kFullRetryMs};
  }
  const double tolerance_ms = std::min<double>(
      service.delay_tolerance_ms,
      std::max(kMinToleranceMs, ToMilliseconds(longest) *
                                    service.delay_tolerance_permille / 1000));
  const double slots = allotted + borrowable;
  const double wait_ms = ToMilliseconds(entry.queue.work()) / slots;
  if (wait_ms > tolerance_ms) {
    return Refusal{.detail = "The delay tolerance of service " + service.name +
                             " can't be met.",
                   .retry_after_ms = RetryAfter(wait_ms, tolerance_ms)};
  }
  const Team& team = state.teams[team_index];
  const double team_wait_ms = team.queued *
                              ToMilliseconds(state.run_times.mean()) /
                              std::max(1U, team.share);
  if (team.queued > 0 && team_wait_ms > tolerance_ms) {
    return Refusal{
        .detail = "The quota of team " + team.name + " is fully used.",
        .retry_after_ms = RetryAfter(team_wait_ms, tolerance_ms)};
  }
  return std::nullopt;
}

}  // namespace mustardbank
