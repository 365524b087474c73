#include "LibSchedule/crash_history.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

namespace mustardbank {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = CrashHistory::Verdict;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(CrashHistory) {
  CrashHistory history;
  Time now{seconds(100)};

  CrashHistory::Run At(const std::string& task, int age_ms) const {
    return {.task = task, .started = now - milliseconds(age_ms)};
  }

  void Crash(IncarnationId incarnation, std::vector<CrashHistory::Run> runs) {
    history.DidCrash({.incarnation = incarnation, .runs = std::move(runs)},
                     now);
  }

  void Lose(IncarnationId incarnation, std::vector<CrashHistory::Run> runs) {
    history.DidCrash({.incarnation = incarnation,
                      .runs = std::move(runs),
                      .is_certain = false},
                     now);
  }

  void CheckVerdict(Verdict expected, const std::string& task) const {
    STRCMP_EQUAL(
        std::string(kCrashVerdictNames[expected]).c_str(),
        std::string(kCrashVerdictNames[history.VerdictOf(task)]).c_str());
  }

  // Passes all changes to another history and back, as the store would.
  void Exchange(CrashHistory & other) {
    for (const CrashHistory::Change& change : history.TakeChanges(1000)) {
      for (CrashHistory* reader : {&other, &history}) {
        if (change.is_removal)
          reader->Unlearn(change.record.task, change.record.incarnation);
        else
          reader->Learn(change.record, now);
      }
    }
  }
};

TEST(CrashHistory, only_the_newest_run_is_suspected_of_a_crash) {
  Crash(1, {At("old", 300), At("new", 5)});
  CheckVerdict(Verdict::kClear, "old");
  CheckVerdict(Verdict::kSuspect, "new");
}

TEST(CrashHistory, task_whose_second_crash_was_alone_is_the_cause) {
  Crash(1, {At("a", 300), At("b", 5)});
  Crash(2, {At("b", 5)});
  CheckVerdict(Verdict::kCause, "b");
}

TEST(CrashHistory, tasks_that_shared_a_worker_with_the_cause_are_cleared) {
  Crash(1, {At("a", 5), At("b", 5)});
  CheckVerdict(Verdict::kSuspect, "a");
  Crash(2, {At("b", 5)});
  CheckVerdict(Verdict::kClear, "a");
}

TEST(CrashHistory, suspect_explains_a_crash_whatever_its_age) {
  Crash(1, {At("b", 5)});
  Crash(2, {At("b", 300), At("c", 5)});
  CheckVerdict(Verdict::kClear, "c");
  CheckVerdict(Verdict::kCause, "b");
}

TEST(CrashHistory, task_that_is_always_older_is_the_cause_of_three_crashes) {
  Crash(1, {At("late", 300), At("a", 5)});
  CheckVerdict(Verdict::kClear, "late");
  Crash(2, {At("late", 300), At("b", 5)});
  CheckVerdict(Verdict::kSuspect, "late");
  Crash(3, {At("late", 300)});
  CheckVerdict(Verdict::kCause, "late");
}

TEST(CrashHistory, task_that_ended_is_clear) {
  Crash(1, {At("a", 5)});
  history.DidEnd("a");
  CheckVerdict(Verdict::kClear, "a");
  Crash(2, {At("a", 5)});
  CheckVerdict(Verdict::kSuspect, "a");
}

TEST(CrashHistory, unreachable_workers_are_no_crashes) {
  Lose(1, {At("a", 5)});
  Lose(2, {At("a", 5)});
  CheckVerdict(Verdict::kClear, "a");
  history.Withdraw(1);
  history.Withdraw(2);
  CHECK(history.empty());
}

TEST(CrashHistory, losses_that_prove_to_be_crashes_count) {
  Lose(1, {At("a", 5)});
  Lose(2, {At("a", 5)});
  history.Confirm(1);
  CheckVerdict(Verdict::kSuspect, "a");
  history.Confirm(2);
  CheckVerdict(Verdict::kCause, "a");
}

// Guards against endless starts where crashed workers stay silent.
TEST(CrashHistory, task_under_which_four_workers_were_lost_is_given_up) {
  for (IncarnationId incarnation = 1; incarnation <= 4; ++incarnation) {
    CHECK(history.VerdictOf("a") != Verdict::kCause);
    Lose(incarnation,
         {At("a", 5), At("other" + std::to_string(incarnation), 5)});
  }
  CheckVerdict(Verdict::kCause, "a");
}

TEST(CrashHistory, other_processes_learn_of_suspects_only) {
  CrashHistory other;
  Crash(1, {At("old", 300), At("new", 5)});
  Exchange(other);
  CHECK_EQUAL(1U, other.size());
  CHECK(other.VerdictOf("new") == Verdict::kSuspect);
}

TEST(CrashHistory, other_processes_learn_that_a_task_is_cleared) {
  CrashHistory other;
  Crash(1, {At("a", 5)});
  Exchange(other);
  history.DidEnd("a");
  Exchange(other);
  CHECK(other.empty());
}

TEST(CrashHistory, crashes_at_two_owners_add_up) {
  CrashHistory other;
  Crash(1, {At("a", 5)});
  Exchange(other);
  other.DidCrash({.incarnation = 2, .runs = {At("a", 5)}}, now);
  CHECK(other.VerdictOf("a") == Verdict::kCause);
}

TEST(CrashHistory, changes_that_were_not_stored_are_offered_again) {
  CrashHistory other;
  Crash(1, {At("a", 5)});
  history.ReturnChanges(history.TakeChanges(1000));
  CHECK_EQUAL(1U, history.Unstored(1000).size());
  Exchange(other);
  CHECK(other.VerdictOf("a") == Verdict::kSuspect);
  CHECK_EQUAL(0U, history.Unstored(1000).size());
}

TEST(CrashHistory, removal_that_is_older_than_a_record_does_not_remove_it) {
  Crash(1, {At("a", 5)});
  history.Unlearn("a", 1);
  CheckVerdict(Verdict::kSuspect, "a");
}

TEST(CrashHistory, keys_name_the_task_and_the_incarnation) {
  const auto record = ParseCrashKey(CrashKey("job/1.0.0.0", 17));
  CHECK(record.has_value());
  STRCMP_EQUAL("job/1.0.0.0", record->task.c_str());
  CHECK_EQUAL(17U, record->incarnation);
  for (const char* key : {"", "/", "a", "a/", "/5", "a/5x", "a/-5"})
    CHECK(!ParseCrashKey(key).has_value());
}

TEST(CrashHistory, records_lead_to_the_same_verdict_in_any_order) {
  std::mt19937 random(7);
  std::vector<CrashRecord> records{
      {.task = "a", .incarnation = 1, .role = CrashRole::kNewest},
      {.task = "a", .incarnation = 2, .role = CrashRole::kAlone},
      {.task = "b", .incarnation = 3, .role = CrashRole::kBeside},
      {.task = "b", .incarnation = 4, .role = CrashRole::kNewest},
      {.task = "c", .incarnation = 5, .is_certain = false}};
  for (int i = 0; i < 50; ++i) {
    CrashHistory learned;
    for (int repeat = 0; repeat < 2; ++repeat) {
      std::shuffle(records.begin(), records.end(), random);
      for (const CrashRecord& record : records)
        learned.Learn(record, now);
    }
    CHECK(learned.VerdictOf("a") == Verdict::kCause);
    CHECK(learned.VerdictOf("b") == Verdict::kSuspect);
    CHECK(learned.VerdictOf("c") == Verdict::kClear);
  }
}

TEST(CrashHistory, records_expire) {
  CrashHistory other;
  Crash(1, {At("a", 5)});
  Exchange(other);
  now += CrashHistory::kRetention + seconds(1);
  history.Expire(/*removes_orphans=*/false, now);
  CHECK(history.empty());
  other.Expire(/*removes_orphans=*/true, now);
  CHECK(!other.empty());
  Exchange(other);
  CHECK(other.empty());
}

TEST(CrashHistory, records_of_a_process_that_is_gone_are_removed) {
  history.Learn({.task = "a", .incarnation = 1, .role = CrashRole::kAlone},
                now);
  now += 2 * CrashHistory::kRetention + seconds(1);
  history.Expire(/*removes_orphans=*/true, now);
  const auto changes = history.TakeChanges(1000);
  CHECK_EQUAL(1U, changes.size());
  CHECK(changes[0].is_removal);
}

TEST(CrashHistory, number_of_records_is_bounded) {
  for (IncarnationId incarnation = 0;
       incarnation < CrashHistory::kMostRecords + 20; ++incarnation) {
    now += milliseconds(1);
    Crash(incarnation, {At("task" + std::to_string(incarnation), 5)});
  }
  CHECK_EQUAL(CrashHistory::kMostRecords, history.size());
  CheckVerdict(Verdict::kClear, "task0");
}

}  // namespace mustardbank
