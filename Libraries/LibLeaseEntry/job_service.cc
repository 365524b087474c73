#include "LibLeaseEntry/job_service.h"

#include <algorithm>

#include "LibFiber/fiber_thread.h"
#include "LibLeaseEntry/peer_codec.h"
#include "LibSchedule/admission.h"
#include "LibSchedule/leaving.h"
#include "platform/caller_protocol.h"

namespace mustardbank {

namespace {

constexpr std::string_view kPeerJobs = "/v1/leased-jobs";
// If an owner refuses a job, the home tries the next one. Each try costs the
// caller a round trip.
constexpr int kMaxOwnersTried = 3;
// An owner that can't tell how old a request is returns its clock, and the home
// sends the request again with it.
constexpr int kMaxSendsToOwner = 2;
// The owner ends the job at its deadline; the answer then has to reach the
// home.
constexpr Duration kPeerAnswerSlack = std::chrono::milliseconds(60);
// Within this time of its start, a process has read the configuration and found
// owners.
constexpr Duration kStartupPeriod = std::chrono::seconds(3);
constexpr Duration kConfigurationTimeout = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::milliseconds kCancelTimeout{300};
constexpr Duration kUnreadyRetryAfter = std::chrono::seconds(1);

std::string LocalJobKey(const std::string& home, const std::string& job) {
  return home + '/' + job;
}

std::int64_t LargestGroupMillicores(const JobRequest& job) {
  std::int64_t millicores = 0;
  for (const TaskGroup& group : job.groups)
    millicores = std::max(millicores, group.each.millicores * group.count);
  return millicores;
}

// Removes the entry of a map at the end of the scope, also after an exception,
// unless another value has replaced it meanwhile.
template <typename Value>
class ScopedEntry {
 public:
  ScopedEntry(std::map<std::string, Value*>& map,
              const std::string& key,
              Value& value)
      : map_(map), key_(key), value_(&value) {
    map_[key_] = value_;
  }
  ScopedEntry(const ScopedEntry&) = delete;
  ScopedEntry& operator=(const ScopedEntry&) = delete;
  ~ScopedEntry() {
    if (const auto it = map_.find(key_);
        it != map_.end() && it->second == value_)
      map_.erase(it);
  }

