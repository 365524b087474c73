#include "LibSchedule/crash_history.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "LibCore/digest.h"

namespace mustardbank {

namespace {

// Runs started within this time of the newest one are blamed like it: their
// start commands may have overtaken each other.
constexpr Duration kSameStart = std::chrono::milliseconds(20);
// Crashes under a task, one of them of a worker that ran nothing else.
constexpr std::size_t kCrashesOfCause = 2;
// Crashes under a task that always shared its workers, although it had to run
// alone: the owners didn't know of each other's records.
constexpr std::size_t kMostCrashes = 3;
// Workers lost under a task, most of which may only have been unreachable.
constexpr std::size_t kMostLosses = 4;

}  // namespace

IncarnationId IncarnationIdOf(const std::string& worker,
                              std::uint64_t incarnation) {
  return FastDigest(worker, incarnation);
}

std::string CrashKey(const std::string& task, IncarnationId incarnation) {
  return task + '/' + std::to_string(incarnation);
}

std::optional<CrashRecord> ParseCrashKey(std::string_view key) {
  const std::size_t slash = key.rfind('/');
  if (slash == std::string_view::npos || slash == 0)
    return std::nullopt;
  CrashRecord record{.task = std::string(key.substr(0, slash))};
  const char* const end = key.data() + key.size();
  const auto [rest, error] =
      std::from_chars(key.data() + slash + 1, end, record.incarnation);
  if (error != std::errc() || rest != end)
    return std::nullopt;
  return record;
}

CrashHistory::Verdict CrashHistory::VerdictOf(const Entries& entries) {
  std::size_t crashes = 0;
  bool was_alone = false;
  bool was_newest = false;
  for (const auto& [incarnation, entry] : entries) {
    if (!entry.is_certain)
      continue;
    ++crashes;
    was_alone = was_alone || entry.role == CrashRole::kAlone;
    was_newest = was_newest || entry.role == CrashRole::kNewest;
  }
  if (crashes >= kMostCrashes || (crashes >= kCrashesOfCause && was_alone) ||
      entries.size() >= kMostLosses)
    return Verdict::kCause;
  // A task that was older than another one in both crashes is blamed, too.
  if (crashes >= kCrashesOfCause || was_alone || was_newest ||
      entries.size() + 1 >= kMostLosses)
    return Verdict::kSuspect;
  return Verdict::kClear;
}

CrashHistory::Verdict CrashHistory::VerdictOf(const std::string& task) const {
  const auto it = tasks_.find(task);
  return it == tasks_.end() ? Verdict::kClear : VerdictOf(it->second);
}

std::size_t CrashHistory::CrashesOf(const std::string& task) const {
  const auto it = tasks_.find(task);
  return it == tasks_.end() ? 0 : it->second.size();
}

std::vector<std::string> CrashHistory::DidCrash(const Crash& crash, Time now) {
  std::vector<std::string> suspects;
  Time newest = Time::min();
  for (const Run& run : crash.runs) {
    newest = std::max(newest, run.started);
    if (VerdictOf(run.task) != Verdict::kClear)
      suspects.push_back(run.task);
  }
  std::vector<std::string> blamed;
  for (const Run& run : crash.runs) {
    // A crash that an earlier suspect explains leaves the others clear.
    const bool is_suspect = VerdictOf(run.task) != Verdict::kClear;
    if (!suspects.empty() && !is_suspect)
      continue;
    CrashRole role = CrashRole::kBeside;
    if (crash.runs.size() == 1)
      role = CrashRole::kAlone;
    else if (is_suspect || run.started >= newest - kSameStart)
      role = CrashRole::kNewest;
    Add({.task = run.task,
         .incarnation = crash.incarnation,
         .role = role,
         .is_certain = crash.is_certain},
        now);
    if (VerdictOf(run.task) != Verdict::kClear)
      blamed.push_back(run.task);
  }
  for (const std::string& task : blamed) {
    if (VerdictOf(task) == Verdict::kCause)
      ClearOthers(task);
  }
  return blamed;
}

void CrashHistory::Confirm(IncarnationId incarnation) {
  for (auto& [task, entries] : tasks_) {
    const auto it = entries.find(incarnation);
    if (it == entries.end() || it->second.is_certain)
      continue;
    it->second.is_certain = true;
    it->second.is_sent = false;
    it->second.is_stored = false;
    MarkTask(task);
  }
}

void CrashHistory::Add(const CrashRecord& record, Time now) {
  Entries& entries = tasks_[record.task];
  const Verdict before = VerdictOf(entries);
  const auto [it, is_new] = entries.try_emplace(
      record.incarnation, Entry{.role = record.role,
                                .is_certain = record.is_certain,
                                .added = now,
                                .is_own = true});
  if (!is_new)
    return;
  ++size_;
  MarkTask(record.task);
  if (before != Verdict::kCause && VerdictOf(entries) == Verdict::kCause)
    ++causes_;
  DropOldest();
}

// Tasks that are clear concern no other process.
void CrashHistory::MarkTask(const std::string& task) {
  const Entries& entries = tasks_.at(task);
  if (VerdictOf(entries) == Verdict::kClear)
    return;
  for (const auto& [incarnation, entry] : entries) {
    if (!entry.is_sent && !entry.is_stored)
      changed_.emplace(task, incarnation);
  }
}

void CrashHistory::Erase(const std::string& task, IncarnationId incarnation) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end())
    return;
  const auto entry = it->second.find(incarnation);
  if (entry == it->second.end())
    return;
  if (entry->second.is_sent || entry->second.is_stored)
    changed_.emplace(task, incarnation);
  else
    changed_.erase({task, incarnation});
  it->second.erase(entry);
  --size_;
  if (it->second.empty())
    tasks_.erase(it);
}

