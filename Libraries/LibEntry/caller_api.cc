#include "LibEntry/caller_api.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <charconv>

#include "LibCore/digest.h"
#include "LibDispatch/problem.h"

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::string_view kIdsPath = "/v1/job-ids";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr double kMaxWaitSeconds = 300;
constexpr std::size_t kMaxKeyBytes = 256;

// The body of a submission is not a valid job.
struct JobParseError {
  std::string reason;
};

leaf::error_id MakeParseError(std::string reason) {
  return leaf::new_error(JobParseError{std::move(reason)});
}

leaf::result<void> ReadTask(const json::value& value, wire::TaskSpec& task) {
  const json::object* object = value.if_object();
  if (!object)
    return MakeParseError("Each task must be an object.");
  for (const auto& [key, member] : *object) {
    if (key == "request" && member.is_string()) {
      task.set_request(std::string(member.get_string()));
    } else if (key == "payload") {
      task.set_payload(json::serialize(member));
    } else if (key == "declared_ms" && member.is_int64() &&
               member.get_int64() >= 0 && member.get_int64() <= 3'600'000) {
      task.set_declared_ms(static_cast<std::uint32_t>(member.get_int64()));
    } else {
      return MakeParseError("Unknown member, or invalid value, in a task: " +
                            std::string(key) + ".");
    }
  }
  if (task.request().empty())
    return MakeParseError("Each task must name its request.");
  return {};
}

leaf::result<wire::JobSpec> ReadJob(const std::string& body) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (error)
    return MakeParseError("The body is not valid JSON: " + error.message() +
                          ".");
  const json::object* object = value.if_object();
  const json::value* service =
      object ? object->if_contains("service") : nullptr;
  const json::value* tasks = object ? object->if_contains("tasks") : nullptr;
  if (!service || !service->is_string() || !tasks || !tasks->is_array() ||
      object->size() != 2) {
    return MakeParseError(
        "The body must be an object with the members service and tasks only.");
  }
  if (tasks->get_array().size() > kMaxTasksPerJob)
    return MakeParseError("A job must have 1 to " +
                          std::to_string(kMaxTasksPerJob) + " tasks.");
  wire::JobSpec job;
  job.set_service(std::string(service->get_string()));
  job.set_digest(FastDigest(body));
  for (const json::value& task : tasks->get_array())
    BOOST_LEAF_CHECK(ReadTask(task, *job.add_tasks()));
  return job;
}

Duration RequestedWait(const HttpRequest& request) {
  const std::string text(request.query("wait"));
  const double seconds = std::strtod(text.c_str(), nullptr);
  return FromMilliseconds(1000 * std::clamp(seconds, 0.0, kMaxWaitSeconds));
}

Reply Submit(TrafficThread& traffic,
             const HttpRequest& request,
             std::string job_id) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Reply> {
        BOOST_LEAF_AUTO(job, ReadJob(request.body));
        std::string key(request.header("Idempotency-Key"));
        if (key.size() > kMaxKeyBytes)
          return MakeParseError(
              "An idempotency key must have at most 256 characters.");
        if (!key.empty() && !job_id.empty())
          return MakeParseError(
              "Send a job id or an idempotency key, not both.");
        return traffic.Ask([&](Requester from) -> Event {
          return SubmitJob{.from = from,
                           .token_sha256 = BearerTokenDigest(request),
                           .job_id = std::move(job_id),
                           .key = std::move(key),
                           .job = std::move(job),
                           .wait = RequestedWait(request)};
        });
      },
      [](const JobParseError& parse_error) {
        return ProblemReply(Problem::kMalformedJob, Ran::kNotRun,
                            parse_error.reason);
      },
      [] {
        return ProblemReply(Problem::kMalformedJob, Ran::kNotRun,
                            "The job could not be parsed.");
      });
}

Reply IssueJobIds(TrafficThread& traffic, const HttpRequest& request) {
  std::uint32_t count = 1;
  if (!request.body.empty()) {
    json::error_code error;
    const json::value value = json::parse(request.body, error);
    const json::value* wanted = !error && value.is_object()
                                    ? value.get_object().if_contains("count")
                                    : nullptr;
    if (!wanted || !wanted->is_int64() || wanted->get_int64() < 1 ||
        wanted->get_int64() > 10'000) {
      return ProblemReply(
          Problem::kMalformedJob, Ran::kNotRun,
          "The body must be {\"count\": N} with N from 1 to 10000.");
    }
    count = static_cast<std::uint32_t>(wanted->get_int64());
  }
  return traffic.Ask([&](Requester from) -> Event {
    return IssueIds{.from = from,
                    .token_sha256 = BearerTokenDigest(request),
                    .count = count};
  });
}

HttpResponse MethodNotAllowed(std::string_view allowed) {
  HttpResponse response =
      ProblemResponse(405, "Method not allowed", "The request did not run.");
  response.headers.emplace_back("Allow", allowed);
  return response;
}

}  // namespace

std::string BearerTokenDigest(const HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view header = request.header("Authorization");
  if (!header.starts_with(kScheme))
    return "";
  header.remove_prefix(kScheme.size());
  return Sha256Hex(header);
}

HttpResponse ToResponse(Reply&& reply) {
  HttpResponse response;
  response.status = reply.status;
  response.body = std::move(reply.body);
  if (reply.status >= 400)
    response.content_type = kProblemType;
  if (reply.retry_after_ms > 0) {
    // Retry-After is in whole seconds (RFC 9110, section 10.2.3); the body
    // gives the delay in milliseconds.
    response.headers.emplace_back(
        "Retry-After", std::to_string((reply.retry_after_ms + 999) / 1000));
  }
  if (reply.status == 401)
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
  return response;
}

HttpResponse ServeCaller(TrafficThread& traffic, HttpRequest&& request) {
  const std::string path(request.path());
  if (path == kIdsPath) {
    return request.method == "POST" ? ToResponse(IssueJobIds(traffic, request))
                                    : MethodNotAllowed("POST");
  }
  if (path == kJobsPath) {
    return request.method == "POST" ? ToResponse(Submit(traffic, request, ""))
                                    : MethodNotAllowed("POST");
  }
  const std::string prefix = std::string(kJobsPath) + "/";
  if (!path.starts_with(prefix) || path.size() == prefix.size()) {
    return ProblemResponse(404, "No such resource", "The request did not run.");
  }
  std::string job_id = path.substr(prefix.size());
  if (request.method == "POST")
    return ToResponse(Submit(traffic, request, std::move(job_id)));
  if (request.method == "GET") {
    return ToResponse(traffic.Ask([&](Requester from) -> Event {
      return QueryJob{.from = from,
                      .token_sha256 = BearerTokenDigest(request),
                      .job_id = std::move(job_id),
                      .wait = RequestedWait(request)};
    }));
  }
  if (request.method == "DELETE") {
    return ToResponse(traffic.Ask([&](Requester from) -> Event {
      return CancelJob{.from = from,
                       .token_sha256 = BearerTokenDigest(request),
                       .job_id = std::move(job_id)};
    }));
  }
  return MethodNotAllowed("GET, POST, DELETE");
}

}  // namespace mustardbank
