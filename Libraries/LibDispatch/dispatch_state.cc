#include "LibDispatch/dispatch_state.h"

#include <algorithm>
#include <utility>

namespace mustardbank {

DispatchState::DispatchState(DispatchOptions given,
                             bool lends_slots,
                             WorkerTable::AcceptsWork accepts_work)
    : options(std::move(given)),
      ids(options.job_id_key),
      random(options.seed),
      membership(options.self,
                 std::chrono::milliseconds(options.timing.peer_silence_ms),
                 std::chrono::milliseconds(3 * options.timing.heartbeat_ms)),
      workers(lends_slots, accepts_work),
      record(options.self) {
  for (const Endpoint& seed : options.peer_seeds)
    membership.AddSeed(seed);
}

wire::Envelope DispatchState::NewEnvelope() const {
  wire::Envelope envelope;
  *envelope.mutable_sender() = membership.self();
  return envelope;
}

void DispatchState::Send(Endpoint peer, wire::Envelope envelope) {
  actions.emplace_back(
      SendToPeer{.peer = peer, .envelope = std::move(envelope)});
}

void DispatchState::Respond(const Requester& requester, Reply reply) {
  if (!requester.peer) {
    actions.emplace_back(
        ReplyToCaller{.request = requester.request, .reply = std::move(reply)});
    return;
  }
  wire::Envelope envelope = NewEnvelope();
  wire::ForwardReply* forwarded = envelope.mutable_forward_reply();
  forwarded->set_request(requester.request);
  forwarded->set_status(reply.status);
  forwarded->set_body(std::move(reply.body));
  forwarded->set_retry_after_ms(reply.retry_after_ms);
  forwarded->set_is_id_void(reply.is_id_void);
  Send(*requester.peer, std::move(envelope));
}

std::uint32_t DispatchState::EnsureClass(const ServiceConfiguration& service) {
  for (std::uint32_t i = 0; i < classes.size(); ++i) {
    if (classes[i].places == service.places &&
        classes[i].accelerator == service.accelerator) {
      return i;
    }
  }
  PlacementClass added;
  added.places = service.places;
  added.accelerator = service.accelerator;
  added.mask = workers.MaskOf(service.places, service.accelerator);
  classes.push_back(std::move(added));
  return static_cast<std::uint32_t>(classes.size() - 1);
}

void DispatchState::RefreshMasks() {
  for (PlacementClass& entry : classes)
    entry.mask = workers.MaskOf(entry.places, entry.accelerator);
}

std::uint32_t DispatchState::BorrowableSlots(PoolMask mask, Time now) const {
  if (!workers.lends_slots())
    return 0;
  std::uint32_t slots = 0;
  for (const auto& [endpoint, peer] : membership.peers()) {
    if (!membership.IsLive(peer, now))
      continue;
    for (std::uint32_t pool = 0; pool < workers.pool_count(); ++pool) {
      if (!WorkerTable::Contains(mask, pool) || workers.HasAccelerators(pool))
        continue;
      const auto it = peer.free_slots.find(workers.DataCenterOf(pool));
      if (it != peer.free_slots.end())
        slots += it->second;
    }
  }
  return slots;
}

void DispatchState::UpdateShare(TeamIndex index, Time now) {
  Team& team = teams[index];
  const auto configured = configuration.teams.find(team.name);
  team.slots =
      configured == configuration.teams.end() ? 0 : configured->second.slots;
  std::vector<std::uint32_t> peer_demands;
  std::size_t vms = 1;
  std::size_t rank = 0;
  for (const auto& [endpoint, peer] : membership.peers()) {
    if (!membership.IsLive(peer, now))
      continue;
    ++vms;
    rank += endpoint < this->endpoint() ? 1 : 0;
    const auto demand = peer.demand.find(team.name);
    peer_demands.push_back(demand == peer.demand.end() ? 0 : demand->second);
  }
  team.share = TeamTable::ShareOf(team.slots, peer_demands, vms, rank);
}

void DispatchState::AddWaiter(Job& job,
                              const Requester& from,
                              Duration wait,
                              Time now) {
  if (wait <= Duration::zero()) {
    Respond(from,
            Reply{.status = 202,
                  .body = R"({"job":")" + job.id + R"(","state":"running"})",
                  .retry_after_ms = 200});
    return;
  }
  const std::uint64_t waiter = next_waiter++;
  job.waiters.push_back(Waiter{.requester = from, .timer = waiter});
  timers.Add(Timer{.at = now + wait,
                   .kind = TimerKind::kWaiterTimeout,
                   .subject = job.sequence,
                   .detail = waiter});
}

void DispatchState::Enqueue(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  task.state = TaskState::kQueued;
  ++job.queued;
  ++teams[job.team].queued;
  ++queued_tasks;
  classes[job.placement_class].queue.Push(
      job.team, QueuedTask{.virtual_deadline = job.virtual_deadline,
                           .expected = task.expected,
                           .sequence = job.sequence,
                           .task = index});
}

void DispatchState::FinishJob(std::uint64_t sequence, Reply reply, Time now) {
  auto node = jobs.extract(sequence);
  Job& job = node.mapped();
  teams[job.team].queued -= job.queued;
  queued_tasks -= job.queued;
  for (const Waiter& waiter : job.waiters)
    Respond(waiter.requester, reply);
  record.Keep(sequence,
              StoredAnswer{.team = teams[job.team].name,
                           .reply = std::move(reply),
                           .digest = job.digest},
              now);
}

void DispatchState::FailJob(std::uint64_t sequence,
                            Problem problem,
                            Ran ran,
                            std::string_view detail,
                            Time now) {
  counters.Add(problem == Problem::kCancelled ? Counter::kJobsCancelled
                                              : Counter::kJobsFailed);
  const std::string id = jobs.at(sequence).id;
  FinishJob(sequence, ProblemReply(problem, ran, detail, id), now);
}

void DispatchState::AbandonIncarnation(std::uint64_t min_incarnation,
                                       Time now) {
  counters.Add(Counter::kIncarnationsAbandoned);
  std::vector<std::uint64_t> unfinished;
  for (const auto& [sequence, job] : jobs)
    unfinished.push_back(sequence);
  for (const std::uint64_t sequence : unfinished) {
    FailJob(sequence, Problem::kHomeGone, Ran::kMayHaveRun,
            "The entry VM that kept the job was paused for longer than its "
            "lease.",
            now);
  }
  membership.ReplaceIncarnation(std::max(incarnation() + 1, min_incarnation),
                                now);
  // Sequence numbers are not reset: timers and queue entries still refer to the
  // numbers of the jobs that were failed.
  record = IncarnationRecord(membership.self());
  actions.emplace_back(PublishIdentity{.identity = membership.self()});
}

AnswerLimits DispatchState::answer_limits() const {
  return AnswerLimits{
      .count = options.limits.answers_kept,
      .bytes = std::size_t{options.limits.answer_megabytes} * 1024 * 1024,
      .kept = std::chrono::milliseconds(options.limits.answer_kept_ms)};
}

}  // namespace mustardbank
