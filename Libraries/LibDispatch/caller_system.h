// Handles callers' requests: job ids, submissions, status queries and
// cancellations. Answers them here or forwards them to the home of the job: the
// entry VM that keeps the job's state and answers its caller.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "LibDispatch/admission.h"
#include "LibDispatch/dispatch_state.h"
#include "LibDispatch/safeguards.h"

namespace mustardbank {

template <Safeguards Guards>
class CallerSystem {
 public:
  explicit CallerSystem(DispatchState& state) : state_(state) {}

  void Handle(IssueIds& event, Time /*now*/) {
    const std::string* team = TeamOf(event.from, event.token_sha256, false);
    if (!team)
      return;
    if (state_.is_leaving()) {
      Refuse(event.from, Problem::kLeaving,
             "Send the request to another entry VM.", {}, kElsewhereRetryMs);
      return;
    }
    const std::uint32_t count = std::clamp(event.count, 1U, kMaxIdsAtOnce);
    std::string body = R"({"ids":[)";
    for (std::uint32_t i = 0; i < count; ++i) {
      body += i == 0 ? "\"" : ",\"";
      body += NewId(*team);
      body += '"';
    }
    state_.counters.Add(Counter::kIdsIssued, count);
    state_.Respond(event.from, Reply{.body = body + "]}"});
  }

  void Handle(SubmitJob& event, Time now) {
    const std::string* team = TeamOf(event.from, event.token_sha256, true);
    if (!team)
      return;
    if (!event.key.empty()) {
      SubmitUnderKey(*team, std::move(event));
      return;
    }
    if (event.job_id.empty()) {
      Refuse(event.from, Problem::kMissingId,
             "Post to /v1/jobs/ID, or send an Idempotency-Key header.");
      return;
    }
    Submit(*team, event.from, event.job_id, std::move(event.job), event.wait,
           now);
  }

  void Handle(QueryJob& event, Time now) {
    if (const std::string* team = TeamOf(event.from, event.token_sha256, true))
      Query(*team, event.from, event.job_id, event.wait, now);
  }

  void Handle(CancelJob& event, Time now) {
    if (const std::string* team = TeamOf(event.from, event.token_sha256, true))
      Cancel(*team, event.from, event.job_id, now);
  }

  // Handles a caller's request that a peer forwarded.
  void Handle(const wire::VmIdentity& sender,
              wire::ForwardRequest& request,
              Time now) {
    const Requester from{.request = request.request(),
                         .peer = Membership::EndpointOf(sender)};
    const Duration wait = std::chrono::milliseconds(request.wait_ms());
    switch (request.kind()) {
      case wire::CALLER_REQUEST_SUBMIT:
        Submit(request.team(), from, request.job_id(),
               std::move(*request.mutable_job()), wait, now);
        return;
      case wire::CALLER_REQUEST_CANCEL:
        Cancel(request.team(), from, request.job_id(), now);
        return;
      default:
        Query(request.team(), from, request.job_id(), wait, now);
    }
  }

  void Handle(wire::ForwardReply& reply) {
    auto node = state_.forwards.extract(reply.request());
    if (node.empty())
      return;
    const Forward& forward = node.mapped();
    if (reply.is_id_void() && forward.key) {
      Release(forward.from, *forward.key);
      return;
    }
    state_.Respond(forward.from, Reply{.status = reply.status(),
                                       .body = std::move(*reply.mutable_body()),
                                       .retry_after_ms = reply.retry_after_ms(),
                                       .is_id_void = reply.is_id_void()});
  }

  void Handle(KeysBound& event, Time now) {
    for (KeyBinder::Bound& bound : state_.keys.Settle(event)) {
      for (SubmitJob& job : bound.jobs) {
        if (!bound.binding) {
          RefuseUnderKey(job.from, Problem::kPlatformOut,
                         "The idempotency key could not be bound.",
                         kPlatformRetryMs);
          continue;
        }
        const std::string* team = TeamOf(job.from, job.token_sha256, true);
        if (team) {
          Submit(*team, job.from, bound.binding->job_id, std::move(job.job),
                 job.wait, now, &*bound.binding);
        }
      }
    }
  }

  void Handle(const PeerContact& event) {
    if (!event.reached && event.forwarded_request != 0)
      EndForward(event.forwarded_request);
  }

