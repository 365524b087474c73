#include "LibDispatch/problem.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr std::array<ProblemKind, 24> kKinds{{
    {"unauthorized", 401, "The token belongs to no team", true},
    {"forbidden-service", 403, "The team may not use this service", true},
    {"malformed-job", 400, "The job is malformed", true},
    {"missing-id", 400, "A job id or an idempotency key is needed", true},
    {"unknown-service", 404, "The service is not configured", true},
    {"unknown-request", 422, "The service has no such request", true},
    {"unknown-job-id", 404, "The job id is not one of this team's", true},
    {"reused-id", 422, "The id or key belongs to another job", true},
    {"can-never-run", 422, "The job can never run", true},
    {"no-backend-server", 503, "No backend server is known", false},
    {"overloaded", 503, "The delay tolerance can't be met", false},
    {"not-ready", 503, "This VM has no configuration yet", false},
    {"leaving", 503, "This VM is leaving", false},
    {"platform-out", 503, "The platform does not answer", false},
    {"issuer-left", 410, "The VM that issued the id has left", true},
    {"key-released", 503, "The key is free to be used again", false},
    {"never-submitted", 404, "No job was submitted under this id", false},
    {"answer-expired", 410, "The answer is no longer kept", true},
    {"home-unreachable", 503, "The home of the job does not answer", false},
    {"home-gone", 502, "The home of the job was lost", true},
    {"task-failed", 502, "A task failed", true},
    {"task-unknown", 502, "The outcome of a task is unknown", true},
    {"given-up", 504, "The job missed its delay tolerance", true},
    {"cancelled", 409, "The job was cancelled", true},
}};

}  // namespace

const ProblemKind& KindOf(Problem problem) {
  return kKinds[static_cast<std::size_t>(problem)];
}

Reply ProblemReply(Problem problem,
                   ExecutionState ran,
                   std::string_view detail,
                   std::string_view job_id,
                   std::uint32_t retry_after_ms) {
  const ProblemKind& kind = KindOf(problem);
  json::object document{
      {"type", "urn:mustardbank:problem:" + std::string(kind.name)},
      {"title", kind.title},
      {"status", kind.status},
      {"detail", detail},
      {"ran", kExecutionStateNames[ran]},
      {"final", kind.is_final},
  };
  if (!job_id.empty()) {
    document["job"] = job_id;
    document["state"] = kind.is_final ? "failed" : "unknown";
  }
  if (retry_after_ms > 0)
    document["retry_after_ms"] = retry_after_ms;
  return Reply{.status = kind.status,
               .body = json::serialize(document),
               .retry_after_ms = retry_after_ms};
}

}  // namespace mustardbank
