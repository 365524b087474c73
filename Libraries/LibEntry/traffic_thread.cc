#include "LibEntry/traffic_thread.h"

#include "LibDispatch/problem.h"

namespace mustardbank {

namespace {

constexpr std::uint32_t kQueueFullRetryMs = 200;

}  // namespace

TrafficThread::TrafficThread(std::uint32_t index,
                             const std::string& data_center,
                             EventQueue& events)
    : index_(index),
      events_(events),
      workers_(thread_.io(), data_center, [&events](AttemptEnded&& ended) {
        // Not limited by the queue's capacity: the slots of the workers bound
        // the number of attempts.
        events.Push(std::move(ended));
      }) {}

Reply TrafficThread::Ask(const std::function<Event(Requester)>& make) {
  const std::uint64_t request =
      std::uint64_t{index_} << kIndexShift | next_request_++;
  PendingReply pending;
  pending_.emplace(request, &pending);
  if (!events_.TryPush(make(Requester{.request = request}))) {
    pending_.erase(request);
    return ProblemReply(Problem::kOverloaded, Ran::kNotRun,
                        "This VM is overloaded.", {}, kQueueFullRetryMs);
  }
  pending.signal.Wait();
  return std::move(pending.reply);
}

void TrafficThread::Deliver(std::vector<ReplyToCaller>&& replies,
                            std::vector<StartTask>&& starts) {
  thread_.Post([this, replies = std::move(replies),
                starts = std::move(starts)]() mutable {
    for (StartTask& start : starts)
      workers_.Start(std::move(start));
    for (ReplyToCaller& reply : replies) {
      const auto it = pending_.find(reply.request);
      if (it == pending_.end())
        continue;
      PendingReply& pending = *it->second;
      pending_.erase(it);
      pending.reply = std::move(reply.reply);
      pending.signal.Raise();
    }
  });
}

}  // namespace mustardbank