  // Ends a forwarded request whose home was unreachable or did not answer in
  // time.
  void EndForward(std::uint64_t request) {
    auto node = state_.forwards.extract(request);
    if (node.empty())
      return;
    const Forward& forward = node.mapped();
    Refuse(forward.from, Problem::kHomeUnreachable,
           "The entry VM that keeps the job did not answer. The job may be "
           "running.",
           forward.job_id, kUnknownRetryMs, Ran::kMayHaveRun);
  }

 private:
  static constexpr std::uint32_t kMaxIdsAtOnce = 10'000;
  static constexpr std::uint32_t kElsewhereRetryMs = 100;
  static constexpr std::uint32_t kPlatformRetryMs = 2'000;
  static constexpr std::uint32_t kUnknownRetryMs = 1'000;
  static constexpr std::uint32_t kReleaseRetryMs = 300;
  static constexpr Duration kForwardMargin = std::chrono::seconds(2);
  static constexpr double kGiveUpFactor = 3;

  // Where the state of a job is kept.
  struct Here {};
  struct Inherited {
    IncarnationRecord& record;
  };
  struct Elsewhere {
    Endpoint home;
  };
  struct Unknown {};  // not known yet: the caller is told to retry
  struct Lost {};
  using Route = std::variant<Here, Inherited, Elsewhere, Unknown, Lost>;

  // Returns the team that a token belongs to, or refuses the request and
  // returns null. `names_job` is true for requests about one job: that job may
  // have run already, so a refusal must not say "not run".
  const std::string* TeamOf(const Requester& from,
                            const std::string& token,
                            bool names_job) {
    const Ran ran = names_job ? Ran::kMayHaveRun : Ran::kNotRun;
    if (state_.configuration.version == 0) {
      Refuse(from, Problem::kNotReady,
             "This entry VM has not read a configuration yet.", {},
             kUnknownRetryMs, ran);
      return nullptr;
    }
    const auto it = state_.team_by_token.find(token);
    if (it != state_.team_by_token.end())
      return &it->second;
    Refuse(from, Problem::kUnauthorized,
           "Send the token of a team in a header: Authorization: Bearer TOKEN.",
           {}, 0, ran);
    return nullptr;
  }

  // Refuses a submission under an idempotency key. Since this VM can't tell
  // whether an earlier submission under the same key ran, the reply says "may
  // have run".
  void RefuseUnderKey(const Requester& from,
                      Problem problem,
                      const std::string& detail,
                      std::uint32_t retry_after_ms) {
    Refuse(from, problem,
           detail +
               " This submission did not run; an earlier one under the "
               "same key may have run.",
           {}, retry_after_ms, Ran::kMayHaveRun);
  }

  // Frees a key whose job id is void, so that the caller's next submission
  // binds the key to a new id.
  void Release(const Requester& from, const KeyBinding& key) {
    state_.actions.emplace_back(ReleaseKey{.binding = key});
    Refuse(
        from, Problem::kKeyReleased,
        "The entry VM that issued the job id of this key has left. Submit the "
        "job again.",
        {}, kReleaseRetryMs);
  }

  void Refuse(const Requester& from,
              Problem problem,
              std::string_view detail,
              std::string_view job_id = {},
              std::uint32_t retry_after_ms = 0,
              Ran ran = Ran::kNotRun) {
    state_.counters.Add(Counter::kJobsRefused);
    state_.Respond(from,
                   ProblemReply(problem, ran, detail, job_id, retry_after_ms));
  }

  // Refuses a job id that was never used and whose issuer accepts no more jobs.
  void RefuseVoidId(const Requester& from) {
    state_.counters.Add(Counter::kJobsRefused);
    Reply reply =
        ProblemReply(Problem::kIssuerLeft, Ran::kNotRun,
                     "Request a new job id and submit the job again.");
    reply.is_id_void = true;
    state_.Respond(from, std::move(reply));
  }

  std::string NewId(const std::string& team) {
    return state_.ids.Encode(JobId{.home = state_.endpoint(),
                                   .incarnation = state_.incarnation(),
                                   .sequence = state_.next_sequence++},
                             team);
  }

