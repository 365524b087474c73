// Every refusal and failure that a caller can see, as problem documents
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
  bool is_final;  // the same request will never have another outcome
};

const ProblemKind& KindOf(Problem problem);

// A refusal, or the answer of a failed job.
Reply ProblemReply(Problem problem,
                   Ran ran,
                   std::string_view detail,
                   std::string_view job_id = {},
                   std::uint32_t retry_after_ms = 0);

}  // namespace mustardbank
