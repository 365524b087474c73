// Binds callers' idempotency keys to job ids on the platform, many keys per
// transaction. A submission under a key waits until its key is bound.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDispatch/events.h"

namespace mustardbank {

class KeyBinder {
 public:
  // Adds a submission under its key. `propose` returns a new job id; it is
  // called only for the first submission under a key.
  template <typename Propose>
  void Add(const std::string& team, SubmitJob&& job, const Propose& propose) {
    Entry& entry = pending_[{team, job.key}];
    if (entry.jobs.empty()) {
      entry.proposed_id = propose();
      unsent_.emplace_back(team, job.key);
    }
    entry.jobs.push_back(std::move(job));
  }

  // Returns the next transaction if keys are waiting and none is in progress.
  std::optional<BindKeys> NextBatch();

  struct Bound {
    std::optional<KeyBinding> binding;  // empty if the key could not be bound
    std::vector<SubmitJob> jobs;
  };
  // Removes and returns the submissions whose keys were in the transaction.
  std::vector<Bound> Settle(const KeysBound& result);

  std::size_t pending() const { return pending_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;  // team, key
  struct Entry {
    std::string proposed_id;
    std::vector<SubmitJob> jobs;
  };

  std::map<Key, Entry> pending_;
  std::vector<Key> unsent_;
  std::vector<Key> in_flight_;
  std::uint64_t batch_ = 0;
};

}  // namespace mustardbank