  Route RouteOf(const JobId& id, Time now) {
    if (id.home_id() == state_.home_id())
      return Here{};
    const auto inherited = state_.inherited.find(id.home_id());
    if (inherited != state_.inherited.end())
      return Inherited{inherited->second};
    const auto elsewhere = [this](Endpoint home) -> Route {
      if (home == state_.endpoint())
        return Lost{};
      return Elsewhere{home};
    };
    switch (state_.membership.HomeStatusOf(id.home_id(), now)) {
      case HomeStatus::kSucceeded:
        return elsewhere(*state_.membership.SuccessorOf(id.home_id()));
      case HomeStatus::kReachable:
        return elsewhere(id.home);
      case HomeStatus::kUncertain:
        return Unknown{};
      case HomeStatus::kGone:
        return Lost{};
    }
    return Unknown{};
  }

  // Decodes a job id and finds out where the state of its job is kept. If the
  // request can be neither handled here nor forwarded, refuses it and returns
  // nothing.
  std::optional<std::pair<JobId, Route>> Locate(const std::string& team,
                                                const Requester& from,
                                                const std::string& text,
                                                Time now) {
    const std::optional<JobId> id = state_.ids.Decode(text, team);
    if (!id) {
      Refuse(from, Problem::kUnknownJobId,
             "The job id was not issued to this team.");
      return std::nullopt;
    }
    Route route = RouteOf(*id, now);
    if (std::holds_alternative<Lost>(route)) {
      Refuse(from, Problem::kHomeGone,
             "The entry VM that kept the job was lost.", text, 0,
             Ran::kMayHaveRun);
      return std::nullopt;
    }
    // A request is forwarded only once. A second hop means that two VMs
    // disagree for now about the home of the job.
    const bool is_second_hop =
        from.peer && std::holds_alternative<Elsewhere>(route);
    const bool is_stopping =
        (state_.phase == Phase::kHandingOver || state_.phase == Phase::kLeft) &&
        std::holds_alternative<Elsewhere>(route);
    if (is_second_hop || is_stopping ||
        std::holds_alternative<Unknown>(route)) {
      Refuse(from, Problem::kHomeUnreachable,
             "It is not known yet which entry VM keeps the job.", text,
             kUnknownRetryMs, Ran::kMayHaveRun);
      return std::nullopt;
    }
    return std::pair(*id, route);
  }

  wire::ForwardRequest& StartForward(const Requester& from,
                                     Endpoint home,
                                     const std::string& team,
                                     const std::string& job_id,
                                     wire::CallerRequest kind,
                                     Duration wait,
                                     Time now,
                                     wire::Envelope& envelope) {
    const std::uint64_t request = state_.next_forward++;
    state_.forwards.emplace(
        request, Forward{.from = from, .peer = home, .job_id = job_id});
    state_.timers.Add(Timer{.at = now + wait + kForwardMargin,
                            .kind = TimerKind::kForwardTimeout,
                            .subject = request});
    state_.counters.Add(Counter::kJobsForwarded);
    envelope = state_.NewEnvelope();
    wire::ForwardRequest& forward = *envelope.mutable_forward();
    forward.set_request(request);
    forward.set_kind(kind);
    forward.set_team(team);
    forward.set_job_id(job_id);
    forward.set_wait_ms(
        static_cast<std::uint32_t>(std::max(0.0, ToMilliseconds(wait))));
    return forward;
  }

  void SubmitUnderKey(const std::string& team, SubmitJob&& event) {
    if (state_.is_leaving()) {
      RefuseUnderKey(event.from, Problem::kLeaving,
                     "Send the request to another entry VM.",
                     kElsewhereRetryMs);
      return;
    }
    if (const auto refusal = CheckJob(state_, team, event.job)) {
      RefuseUnderKey(event.from, refusal->problem, refusal->detail,
                     refusal->retry_after_ms);
      return;
    }
    state_.keys.Add(team, std::move(event), [&] { return NewId(team); });
  }

