// Remembers which tasks ran on workers that crashed, and tells tasks that crash
// their workers from tasks that only shared one with them.
//
// A crash is blamed on the runs that were started last: a task that crashes its
// workers does so soon after its start, and older runs had outlived theirs. A
// blamed task runs alone next. If that worker crashes as well, nothing else can
// be the cause; if the task ends, it is cleared.
//
// Records are kept for each task and incarnation of a worker. Adding one twice
// changes nothing, so that processes can exchange them in any order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

// Identifies one incarnation of a worker.
using IncarnationId = std::uint64_t;

IncarnationId IncarnationIdOf(const std::string& worker,
                              std::uint64_t incarnation);

// What else the worker ran when it crashed.
enum class CrashRole {
  kAlone,   // the task alone
  kNewest,  // also tasks that were started earlier or at the same time
  kBeside,  // a task that was started later
};

inline constexpr EnumNames<CrashRole, 3> kCrashRoleNames{
    {"alone", "newest", "beside"}};

struct CrashRecord {
  std::string task;
  IncarnationId incarnation = 0;
  CrashRole role = CrashRole::kBeside;
  // The worker is known to have crashed. Otherwise it may only have been
  // unreachable.
  bool is_certain = true;

  bool operator==(const CrashRecord&) const = default;
};

// Task and worker's incarnation of a record, as one text.
std::string CrashKey(const std::string& task, IncarnationId incarnation);
// Empty if the text is no such key. The record has no role.
std::optional<CrashRecord> ParseCrashKey(std::string_view key);

class CrashHistory {
 public:
  enum class Verdict {
    kClear,
    kSuspect,  // must not share a worker
    kCause,    // is not started again
  };

  // A run at the time of a crash.
  struct Run {
    std::string task;
    Time started;
  };

  // A change of a record that other processes must know of.
  struct Change {
    CrashRecord record;
    bool is_removal = false;
  };

  // What a worker ran when it was lost.
  struct Crash {
    IncarnationId incarnation = 0;
    std::vector<Run> runs;
    bool is_certain = true;
  };

  // Returns the tasks that are blamed.
  std::vector<std::string> DidCrash(const Crash& crash, Time now);
  // A loss that was not certain turns out to have been a crash.
  void Confirm(IncarnationId incarnation);
  // The worker has not crashed after all: it answers, in the same incarnation.
  void Withdraw(IncarnationId incarnation);
  // A run of the task ended, and its worker is still up.
  void DidEnd(const std::string& task);
  Verdict VerdictOf(const std::string& task) const;
  // Workers that were lost under the task, for certain or not.
  std::size_t CrashesOf(const std::string& task) const;

  // Records of other processes.
  void Learn(const CrashRecord& record, Time now);
  void Unlearn(const std::string& task, IncarnationId incarnation);
  // Takes changes to store, of at most `most` records. The caller returns those
  // that it could not store.
  std::vector<Change> TakeChanges(std::size_t most);
  void ReturnChanges(const std::vector<Change>& changes);
  // Own records of suspects that did not come back from the store yet, at most
  // `most`.
  std::vector<CrashRecord> Unstored(std::size_t most) const;

  // Drops records older than the time for which jobs can come again. Records of
  // other processes are left to these for as long again; then `removes_orphans`
  // says whether this process removes them from the store.
  void Expire(bool removes_orphans, Time now);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  // Tasks found to be the cause, since the start of the process.
  std::uint64_t causes() const { return causes_; }

  static constexpr Duration kRetention = std::chrono::seconds(60);
  // Beyond this number of records, the oldest are dropped.
  static constexpr std::size_t kMostRecords = 4000;

 private:
  struct Entry {
    CrashRole role = CrashRole::kBeside;
    bool is_certain = true;
    Time added;
    bool is_own = false;
    bool is_sent = false;    // to the store
    bool is_stored = false;  // came back from the store
  };
  using Entries = std::map<IncarnationId, Entry>;
  using Key = std::pair<std::string, IncarnationId>;

  static Verdict VerdictOf(const Entries& entries);
  void Add(const CrashRecord& record, Time now);
  void Erase(const std::string& task, IncarnationId incarnation);
  void MarkTask(const std::string& task);
  // Clears the tasks that shared crashed workers with the cause.
  void ClearOthers(const std::string& cause);
  void DropOldest();

  std::map<std::string, Entries> tasks_;
  std::set<Key> changed_;
  std::size_t size_ = 0;  // records
  std::uint64_t causes_ = 0;
};

inline constexpr EnumNames<CrashHistory::Verdict, 3> kCrashVerdictNames{
    {"clear", "suspect", "cause"}};

}  // namespace mustardbank
