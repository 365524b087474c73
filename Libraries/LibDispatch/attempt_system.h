// Starts queued tasks on free slots and handles the end of each attempt: stores
// the result, queues the task again or fails the job.
#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "LibDispatch/dispatch_state.h"
#include "LibDispatch/safeguards.h"
#include "LibDispatch/worker_health.h"

namespace mustardbank {

template <PlacementPolicy Placement, Safeguards Guards>
class AttemptSystem {
 public:
  explicit AttemptSystem(DispatchState& state)
      : state_(state), health_(state) {}

  // Starts as many queued tasks as slots and quotas allow.
  void Place(Time now) {
    const std::size_t count = state_.classes.size();
    for (std::size_t i = 0; i < count; ++i)
      PlaceClass(state_.classes[(first_class_ + i) % count], now);
    // Rotates the first class, so that classes that share worker pools take
    // turns.
    ++first_class_;
  }

  void Handle(AttemptEnded& event, Time now) {
    auto node = state_.in_flight.extract(event.sent);
    if (node.empty())
      return;
    const InFlightAttempt& attempt = node.mapped();
    --state_.teams[attempt.team].running;
    if (!Guards::AnswerMatches(event.sent, event.answered)) {
      state_.counters.Add(Counter::kWastedCrossedAnswers);
      event.result = AttemptResult::kUnknown;
    }
    health_.DidEnd(attempt, event, now);
    if (event.sent.home != state_.home_id())
      return;
    const auto job = state_.jobs.find(event.sent.sequence);
    if (job == state_.jobs.end())
      return;
    Conclude(job->second, event, now);
  }

 private:
  static constexpr std::uint16_t kMaxRefusals = 100;
  static constexpr std::uint16_t kMaxFailures = 3;

  void PlaceClass(PlacementClass& entry, Time now) {
    while (entry.queue.size() > 0 &&
           state_.workers.FreeInPools(entry.mask) > 0) {
      const auto popped = entry.queue.Pop([this](TeamIndex index) {
        const Team& team = state_.teams[index];
        return team.running < team.share ? std::optional<double>(team.slots)
                                         : std::nullopt;
      });
      if (!popped)
        return;
      const auto job = state_.jobs.find(popped->task.sequence);
      if (job == state_.jobs.end())
        continue;
      const auto worker = Placement::Pick(
          state_.workers, entry.mask, state_.membership.self().data_center(),
          now, state_.random);
      if (!worker) {
        entry.queue.Push(popped->team, popped->task);
        return;
      }
      Start(job->second, popped->task, *worker, now);
    }
  }

  void Start(Job& job, const QueuedTask& queued, WorkerIndex index, Time now) {
    Task& task = job.tasks[queued.task];
    task.state = TaskState::kRunning;
    ++task.attempt;
    ++job.started;
    --job.queued;
    --state_.queued_tasks;
    Team& team = state_.teams[job.team];
    --team.queued;
    ++team.running;
    state_.workers.Update(index, now, [now](Worker& worker) {
      ++worker.running;
      worker.borrowed_idle_since = now;
    });
    const AttemptId attempt{.home = state_.home_id(),
                            .sequence = job.sequence,
                            .task = queued.task,
                            .attempt = task.attempt};
    state_.in_flight.emplace(attempt,
                             InFlightAttempt{.team = job.team,
                                             .worker = index,
                                             .service = job.service,
                                             .request = task.request,
                                             .expected = task.expected});
    state_.counters.Add(Counter::kTaskStarts);
    const Worker& worker = state_.workers[index];
    state_.actions.emplace_back(StartTask{
        .attempt = attempt,
        .worker = worker.vm.name,
        .endpoint = worker.vm.endpoint,
        .job_id = job.id,
        .service = job.service,
        .request = task.request,
        .payload = task.payload,
        .timeout = std::chrono::milliseconds(task.timeout_ms),
        .start_before = now + std::chrono::milliseconds(
                                  state_.options.timing.pause_lease_ms)});
  }

  void Conclude(Job& job, AttemptEnded& event, Time now) {
    Task& task = job.tasks[event.sent.task];
    if (event.result == AttemptResult::kSucceeded) {
      Complete(job, task, std::move(event.body), now);
      return;
    }
    const bool ran = event.result == AttemptResult::kFailed ||
                     event.result == AttemptResult::kUnknown;
    if (!ran) {
      --job.started;
      ++task.refusals;
    } else {
      ++task.failures;
    }
    const bool may_start_again =
        Guards::MayStartAgain(event.result, task.idempotent,
                              job.retry_failed) &&
        task.refusals < kMaxRefusals && task.failures < kMaxFailures;
    if (may_start_again) {
      if (ran)
        state_.counters.Add(Counter::kWastedRetries);
      state_.Enqueue(job, event.sent.task);
      return;
    }
    state_.FailJob(job.sequence,
                   event.result == AttemptResult::kUnknown
                       ? Problem::kTaskUnknown
                       : Problem::kTaskFailed,
                   Guards::RanSoFar(job.started),
                   "Task " + std::to_string(event.sent.task) + ": " +
                       std::string(kAttemptResultNames[event.result]) + ".",
                   now);
  }

  void Complete(Job& job, Task& task, std::string body, Time now) {
    task.state = TaskState::kDone;
    task.result = std::move(body);
    --job.unfinished;
    if (!Guards::IsComplete(job.unfinished))
      return;
    std::size_t bytes = job.id.size() + 64;
    for (const Task& done : job.tasks)
      bytes += done.result.size() + 1;
    std::string answer;
    answer.reserve(bytes);
    answer += R"({"job":")" + job.id + R"(","state":"complete","results":[)";
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      if (i > 0)
        answer += ',';
      const std::string& result = job.tasks[i].result;
      answer += result.empty() ? "null" : result;
    }
    answer += "]}";
    state_.counters.Add(Counter::kJobsComplete);
    state_.FinishJob(job.sequence, Reply{.body = std::move(answer)}, now);
  }

  DispatchState& state_;
  WorkerHealth health_;
  std::size_t first_class_ = 0;
};

}  // namespace mustardbank