  void Submit(const std::string& team,
              const Requester& from,
              const std::string& text,
              wire::JobSpec job,
              Duration wait,
              Time now,
              const KeyBinding* key = nullptr) {
    const auto located = Locate(team, from, text, now);
    if (!located)
      return;
    const auto& [id, route] = *located;
    if (const auto* elsewhere = std::get_if<Elsewhere>(&route)) {
      wire::Envelope envelope;
      wire::ForwardRequest& forward =
          StartForward(from, elsewhere->home, team, text,
                       wire::CALLER_REQUEST_SUBMIT, wait, now, envelope);
      *forward.mutable_job() = std::move(job);
      if (key)
        state_.forwards.at(forward.request()).key = *key;
      state_.Send(elsewhere->home, std::move(envelope));
      return;
    }
    if (const auto* inherited = std::get_if<Inherited>(&route)) {
      const bool is_void = !inherited->record.seen().Contains(id.sequence);
      if (is_void && key)
        Release(from, *key);
      else
        AnswerEnded(inherited->record, id.sequence, from, text, job.digest());
      return;
    }
    if (Guards::IsRepeat(state_.record.seen().Contains(id.sequence))) {
      Resubmit(from, id.sequence, text, job.digest(), wait, now);
      return;
    }
    Accept(team, from, id.sequence, text, std::move(job), wait, now);
  }

  void Resubmit(const Requester& from,
                std::uint64_t sequence,
                const std::string& text,
                std::uint64_t digest,
                Duration wait,
                Time now) {
    state_.counters.Add(Counter::kJobsResubmitted);
    const auto job = state_.jobs.find(sequence);
    if (job == state_.jobs.end()) {
      AnswerEnded(state_.record, sequence, from, text, digest);
      return;
    }
    if (job->second.digest != digest) {
      Refuse(from, Problem::kReusedId,
             "Another job was submitted under this id and is running.");
      return;
    }
    state_.AddWaiter(job->second, from, wait, now);
  }

  // Answers a request for a job that has ended or was never submitted. `digest`
  // is set for submissions only.
  void AnswerEnded(const IncarnationRecord& record,
                   std::uint64_t sequence,
                   const Requester& from,
                   const std::string& text,
                   std::optional<std::uint64_t> digest) {
    if (const StoredAnswer* answer = record.Find(sequence)) {
      if (digest && *digest != answer->digest)
        Refuse(from, Problem::kReusedId,
               "Another job was submitted under this id and has ended.");
      else
        state_.Respond(from, answer->reply);
      return;
    }
    if (record.seen().Contains(sequence)) {
      Refuse(from, Problem::kAnswerExpired,
             "The job has ended and its answer was removed.", text, 0,
             Ran::kMayHaveRun);
      return;
    }
    if (digest) {
      RefuseVoidId(from);
      return;
    }
    Refuse(from, Problem::kNeverSubmitted, "Submit the job first.");
  }

  void Accept(const std::string& team,
              const Requester& from,
              std::uint64_t sequence,
              const std::string& text,
              wire::JobSpec spec,
              Duration wait,
              Time now) {
    if (state_.is_leaving()) {
      RefuseVoidId(from);
      return;
    }
    if (const auto refusal = CheckJob(state_, team, spec)) {
      Refuse(from, refusal->problem, refusal->detail, {},
             refusal->retry_after_ms);
      return;
    }
    const ServiceConfiguration& service =
        state_.configuration.services.find(spec.service())->second;
    Job job = MakeJob(service, team, sequence, text, std::move(spec), now);
    const Duration longest = LongestTask(job);
    if (const auto refusal =
            CheckDelay(state_, service, job.placement_class, job.team,
                       job.tasks.size(), longest, now)) {
      Refuse(from, refusal->problem, refusal->detail, {},
             refusal->retry_after_ms);
      return;
    }
    state_.record.seen().Insert(sequence);
    state_.counters.Add(Counter::kJobsSubmitted);
    job.virtual_deadline = now + 2 * longest;
    const Duration give_up_after =
        std::chrono::milliseconds(service.delay_tolerance_ms) +
        FromMilliseconds(kGiveUpFactor * Makespan(job, longest, now));
    state_.timers.Add(Timer{.at = now + give_up_after,
                            .kind = TimerKind::kJobDeadline,
                            .subject = sequence});
    Job& accepted =
        state_.jobs.insert_or_assign(sequence, std::move(job)).first->second;
    for (std::uint32_t i = 0; i < accepted.tasks.size(); ++i)
      state_.Enqueue(accepted, i);
    state_.AddWaiter(accepted, from, wait, now);
  }

