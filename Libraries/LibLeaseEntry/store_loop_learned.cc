// What the store keeps for later processes: what was learned about queues and
// workers, and which tasks crash their workers.
#include <utility>

#include "LibFiber/fiber_errors.h"
#include "LibFiber/fiber_thread.h"
#include "LibLease/worker_list_sharing.h"
#include "LibLeaseEntry/store_loop.h"

namespace mustardbank {

namespace {

using std::chrono::milliseconds;

// Queues change slowly, and calls to the store are paid for.
constexpr milliseconds kLearnedInterval{10'000};
constexpr milliseconds kRecallInterval{60'000};
// A suspected task starts again when its lease has lapsed, 0.9 s after a crash,
// and each change of the table is a call of every VM.
constexpr milliseconds kCrashesInterval{200};

}  // namespace

bool StoreLoop::RecallRow(const StoreRow& row) {
  if (HoldsLearnedClasses(row)) {
    const auto classes = DecodeLearnedClasses(row);
    if (classes)
      control_.dispatcher().Recall(*classes);
    if (classes && row.key == LearnedClassesKey(self_.data_center))
      stored_classes_ = *classes;
    return classes.has_value();
  }
  const auto queues = DecodeLearnedQueues(row);
  if (queues)
    control_.dispatcher().Recall(*queues, BootClock::now());
  return queues.has_value();
}

void StoreLoop::RecallLearned() {
  while (true) {
    AwaitStore();
    const platform::StoreResult<RowPage> page =
        store_.Read(kLearnedTable, kCallTimeout);
    DidCall(page);
    if (!page) {
      SleepFiber(kRetryDelay);
      continue;
    }
    for (const StoreRow& row : page->rows) {
      if (RecallRow(row))
        continue;
      control_.log()
          .Write(LogEvent::kStoreRowUnreadable, BootClock::now(),
                 LogBudget::kState)
          .Add(LogField::kReason, row.key);
    }
    recalled_at_ = BootClock::now();
    return;
  }
}

void StoreLoop::KeepLearned() {
  while (true) {
    SleepFiber(kLearnedInterval);
    const LeaseDispatcher& dispatcher = control_.dispatcher();
    // A VM that is to own workers later needs what is learned until then.
    if (!availability_.is_lost() && dispatcher.workers().empty() &&
        BootClock::now() - recalled_at_ >= kRecallInterval)
      RecallLearned();
    const LearnedQueues queues = dispatcher.Learned();
    if (availability_.is_lost() || queues.empty() ||
        !IsListReader(control_.ownership(), BootClock::now()))
      continue;
    DidCall(store_.Change(EncodeLearnedQueues(self_.data_center, queues),
                          kCallTimeout));
    const LearnedClasses classes = dispatcher.LearnedWorkers();
    // An empty row replaces one that no longer holds.
    if (classes == stored_classes_)
      continue;
    const auto written = store_.Change(
        EncodeLearnedClasses(self_.data_center, classes), kCallTimeout);
    DidCall(written);
    if (written)
      stored_classes_ = classes;
  }
}

void StoreLoop::KeepCrashes() {
  while (true) {
    SleepFiber(kCrashesInterval);
    AwaitStore();
    CrashHistory& crashes = control_.dispatcher().crashes();
    const Time now = BootClock::now();
    crashes.Expire(control_.ownership().OwnsAny() &&
                       IsListReader(control_.ownership(), now),
                   now);
    const auto changes =
        crashes.TakeChanges(platform::RowStoreClient::kMostChanges);
    if (changes.empty())
      continue;
    std::vector<RowChange> rows;
    rows.reserve(changes.size());
    for (const CrashHistory::Change& change : changes)
      rows.push_back(EncodeCrash(change));
    const auto written = store_.Change(rows, kCallTimeout);
    DidCall(written);
    if (written)
      continue;
    // Changes that the store can't read would hold up all later ones.
    if (written.error().failure == StoreFailure::kMalformed ||
        written.error().failure == StoreFailure::kRejected)
      control_.log()
          .Write(LogEvent::kStoreRowUnreadable, BootClock::now(),
                 LogBudget::kState)
          .Add(LogField::kCount, changes.size())
          .Add(LogField::kReason, "crashes: " + written.error().reason);
    else
      crashes.ReturnChanges(changes);
    SleepFiber(kRetryDelay);
  }
}

void StoreLoop::ApplyCrashRow(const StoreRow& row) {
  CrashHistory& crashes = control_.dispatcher().crashes();
  const Time now = BootClock::now();
  const auto record = DecodeCrash(row);
  if (!record)
    control_.log()
        .Write(LogEvent::kStoreRowUnreadable, now, LogBudget::kState)
        .Add(LogField::kReason, row.key);
  else if (row.deleted)
    crashes.Unlearn(record->task, record->incarnation);
  else
    crashes.Learn(*record, now);
}

}  // namespace mustardbank
