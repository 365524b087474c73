#include "LibDispatch/incarnation_record.h"

namespace mustardbank {

namespace {

// Well below gRPC's default message size limit of 4 MB.
constexpr std::size_t kHandOverPartBytes = 1024 * 1024;
constexpr int kHandOverPartIntervals = 10'000;
constexpr std::size_t kAnswerOverheadBytes = 160;

std::size_t SizeOf(const StoredAnswer& answer) {
  return answer.reply.body.size() + kAnswerOverheadBytes;
}

}  // namespace

void IncarnationRecord::Keep(std::uint64_t sequence,
                             StoredAnswer answer,
                             Time now) {
  const std::size_t size = SizeOf(answer);
  if (!answers_.emplace(sequence, std::move(answer)).second)
    return;
  bytes_ += size;
  expiry_queue_.push_back(ExpiryEntry{.sequence = sequence, .kept_at = now});
}

const StoredAnswer* IncarnationRecord::Find(std::uint64_t sequence) const {
  const auto it = answers_.find(sequence);
  return it == answers_.end() ? nullptr : &it->second;
}

void IncarnationRecord::Expire(const AnswerLimits& limits, Time now) {
  while (!expiry_queue_.empty()) {
    const bool is_over =
        answers_.size() > limits.count || bytes_ > limits.bytes;
    if (!is_over && now - expiry_queue_.front().kept_at < limits.kept)
      return;
    const auto it = answers_.find(expiry_queue_.front().sequence);
    expiry_queue_.pop_front();
    bytes_ -= SizeOf(it->second);
    answers_.erase(it);
  }
}

std::vector<wire::HandOver> IncarnationRecord::ToHandOver() const {
  std::vector<wire::HandOver> parts;
  std::size_t bytes = 0;
  const auto start_part = [&] {
    parts.emplace_back();
    *parts.back().mutable_home() = home_;
    bytes = 0;
  };
  start_part();
  for (const auto& [first, last] : seen_.intervals()) {
    if (parts.back().seen_size() >= kHandOverPartIntervals)
      start_part();
    wire::SequenceInterval* interval = parts.back().add_seen();
    interval->set_first(first);
    interval->set_last(last);
  }
  for (const ExpiryEntry& entry : expiry_queue_) {
    const StoredAnswer& answer = answers_.at(entry.sequence);
    if (bytes > kHandOverPartBytes)
      start_part();
    bytes += SizeOf(answer);
    wire::KeptAnswer* kept = parts.back().add_answers();
    kept->set_sequence(entry.sequence);
    kept->set_team(answer.team);
    kept->set_status(answer.reply.status);
    kept->set_body(answer.reply.body);
    kept->set_digest(answer.digest);
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].set_part(static_cast<std::uint32_t>(i));
    parts[i].set_parts(static_cast<std::uint32_t>(parts.size()));
  }
  return parts;
}

void IncarnationRecord::AddPart(const wire::HandOver& part, Time now) {
  for (const wire::SequenceInterval& interval : part.seen()) {
    if (!seen_.Contains(interval.first()))
      seen_.InsertInterval(interval.first(), interval.last());
  }
  for (const wire::KeptAnswer& kept : part.answers()) {
    Keep(kept.sequence(),
         StoredAnswer{.team = kept.team(),
                      .reply = {.status = kept.status(), .body = kept.body()},
                      .digest = kept.digest()},
         now);
  }
}

}  // namespace mustardbank