  Job MakeJob(const ServiceConfiguration& service,
              const std::string& team,
              std::uint64_t sequence,
              const std::string& text,
              wire::JobSpec spec,
              Time now) {
    Job job;
    job.sequence = sequence;
    job.id = text;
    job.service = service.name;
    job.team = state_.teams.Ensure(team);
    state_.UpdateShare(job.team, now);
    job.placement_class = state_.EnsureClass(service);
    job.retry_failed = service.retry_failed;
    job.digest = spec.digest();
    job.submitted = now;
    job.unfinished = static_cast<std::uint32_t>(spec.tasks_size());
    job.tasks.reserve(job.unfinished);
    for (wire::TaskSpec& task : *spec.mutable_tasks()) {
      const RequestKind& kind = service.requests.find(task.request())->second;
      Task& made = job.tasks.emplace_back();
      made.request = std::move(*task.mutable_request());
      made.payload = std::move(*task.mutable_payload());
      made.expected = state_.run_times.Expect(
          service.name, kind, std::chrono::milliseconds(task.declared_ms()));
      made.timeout_ms = kind.timeout_ms;
      made.idempotent = kind.idempotent;
    }
    return job;
  }

  Duration LongestTask(const Job& job) const {
    Duration longest{0};
    for (const Task& task : job.tasks)
      longest = std::max(longest, task.expected);
    return state_.run_times.ExpectLongest(longest, job.tasks.size());
  }

  // The expected run time of the job in milliseconds if it had all slots of
  // this VM, borrowable ones included, to itself.
  double Makespan(const Job& job, Duration longest, Time now) const {
    const PoolMask mask = state_.classes[job.placement_class].mask;
    const double slots =
        std::max<double>(1, state_.workers.AllottedInPools(mask) +
                                state_.BorrowableSlots(mask, now));
    double work = 0;
    for (const Task& task : job.tasks)
      work += ToMilliseconds(task.expected);
    return ToMilliseconds(longest) + work / slots;
  }

  void Query(const std::string& team,
             const Requester& from,
             const std::string& text,
             Duration wait,
             Time now) {
    const auto located = Locate(team, from, text, now);
    if (!located)
      return;
    const auto& [id, route] = *located;
    if (const auto* elsewhere = std::get_if<Elsewhere>(&route)) {
      wire::Envelope envelope;
      StartForward(from, elsewhere->home, team, text,
                   wire::CALLER_REQUEST_STATUS, wait, now, envelope);
      state_.Send(elsewhere->home, std::move(envelope));
      return;
    }
    if (const auto* inherited = std::get_if<Inherited>(&route)) {
      AnswerEnded(inherited->record, id.sequence, from, text, std::nullopt);
      return;
    }
    const auto job = state_.jobs.find(id.sequence);
    if (job == state_.jobs.end())
      AnswerEnded(state_.record, id.sequence, from, text, std::nullopt);
    else
      state_.AddWaiter(job->second, from, wait, now);
  }

  void Cancel(const std::string& team,
              const Requester& from,
              const std::string& text,
              Time now) {
    const auto located = Locate(team, from, text, now);
    if (!located)
      return;
    const auto& [id, route] = *located;
    if (const auto* elsewhere = std::get_if<Elsewhere>(&route)) {
      wire::Envelope envelope;
      StartForward(from, elsewhere->home, team, text,
                   wire::CALLER_REQUEST_CANCEL, Duration::zero(), now,
                   envelope);
      state_.Send(elsewhere->home, std::move(envelope));
      return;
    }
    if (const auto* inherited = std::get_if<Inherited>(&route)) {
      AnswerEnded(inherited->record, id.sequence, from, text, std::nullopt);
      return;
    }
    const auto job = state_.jobs.find(id.sequence);
    if (job != state_.jobs.end()) {
      // Tasks in progress run to their end: they are short, and stopping them
      // would cost one message each.
      state_.FailJob(id.sequence, Problem::kCancelled,
                     Guards::RanSoFar(job->second.started),
                     "The caller cancelled the job.", now);
    }
    AnswerEnded(state_.record, id.sequence, from, text, std::nullopt);
  }

  DispatchState& state_;
};

}  // namespace mustardbank
