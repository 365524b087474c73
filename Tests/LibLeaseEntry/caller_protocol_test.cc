#include "platform/caller_protocol.h"

#include <CppUTest/TestHarness.h>

namespace mustardbank {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(CallerProtocol){};

// Guards against a refusal for lack of capacity that callers take for an
// outage.
TEST(CallerProtocol, refusals_for_lack_of_capacity_are_429) {
  for (const JobCause cause :
       {JobCause::kNoRoom, JobCause::kWaitedTooLong, JobCause::kOverShare})
    CHECK_EQUAL(429U, platform::EncodeResult(
                          {.outcome = JobOutcome::kRefused, .cause = cause})
                          .status);
}

}  // namespace mustardbank
