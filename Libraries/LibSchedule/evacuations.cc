#include "LibSchedule/evacuations.h"

#include <algorithm>

namespace mustardbank {

bool Evacuations::IsName(std::string_view data_center) {
  return !data_center.empty() && data_center.size() <= kMostNameBytes &&
         std::all_of(data_center.begin(), data_center.end(), [](char c) {
           return c > ' ' && c < '\x7f' && c != '/' && c != '"';
         });
}

bool Evacuations::Update(const std::string& data_center,
                         Evacuation evacuation,
                         Time now) {
  const auto it = entries_.find(data_center);
  // A full read at a later version lacked this request, so it was withdrawn.
  // Kept as such, to tell the peer that still has it.
  if (evacuation.is_requested && evacuation.version <= read_version_ &&
      (it == entries_.end() ||
       it->second.evacuation.version < evacuation.version))
    evacuation = {.version = read_version_, .is_requested = false};
  if (it == entries_.end()) {
    if (!IsName(data_center) || !MakeRoom()) {
      ++dropped_;
      return false;
    }
    // Withdrawals of unknown requests are kept, since the request may arrive
    // later, from a peer.
    entries_[data_center] = {evacuation, now, now};
    changes_ += evacuation.is_requested ? 1 : 0;
    return evacuation.is_requested;
  }
  Entry& entry = it->second;
  if (evacuation.version <= entry.evacuation.version)
    return false;
  const bool has_changed =
      evacuation.is_requested != entry.evacuation.is_requested;
  entry.evacuation = evacuation;
  entry.news_since = now;
  if (has_changed) {
    entry.since = now;
    ++changes_;
  }
  return has_changed;
}

bool Evacuations::MakeRoom() {
  if (entries_.size() < kMostEntries)
    return true;
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (!it->second.evacuation.is_requested &&
        (oldest == entries_.end() ||
         it->second.evacuation.version < oldest->second.evacuation.version))
      oldest = it;
  }
  if (oldest == entries_.end())
    return false;
  entries_.erase(oldest);
  return true;
}

std::vector<std::string> Evacuations::Apply(const std::string& data_center,
                                            Evacuation evacuation,
                                            Time now) {
  if (Update(data_center, evacuation, now))
    return {data_center};
  return {};
}

std::vector<std::string> Evacuations::ReplaceAll(const EvacuationTable& rows,
                                                 std::uint64_t version,
                                                 Time now) {
  is_known_ = true;
  std::vector<std::string> changed;
  for (const auto& [data_center, evacuation] : rows) {
    if (Update(data_center, evacuation, now))
      changed.push_back(data_center);
  }
  for (const auto& [data_center, evacuation] : table()) {
    if (evacuation.is_requested && evacuation.version < version &&
        !rows.contains(data_center) &&
        Update(data_center, {.version = version, .is_requested = false}, now))
      changed.push_back(data_center);
  }
  read_version_ = std::max(read_version_, version);
  return changed;
}

std::vector<std::string> Evacuations::Merge(const EvacuationTable& peer,
                                            Time now) {
  std::vector<std::string> changed;
  for (const auto& [data_center, evacuation] : peer) {
    is_known_ = true;
    const auto known = entries_.find(data_center);
    if (known != entries_.end() &&
        evacuation.version < known->second.evacuation.version)
      known->second.news_since = now;
    if (Update(data_center, evacuation, now))
      changed.push_back(data_center);
  }
  return changed;
}

bool Evacuations::IsEvacuated(const std::string& data_center) const {
  const auto it = entries_.find(data_center);
  return it != entries_.end() && it->second.evacuation.is_requested;
}

std::map<std::string, Time> Evacuations::InForce() const {
  std::map<std::string, Time> in_force;
  for (const auto& [data_center, entry] : entries_) {
    if (entry.evacuation.is_requested)
      in_force[data_center] = entry.since;
  }
  return in_force;
}

EvacuationTable Evacuations::Shared(Time now) const {
  EvacuationTable shared;
  for (const auto& [data_center, entry] : entries_) {
    if (entry.evacuation.is_requested ||
        now - entry.news_since < kWithdrawalShared)
      shared[data_center] = entry.evacuation;
  }
  return shared;
}

bool Evacuations::IsConfirmedBy(const EvacuationTable& peer) const {
  return std::all_of(entries_.begin(), entries_.end(), [&](const auto& known) {
    const Evacuation& evacuation = known.second.evacuation;
    const auto it = peer.find(known.first);
    return !evacuation.is_requested ||
           (it != peer.end() && it->second.version >= evacuation.version);
  });
}

EvacuationTable Evacuations::table() const {
  EvacuationTable table;
  for (const auto& [data_center, entry] : entries_)
    table[data_center] = entry.evacuation;
  return table;
}

}  // namespace mustardbank
