// What an entry VM stores about the jobs of one of its incarnations: the
// sequence numbers that were submitted (`seen`), and the answers of ended jobs,
// limited in time, number and bytes.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "LibCore/interval_set.h"
#include "LibDispatch/events.h"

namespace mustardbank {

struct StoredAnswer {
  std::string team;
  Reply reply;
  std::uint64_t digest = 0;  // of the submitted job
};

struct AnswerLimits {
  std::size_t count = 200'000;
  std::size_t bytes = 48 * 1024 * 1024;
  Duration kept = std::chrono::minutes(10);
};

class IncarnationRecord {
 public:
  explicit IncarnationRecord(wire::VmIdentity home) : home_(std::move(home)) {}

  const wire::VmIdentity& home() const { return home_; }
  IntervalSet& seen() { return seen_; }
  const IntervalSet& seen() const { return seen_; }

  void Keep(std::uint64_t sequence, StoredAnswer answer, Time now);
  const StoredAnswer* Find(std::uint64_t sequence) const;
  // Drops answers beyond the limits, oldest first.
  void Expire(const AnswerLimits& limits, Time now);

  std::size_t answer_count() const { return answers_.size(); }
  std::size_t answer_bytes() const { return bytes_; }

  // Splits the record into messages of bounded size, for a successor.
  std::vector<wire::HandOver> ToHandOver() const;
  void AddPart(const wire::HandOver& part, Time now);

 private:
  struct ExpiryEntry {
    std::uint64_t sequence;
    Time kept_at;
  };

  wire::VmIdentity home_;
  IntervalSet seen_;
  std::unordered_map<std::uint64_t, StoredAnswer> answers_;
  std::deque<ExpiryEntry> expiry_queue_;
  std::size_t bytes_ = 0;
};

}  // namespace mustardbank
