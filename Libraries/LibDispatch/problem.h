// All refusals and failures that a caller can receive, as problem documents
// (RFC 9457).
#pragma once

#include <string>
#include <string_view>

#include "LibDispatch/events.h"

namespace mustardbank {

enum class Problem {
  kUnauthorized,
  kForbiddenService,
  kMalformedJob,
  kMissingId,
  kUnknownService,
  kUnknownRequest,
  kUnknownJobId,
  kReusedId,
  kCanNeverRun,
  kNoBackendServer,
  kOverloaded,
  kNotReady,
  kLeaving,
  kPlatformOut,
  kIssuerLeft,
  kKeyReleased,
  kNeverSubmitted,
  kAnswerExpired,
  kHomeUnreachable,
  kHomeGone,
  kTaskFailed,
  kTaskUnknown,
  kGivenUp,
  kCancelled,
};

struct ProblemKind {
  std::string_view name;
  unsigned status;
  std::string_view title;
  bool is_final;  // a retry can't have another outcome
};

const ProblemKind& KindOf(Problem problem);

// Builds the reply to a refused request or for a failed job.
Reply ProblemReply(Problem problem,
                   Ran ran,
                   std::string_view detail,
                   std::string_view job_id = {},
                   std::uint32_t retry_after_ms = 0);

}  // namespace mustardbank
