#include <CppUTest/TestHarness.h>

#include "LibSchedule/admission.h"
#include "test_jobs.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Admission) {
  Time now{std::chrono::seconds(100)};

  JobEstimate Estimate(const JobRequest& job, Duration run_time) {
    return EstimateJob(job, {run_time});
  }
};

TEST(Admission, objective_counts_from_the_arrival) {
  const JobRequest job = MakeJob("job", now);
  const JobEstimate estimate = Estimate(job, milliseconds(100));
  CHECK(estimate.objective == milliseconds(220));
  CHECK(estimate.latest_start == now + milliseconds(120));
}

TEST(Admission, chains_of_groups_add_up) {
  JobRequest job = MakeJob("job", now);
  job.groups.push_back(job.groups.front());
  job.groups.back().after = {0};
  const JobEstimate estimate =
      EstimateJob(job, {milliseconds(100), milliseconds(50)});
  CHECK(estimate.longest_chain == milliseconds(150));
}

TEST(Admission, free_workers_start_a_job_at_once) {
  const JobEstimate estimate = Estimate(MakeJob("job", now), milliseconds(100));
  CHECK(PredictEnd({.fits_now = true}, estimate, now) ==
        now + milliseconds(100));
}

TEST(Admission, work_ahead_delays_the_end) {
  const JobEstimate estimate = Estimate(MakeJob("job", now), milliseconds(100));
  const AdmissionLoad load{.capacity = 64'000,
                           .runs = {{milliseconds(100), 64'000}},
                           .queued_demand = 64'000,
                           .queued_work = 64'000.0 * 300};
  CHECK(PredictEnd(load, estimate, now) > now + milliseconds(300));
}

// A job need not wait until all of the long tasks that use all workers have
// ended.
TEST(Admission, job_waits_for_the_first_capacity_that_is_freed) {
  const JobEstimate estimate = Estimate(MakeJob("job", now), milliseconds(100));
  const AdmissionLoad load{
      .capacity = 640'000,
      .runs = {{milliseconds(900), 580'000}, {milliseconds(20), 30'000}}};
  CHECK(PredictEnd(load, estimate, now) == now + milliseconds(120));
}

TEST(Admission, job_never_ends_without_workers) {
  const JobEstimate estimate = Estimate(MakeJob("job", now), milliseconds(100));
  CHECK(PredictEnd({}, estimate, now) == Time::max());
}

TEST(Admission, longest_wait_for_an_owner_keeps_the_objective) {
  CHECK(LongestOwnerWait(MakeJob("job", now)) == milliseconds(120));
  CHECK(
      LongestOwnerWait(MakeJob("job", now, {.run_time = milliseconds(3000)})) ==
      milliseconds(400));
}

}  // namespace mustardbank
