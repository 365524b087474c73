// Queue of the tasks that wait for a slot. Slots are divided among teams by
// start-time fair queueing, weighted by quota. Within a team the earliest
// virtual deadline comes first, i.e. the job that falls behind its ideal
// response time soonest.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibCore/boot_clock.h"

namespace mustardbank {

using TeamIndex = std::uint32_t;

struct QueuedTask {
  Time virtual_deadline;
  Duration expected{0};
  std::uint64_t sequence = 0;
  std::uint32_t task = 0;

  // Orders a max-heap: the earliest deadline, then the longest task, on top.
  bool operator<(const QueuedTask& other) const {
    if (virtual_deadline != other.virtual_deadline)
      return virtual_deadline > other.virtual_deadline;
    return expected < other.expected;
  }
};

class FairQueue {
 public:
  void Push(TeamIndex team, const QueuedTask& task) {
    TeamQueue& queue = teams_[team];
    if (queue.tasks.empty()) {
      const double floor = active_.empty() ? 0 : active_.begin()->first;
      queue.virtual_time = std::max(queue.virtual_time, floor);
      active_.emplace(queue.virtual_time, team);
    }
    work_ += task.expected;
    ++size_;
    queue.tasks.push(task);
  }

  struct Popped {
    TeamIndex team;
    QueuedTask task;
  };

  // Removes and returns the next task. `weight_if_allowed(team)` returns the
  // weight of a team, or nothing if the team may not start a task now; such
  // teams are skipped.
  template <typename WeightIfAllowed>
  std::optional<Popped> Pop(const WeightIfAllowed& weight_if_allowed) {
    for (auto it = active_.begin(); it != active_.end(); ++it) {
      const TeamIndex team = it->second;
      const std::optional<double> weight = weight_if_allowed(team);
      if (!weight)
        continue;
      TeamQueue& queue = teams_[team];
      QueuedTask task = queue.tasks.top();
      queue.tasks.pop();
      active_.erase(it);
      queue.virtual_time += ToMilliseconds(task.expected) / *weight;
      if (!queue.tasks.empty())
        active_.emplace(queue.virtual_time, team);
      work_ -= task.expected;
      --size_;
      return Popped{.team = team, .task = task};
    }
    return std::nullopt;
  }

  std::size_t size() const { return size_; }
  // Sum of the expected run times of the queued tasks.
  Duration work() const { return work_; }

 private:
  struct TeamQueue {
    double virtual_time = 0;
    std::priority_queue<QueuedTask> tasks;
  };

  std::unordered_map<TeamIndex, TeamQueue> teams_;
  std::set<std::pair<double, TeamIndex>> active_;  // teams with queued tasks
  std::size_t size_ = 0;
  Duration work_{0};
};

}  // namespace mustardbank