void CrashHistory::ClearOthers(const std::string& cause) {
  std::vector<Key> explained;
  for (const auto& [task, entries] : tasks_) {
    if (task == cause)
      continue;
    for (const auto& [incarnation, entry] : tasks_.at(cause)) {
      if (entries.contains(incarnation))
        explained.emplace_back(task, incarnation);
    }
  }
  for (const auto& [task, incarnation] : explained)
    Erase(task, incarnation);
}

void CrashHistory::Withdraw(IncarnationId incarnation) {
  std::vector<std::string> tasks;
  for (const auto& [task, entries] : tasks_) {
    if (entries.contains(incarnation))
      tasks.push_back(task);
  }
  for (const std::string& task : tasks)
    Erase(task, incarnation);
}

void CrashHistory::DidEnd(const std::string& task) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end())
    return;
  const Entries entries = it->second;
  for (const auto& [incarnation, entry] : entries)
    Erase(task, incarnation);
}

void CrashHistory::Learn(const CrashRecord& record, Time now) {
  const auto [it, is_new] = tasks_[record.task].try_emplace(
      record.incarnation, Entry{.role = record.role,
                                .is_certain = record.is_certain,
                                .added = now,
                                .is_stored = true});
  Entry& entry = it->second;
  if (record.is_certain || !entry.is_certain) {
    entry.is_certain = record.is_certain;
    entry.is_stored = true;
    changed_.erase({record.task, record.incarnation});
  }
  if (is_new)
    ++size_;
  if (VerdictOf(record.task) == Verdict::kCause)
    ClearOthers(record.task);
  DropOldest();
}

void CrashHistory::Unlearn(const std::string& task, IncarnationId incarnation) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end())
    return;
  const auto entry = it->second.find(incarnation);
  // A record that is still to be stored is newer than the removal.
  if (entry == it->second.end() || changed_.contains({task, incarnation}))
    return;
  entry->second.is_sent = false;
  entry->second.is_stored = false;
  Erase(task, incarnation);
}

std::vector<CrashHistory::Change> CrashHistory::TakeChanges(std::size_t most) {
  std::vector<Change> changes;
  while (!changed_.empty() && changes.size() < most) {
    const auto [task, incarnation] = *changed_.begin();
    changed_.erase(changed_.begin());
    const auto it = tasks_.find(task);
    Change change{.record = {.task = task, .incarnation = incarnation},
                  .is_removal = true};
    if (it != tasks_.end()) {
      if (const auto entry = it->second.find(incarnation);
          entry != it->second.end()) {
        change.record.role = entry->second.role;
        change.record.is_certain = entry->second.is_certain;
        change.is_removal = false;
        entry->second.is_sent = true;
      }
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

void CrashHistory::ReturnChanges(const std::vector<Change>& changes) {
  for (const Change& change : changes)
    changed_.emplace(change.record.task, change.record.incarnation);
}

std::vector<CrashRecord> CrashHistory::Unstored(std::size_t most) const {
  std::vector<CrashRecord> records;
  for (const auto& [task, entries] : tasks_) {
    if (VerdictOf(entries) == Verdict::kClear)
      continue;
    for (const auto& [incarnation, entry] : entries) {
      if (entry.is_own && !entry.is_stored && records.size() < most)
        records.push_back({.task = task,
                           .incarnation = incarnation,
                           .role = entry.role,
                           .is_certain = entry.is_certain});
    }
  }
  return records;
}

void CrashHistory::Expire(bool removes_orphans, Time now) {
  std::vector<Key> expired;
  std::vector<Key> forgotten;
  for (const auto& [task, entries] : tasks_) {
    for (const auto& [incarnation, entry] : entries) {
      const Duration age = now - entry.added;
      if (age > kRetention && entry.is_own)
        expired.emplace_back(task, incarnation);
      else if (age > 2 * kRetention)
        (removes_orphans ? expired : forgotten).emplace_back(task, incarnation);
    }
  }
  for (const auto& [task, incarnation] : expired)
    Erase(task, incarnation);
  for (const auto& [task, incarnation] : forgotten)
    Unlearn(task, incarnation);
}

void CrashHistory::DropOldest() {
  while (size_ > kMostRecords) {
    std::optional<Key> oldest;
    Time added = Time::max();
    for (const auto& [task, entries] : tasks_) {
      for (const auto& [incarnation, entry] : entries) {
        if (entry.added < added) {
          added = entry.added;
          oldest = Key(task, incarnation);
        }
      }
    }
    Erase(oldest->first, oldest->second);
  }
}

}  // namespace mustardbank
