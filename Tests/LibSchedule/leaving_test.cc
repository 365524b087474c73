#include <CppUTest/TestHarness.h>

#include "LibSchedule/leaving.h"
#include "test_jobs.h"

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Leaving) {
  Time now{std::chrono::seconds(100)};
};

TEST(Leaving, short_job_is_accepted_until_shortly_before_the_exit) {
  const JobRequest job = MakeJob("job", now, {.run_time = milliseconds(50)});
  CHECK(CanEndBefore(job, now + milliseconds(300), now));
  CHECK(!CanEndBefore(job, now + milliseconds(100), now));
}

TEST(Leaving, job_that_would_outlive_the_process_is_refused) {
  const JobRequest job = MakeJob("job", now, {.run_time = milliseconds(900)});
  CHECK(!CanEndBefore(job, now + milliseconds(1500), now));
  CHECK(CanEndBefore(job, Time::max(), now));
}

}  // namespace mustardbank
