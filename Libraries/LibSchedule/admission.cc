#include "LibSchedule/admission.h"

#include <algorithm>
#include <cmath>

namespace mustardbank {

namespace {

// After a restart of all VMs, workers are usable again within 200 ms; a claim
// takes 100 ms.
constexpr Duration kLongestOwnerWait = std::chrono::milliseconds(400);
// Standard deviation of the logarithms of run times within a job.
constexpr double kSpreadWithinJob = 0.15;
constexpr Duration kMostChain = std::chrono::hours(24 * 365);

// The expected longest of `count` lognormal run times, relative to their
// median: the largest of n standard normal values is near sqrt(2 ln n).
double LongestRunFactor(std::uint32_t count) {
  return count < 2 ? 1
                   : std::exp(kSpreadWithinJob *
                              std::sqrt(2 * std::log(double{1} * count)));
}

}  // namespace

JobEstimate EstimateJob(const JobRequest& job,
                        const std::vector<Duration>& run_times) {
  JobEstimate estimate;
  std::vector<Duration> chains;
  for (std::size_t i = 0; i < job.groups.size(); ++i) {
    const TaskGroup& group = job.groups[i];
    const double run_ms = ToMilliseconds(run_times[i]);
    estimate.work += static_cast<double>(group.each.millicores) * run_ms *
                     static_cast<double>(group.count);
    estimate.peak_demand = std::max(estimate.peak_demand,
                                    static_cast<double>(group.each.millicores) *
                                        static_cast<double>(group.count));
    Duration before{};
    for (const std::uint32_t earlier : group.after)
      before = std::max(before, chains[earlier]);
    // Bounded, since the sum of a hundred thousand groups could overflow.
    chains.push_back(std::min(
        kMostChain,
        before + FromMilliseconds(run_ms * LongestRunFactor(group.count))));
    estimate.longest_chain = std::max(estimate.longest_chain, chains.back());
  }
  estimate.objective = FromMilliseconds(
      job.policy.stretch * ToMilliseconds(estimate.longest_chain) +
      ToMilliseconds(job.policy.target_latency));
  const Time first_try = job.arrived - job.age;
  estimate.latest_start =
      first_try + estimate.objective - estimate.longest_chain;
  estimate.latest_useful_start = first_try +
                                 kUsefulObjectives * estimate.objective -
                                 estimate.longest_chain;
  return estimate;
}

Duration LongestRun(Duration run_time, std::uint32_t count) {
  return FromMilliseconds(ToMilliseconds(run_time) * LongestRunFactor(count));
}

std::vector<Duration> ChainsAfter(const JobRequest& job,
                                  const std::vector<Duration>& run_times) {
  std::vector<Duration> after(job.groups.size());
  for (std::size_t i = job.groups.size(); i-- > 0;) {
    const Duration chain =
        after[i] + LongestRun(run_times[i], job.groups[i].count);
    for (const std::uint32_t earlier : job.groups[i].after)
      after[earlier] = std::max(after[earlier], chain);
  }
  return after;
}

Duration LongestOwnerWait(const JobRequest& job) {
  const Duration slack = job.policy.target_latency +
                         FromMilliseconds((job.policy.stretch - 1) *
                                          ToMilliseconds(DeclaredRunTime(job)));
  return std::clamp(slack, Duration{}, kLongestOwnerWait);
}

Time PredictEnd(AdmissionLoad load, const JobEstimate& estimate, Time now) {
  if (load.fits_now)
    return now + estimate.longest_chain;
  if (load.capacity <= 0)
    return Time::max();
  const double usable = load.capacity * kPackedShare;
  const double needed =
      std::min(load.queued_demand + estimate.peak_demand, usable);
  std::sort(load.runs.begin(), load.runs.end(),
            [](const FreedCapacity& a, const FreedCapacity& b) {
              return a.after < b.after;
            });
  double available = load.free * kPackedShare;
  Duration wait{};
  for (const FreedCapacity& run : load.runs) {
    if (available >= needed)
      break;
    available += run.millicores;
    wait = run.after;
  }
  const Duration work_ahead =
      FromMilliseconds((load.queued_work + estimate.work) / usable);
  return now + std::max(wait + estimate.longest_chain, work_ahead);
}

}  // namespace mustardbank