 private:
  std::map<std::string, Value*>& map_;
  const std::string key_;
  Value* const value_;
};

JobResult Refusal(JobCause cause) {
  return {.outcome = JobOutcome::kRefused,
          .cause = cause,
          .retry_after = kUnreadyRetryAfter};
}

}  // namespace

HttpResponse JobService::ServeCaller(HttpRequest&& request,
                                     CallerWatch& caller) {
  ++counters_.requests;
  AwaitConfiguration(BootClock::now());
  const Time now = BootClock::now();
  const LeaseConfiguration& configuration = control_.configuration();
  if (configuration.version == 0)
    return Answer("", Refusal(JobCause::kNoConfiguration), now, now);
  const std::string path(request.path());
  const QueueRoute* route = configuration.Find(request.header("Host"), path);
  if (!route) {
    control_.log()
        .Write(LogEvent::kAnswered, now)
        .Add(LogField::kReason, path)
        .Add(LogField::kCause, kJobCauseNames[JobCause::kNoQueue])
        .Add(LogField::kVersion, configuration.version)
        .Add(LogField::kStatus, 404);
    ++counters_.answers[404];
    return platform::EncodeNoSuchQueue();
  }
  const std::string id = path.substr(route->path_prefix.size());
  if (id.empty() && request.method == "GET")
    return ServeQueueQuery(*route);
  if (!platform::IsJobId(id)) {
    ++counters_.malformed;
    return platform::EncodeMalformed("a job's id has 16 hexadecimal digits");
  }
  if (request.method == "POST")
    return ServeJob(*route, id, request, caller);
  if (request.method == "DELETE")
    return ServeCancel(id);
  if (request.method == "GET") {
    return home_jobs_.contains(id) || control_.dispatcher().HasJob(id)
               ? platform::EncodeRunning()
               : platform::EncodeNoSuchJob();
  }
  HttpResponse response = platform::EncodeMalformed("use GET, POST or DELETE");
  response.status = 405;
  response.headers.emplace_back("Allow", "GET, POST, DELETE");
  return response;
}

HttpResponse JobService::ServeQueueQuery(const QueueRoute& route) const {
  // Only stored jobs are counted, and storing jobs is not supported.
  static_cast<void>(route);
  return platform::EncodeWaiting(0);
}

HttpResponse JobService::ServeJob(const QueueRoute& route,
                                  const std::string& id,
                                  const HttpRequest& request,
                                  CallerWatch& caller) {
  const Time now = BootClock::now();
  auto submitted = platform::DecodeJob(request.body);
  if (!submitted) {
    control_.log()
        .Write(LogEvent::kRequestMalformed, now)
        .Add(LogField::kJob, id)
        .Add(LogField::kReason, submitted.error().reason);
    if (!submitted.error().is_malformed)
      return Answer(id, Refusal(JobCause::kUnsupported), now, now);
    ++counters_.malformed;
    return platform::EncodeMalformed(submitted.error().reason);
  }
  if (route.needs_advice)
    return Answer(id, Refusal(JobCause::kUnsupported), now, now);
  const Duration caller_timeout =
      platform::CallerTimeout(request).value_or(route.policy.timeout);
  JobRequest job{.id = id,
                 .payload = std::move(submitted->payload),
                 .groups = std::move(submitted->groups),
                 .policy = route.policy,
                 .arrived = now,
                 .deadline = now + caller_timeout,
                 .home = control_.self().name};
  control_.log()
      .Write(LogEvent::kJobReceived, now)
      .Add(LogField::kJob, id)
      .Add(LogField::kQueue, route.policy.name)
      .Add(LogField::kVersion, control_.configuration().version)
      .Add(LogField::kSize, LargestGroupMillicores(job))
      .Add(LogField::kLeftMs, caller_timeout);
  if (!CanEndBefore(job, exit_, now))
    return Answer(id, Refusal(JobCause::kLeaving), now, now);
  HomeJob home{.queue = route.policy.name};
  // If an earlier request for the same job is still being served, its caller
  // has abandoned it.
  if (const auto it = home_jobs_.find(id); it != home_jobs_.end())
    CancelHomeJob(id, *it->second);
  const ScopedEntry<HomeJob> entry(home_jobs_, id, home);
  caller.OnDisconnect([this, id, &home] { CancelHomeJob(id, home); });
  const JobResult result = RunJob(job, home);
  return Answer(id, result, now, BootClock::now());
}

void JobService::AwaitConfiguration(Time arrived) {
  while (control_.configuration().version == 0 &&
         arrived - started_ < kStartupPeriod &&
         BootClock::now() - arrived < kConfigurationTimeout)
    SleepFiber(kPollInterval);
}

bool JobService::MayFindOwnerSoon(Time now) const {
  if (control_.IsAllEvacuated())
    return false;
  // Evacuated workers report no capacity either, but for longer.
  const bool is_contacting_workers =
      control_.OwnsUsableShard() &&
      control_.dispatcher().Load(now).capacity_millicores == 0;
  return now - started_ < kStartupPeriod || is_contacting_workers ||
         control_.ownership().IsClaiming();
}

void JobService::AwaitOwner(const JobRequest& job, const HomeJob& home) {
  const Time latest = job.arrived + LongestOwnerWait(job);
  while (!home.is_cancelled) {
    const Time now = BootClock::now();
    if (now >= latest || !MayFindOwnerSoon(now) ||
        !control_.Owners(now).empty())
      return;
    SleepFiber(kPollInterval);
  }
}

JobResult JobService::RunJob(const JobRequest& job, HomeJob& home) {
  const std::int64_t size = LargestGroupMillicores(job);
  std::set<std::string> tried;
  JobResult result = Refusal(JobCause::kNoOwner);
  AwaitOwner(job, home);
  if (control_.IsAllEvacuated())
    return Refusal(JobCause::kEvacuated);
  if (home.is_cancelled)
    return Refusal(JobCause::kCancelled);
  for (int i = 0; i < kMaxOwnersTried && !home.is_cancelled; ++i) {
    const Time now = BootClock::now();
    const std::string owner =
        control_.router().Choose(control_.Owners(now), size, tried);
    if (owner.empty())
      break;
    tried.insert(owner);
    control_.router().DidSend(owner, size);
    home.owner = owner;
    control_.log()
        .Write(LogEvent::kJobForwarded, now)
        .Add(LogField::kJob, job.id)
        .Add(LogField::kPeer, owner)
        .Add(LogField::kCount, i + 1)
        .Add(LogField::kElapsedMs, now - job.arrived);
    result = owner == control_.self().name ? RunLocally(job)
                                           : RunOnPeer(owner, job, home);
    if (result.outcome != JobOutcome::kRefused ||
        result.cause == JobCause::kWaitedTooLong ||
        result.cause == JobCause::kDeadline)
      break;
  }
  return result;
}

JobResult JobService::RunLocally(JobRequest job) {
  const std::string key = LocalJobKey(job.home, job.id);
  LocalJob pending;
  if (const auto it = local_jobs_.find(key); it != local_jobs_.end()) {
    it->second->result = {.outcome = JobOutcome::kGivenUp,
                          .cause = JobCause::kCancelled};
    it->second->ended.Raise();
  }
  const ScopedEntry<LocalJob> entry(local_jobs_, key, pending);
  const Time now = BootClock::now();
  control_.Submit(std::move(job), now);
  control_.Pump(now);
  pending.ended.Wait();
  return pending.result;
}

void JobService::DidFinish(FinishJob&& finish) {
  const auto it = local_jobs_.find(LocalJobKey(finish.home, finish.job));
  if (it == local_jobs_.end())
    return;
  LocalJob& pending = *it->second;
  local_jobs_.erase(it);
  pending.result = finish.result;
  pending.ended.Raise();
}

JobResult JobService::RunOnPeer(const std::string& owner,
                                const JobRequest& job,
                                HomeJob& home) {
  JobResult result = Refusal(JobCause::kCancelled);
  for (int i = 0; i < kMaxSendsToOwner && !home.is_cancelled; ++i) {
    result = SendToPeer(owner, job, home);
    if (result.cause != JobCause::kStaleRequest)
      break;
  }
  return result;
}

JobResult JobService::SendToPeer(const std::string& owner,
                                 const JobRequest& job,
                                 HomeJob& home) {
  const auto peer = control_.ownership().peers().find(owner);
  if (peer == control_.ownership().peers().end())
    return Refusal(JobCause::kNoOwner);
  const Endpoint endpoint = peer->second.record.endpoint;
  HttpResult<std::unique_ptr<HttpConnection>> connection =
      peers_.Acquire(endpoint);
  if (!connection)
    return Refusal(JobCause::kNoOwner);
  if (home.is_cancelled)
    return Refusal(JobCause::kCancelled);
  ++counters_.forwards;
  const Time now = BootClock::now();
  const Duration timeout = job.deadline - now + kPeerAnswerSlack;
  home.connection = connection->get();
  home.sent = now;
  const HttpResult<HttpResponse> response =
      (*connection)
          ->Exchange(
              HttpRequest{
                  .method = "POST",
                  .target = std::string(kPeerJobs),
                  .headers = {{"Content-Type", std::string(kJsonType)}},
                  .body = EncodeJobRequest(
                      {job, control_.ownership().NewestStampOf(owner)}, now)},
              std::chrono::ceil<std::chrono::milliseconds>(timeout));
  home.connection = nullptr;
  if (response) {
    peers_.Release(endpoint, std::move(*connection));
    if (const auto answer = DecodeJobAnswer(response->body)) {
      if (answer->stamp)
        control_.ownership().DidReceiveStamp(owner, *answer->stamp);
      if (answer->load) {
        control_.ownership().DidReceiveLoad(owner, *answer->load);
        control_.router().DidReport(owner);
      }
      return answer->result;
    }
    return {.outcome = JobOutcome::kGivenUp, .cause = JobCause::kOwnerSilent};
  }
  peers_.Forget(endpoint);
  if (response.error().failure == HttpFailure::kNotSent)
    return Refusal(JobCause::kNoOwner);
  const bool has_timed_out = response.error().failure == HttpFailure::kTimedOut;
  return {.outcome = JobOutcome::kGivenUp,
          .cause = home.is_cancelled ? JobCause::kCancelled
                   : has_timed_out   ? JobCause::kDeadline
                                     : JobCause::kOwnerSilent};
}

void JobService::CancelHomeJob(const std::string& id, HomeJob& home) {
  if (home.is_cancelled)
    return;
  home.is_cancelled = true;
  const Time now = BootClock::now();
  control_.log()
      .Write(LogEvent::kJobCancelled, now)
      .Add(LogField::kJob, id)
      .Add(LogField::kPeer, home.owner);
  if (home.connection) {
    // The owner stops the job when its connection closes.
    home.connection->Close();
  } else if (home.owner == control_.self().name) {
    control_.dispatcher().Cancel(id, JobCause::kCancelled, now);
    control_.Pump(now);
  }
}

HttpResponse JobService::ServeCancel(const std::string& id) {
  bool was_known = false;
  if (const auto it = home_jobs_.find(id); it != home_jobs_.end()) {
    CancelHomeJob(id, *it->second);
    was_known = true;
  } else {
    was_known = CancelAtOwners(id);
  }
  return was_known ? platform::EncodeCancelled() : platform::EncodeNoSuchJob();
}

bool JobService::CancelAtOwners(const std::string& id) {
  const Time now = BootClock::now();
  bool was_known = control_.dispatcher().HasJob(id);
  if (was_known) {
    control_.dispatcher().Cancel(id, JobCause::kCancelled, now);
    control_.Pump(now);
  }
  // Also owners that take no jobs now, as during an evacuation: their tasks may
  // still run.
  std::vector<Endpoint> owners;
  for (const auto& [name, peer] : control_.ownership().peers()) {
    if (control_.ownership().IsReachable(peer, now) &&
        !peer.last_heartbeat.shards.empty())
      owners.push_back(peer.record.endpoint);
  }
  for (const Endpoint owner : owners) {
    const HttpResult<HttpResponse> response = peers_.Exchange(
        owner,
        HttpRequest{.method = "DELETE",
                    .target = std::string(kPeerJobs) + '/' + id},
        kCancelTimeout);
    was_known = was_known || (response && response->status == 200);
  }
  return was_known;
}

HttpResponse JobService::ServePeer(HttpRequest&& request, CallerWatch& caller) {
  const Time now = BootClock::now();
  const std::string prefix = std::string(kPeerJobs) + '/';
  if (request.method == "DELETE" && request.target.starts_with(prefix)) {
    const std::string id = request.target.substr(prefix.size());
    if (!control_.dispatcher().HasJob(id))
      return HttpResponse{.status = 404};
    control_.dispatcher().Cancel(id, JobCause::kCancelled, now);
    control_.Pump(now);
    return HttpResponse{};
  }
  auto forwarded = request.method == "POST" && request.target == kPeerJobs
                       ? DecodeJobRequest(request.body, now)
                       : std::nullopt;
  if (!forwarded) {
    control_.log()
        .Write(LogEvent::kRequestMalformed, now)
        .Add(LogField::kReason, "malformed job from a peer");
    return ProblemResponse(400, "Malformed job", "The job did not run.");
  }
  // The home has given up the job, and the caller may have sent it to another
  // VM.
  if (caller.is_disconnected())
    return AnswerPeer({.result = Refusal(JobCause::kCancelled)}, now);
  JobRequest& job = forwarded->job;
  if (!control_.MayStartRequest(forwarded->echo, now)) {
    ++counters_.stale_requests;
    control_.log()
        .Write(LogEvent::kRequestStale, now)
        .Add(LogField::kJob, job.id)
        .Add(LogField::kHome, job.home)
        .Add(LogField::kAgeMs, now - forwarded->echo->at);
    return AnswerPeer({.result = Refusal(JobCause::kStaleRequest)}, now);
  }
  if (!CanEndBefore(job, exit_, now))
    return AnswerPeer({.result = Refusal(JobCause::kLeaving)}, now);
  caller.OnDisconnect([this, id = job.id, home = job.home] {
    if (!local_jobs_.contains(LocalJobKey(home, id)))
      return;
    const Time disconnected_at = BootClock::now();
    control_.dispatcher().Cancel(id, JobCause::kCancelled, disconnected_at);
    control_.Pump(disconnected_at);
  });
  const JobResult result = RunLocally(std::move(job));
  const Time ended = BootClock::now();
  return AnswerPeer(
      {.result = result, .load = control_.dispatcher().Load(ended)}, ended);
}

HttpResponse JobService::AnswerPeer(JobAnswer answer, Time now) const {
  answer.stamp = control_.ownership().MakeStamp(now);
  return {.body = EncodeJobAnswer(answer)};
}

void JobService::Tick(Time now) {
  for (const auto& [id, home] : home_jobs_) {
    if (!home->connection || home->is_cancelled)
      continue;
    const auto peer = control_.ownership().peers().find(home->owner);
    // The owner sends heartbeats at short intervals once it has the job.
    const bool is_unreachable =
        peer == control_.ownership().peers().end() ||
        now - std::max(home->sent, peer->second.last_heartbeat_at) >
            control_.ownership_timing().owner_timeout;
    if (is_unreachable) {
      home->connection->Close();
      home->connection = nullptr;
    }
  }
}

bool JobService::HasJobAt(const std::string& peer) const {
  return std::any_of(
      home_jobs_.begin(), home_jobs_.end(),
      [&](const auto& job) { return job.second->owner == peer; });
}

HttpResponse JobService::Answer(const std::string& id,
                                const JobResult& result,
                                Time arrived,
                                Time now) {
  HttpResponse response = platform::EncodeResult(result);
  ++counters_.answers[response.status];
  counters_.request_time.Observe(now - arrived);
  control_.log()
      .Write(LogEvent::kAnswered, now)
      .Add(LogField::kJob, id)
      .Add(LogField::kStatus, response.status)
      .Add(LogField::kOutcome, kJobOutcomeNames[result.outcome])
      .Add(LogField::kCause, kJobCauseNames[result.cause])
      .Add(LogField::kElapsedMs, now - arrived)
      .Add(LogField::kRetryAfterMs, result.retry_after);
  return response;
}

}  // namespace mustardbank
