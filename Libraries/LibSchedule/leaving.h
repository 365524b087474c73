// Decides whether an entry VM that is leaving still accepts a job. Callers use
// open connections until the process exits. A job that would run longer is
// therefore refused on arrival, rather than aborted at the exit.
#pragma once

#include "LibSchedule/job.h"

namespace mustardbank {

// Actual run times can be several times the declared ones.
inline constexpr int kDeclarationMargin = 3;

inline bool CanEndBefore(const JobRequest& job, Time exit, Time now) {
  return now + kDeclarationMargin * DeclaredRunTime(job) +
             job.policy.target_latency <=
         exit;
}

}  // namespace mustardbank
