// Capacities that change while a worker runs, and registrations that can't be
// read meanwhile.
#include <CppUTest/TestHarness.h>

#include "lease_fixture.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kValidity{4200};

LeaseTiming TimingWithValidity() {
  LeaseTiming timing;
  timing.capacity = {.validity = kValidity, .share = 0.5};
  return timing;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(Capacity) {
  LeaseFixture fixture{TimingWithValidity()};

  WorkerEntry Register(std::int64_t millicores) {
    WorkerEntry entry = MakeWorker("w1", millicores);
    entry.registered.ms = fixture.WorkerClock();
    return entry;
  }

  void Read(const WorkerEntry& entry) {
    if (fixture.dispatcher.workers().at("w1").entry != entry)
      fixture.dispatcher.Own(entry, kToken, fixture.now);
    else
      fixture.dispatcher.Confirm(entry, fixture.now);
    fixture.Pump();
  }

  void PassOutage(milliseconds duration) {
    for (milliseconds passed{}; passed < duration;
         passed += milliseconds(100)) {
      fixture.Advance(milliseconds(100));
      fixture.AnswerRenewals({});
    }
  }

  std::size_t StartsOf(std::uint32_t tasks, std::int64_t millicores) {
    fixture.Submit(MakeJob("job" + std::to_string(++jobs), fixture.now,
                           {.tasks = tasks, .millicores = millicores}));
    return fixture.starts.size();
  }

  int jobs = 0;
};

// Workers that shrank during an outage of the store were started beyond their
// capacity, 223 to 358 times on each day played.
TEST(Capacity, unconfirmed_worker_gets_tasks_for_its_assumed_share) {
  fixture.OwnVerified(Register(64'000));
  PassOutage(kValidity + milliseconds(200));
  CHECK_EQUAL(1, StartsOf(2, 27'000));
}

TEST(Capacity, worker_gets_all_its_tasks_while_its_registration_is_recent) {
  fixture.OwnVerified(Register(64'000));
  PassOutage(kValidity - milliseconds(500));
  CHECK_EQUAL(2, StartsOf(2, 27'000));
}

TEST(Capacity, waiting_task_starts_once_the_capacity_is_confirmed) {
  fixture.OwnVerified(Register(64'000));
  PassOutage(kValidity + milliseconds(200));
  CHECK_EQUAL(1, StartsOf(2, 27'000));
  Read(Register(64'000));
  CHECK_EQUAL(2, fixture.starts.size());
}

TEST(Capacity, task_that_no_assumed_share_holds_is_refused_at_once) {
  fixture.OwnVerified(Register(64'000));
  PassOutage(kValidity + milliseconds(200));
  CHECK_EQUAL(0, StartsOf(1, 40'000));
  CHECK_EQUAL(1, fixture.finished.size());
  CHECK(fixture.finished[0].result.outcome == JobOutcome::kRefused);
  CHECK(fixture.finished[0].result.retry_after.count() > 0);
}

TEST(Capacity, least_share_seen_before_an_outage_is_assumed_in_it) {
  fixture.OwnVerified(Register(64'000));
  Read(Register(16'000));
  PassOutage(milliseconds(500));
  Read(Register(64'000));
  PassOutage(kValidity + milliseconds(200));
  CHECK_EQUAL(0, StartsOf(1, 27'000));
}

TEST(Capacity, report_that_names_the_capacity_confirms_it) {
  const WorkerEntry entry = Register(64'000);
  fixture.OwnVerified(entry);
  PassOutage(kValidity);
  fixture.Advance(milliseconds(700));
  fixture.AnswerRenewals({.capacity = entry.capacity});
  CHECK_EQUAL(2, StartsOf(2, 27'000));
}

// Lists of other VMs may arrive in another order than they were read.
TEST(Capacity, older_registration_never_raises_the_capacity) {
  const WorkerEntry older = Register(64'000);
  fixture.OwnVerified(older);
  PassOutage(milliseconds(500));
  Read(Register(32'000));
  Read(older);
  CHECK_EQUAL(1, StartsOf(2, 27'000));
}

// The clock of a new incarnation may be behind that of the one before.
TEST(Capacity, registration_of_an_earlier_incarnation_never_raises_it) {
  WorkerEntry earlier = Register(64'000);
  earlier.incarnation = 3;
  earlier.registered.ms += 60'000;
  WorkerEntry later = Register(32'000);
  later.incarnation = 4;
  fixture.OwnVerified(earlier);
  Read(later);
  Read(earlier);
  // Nothing starts before a report of the new incarnation.
  fixture.Advance(milliseconds(10));
  fixture.AnswerRenewals({.incarnation = 4});
  CHECK_EQUAL(1, StartsOf(2, 27'000));
}

}  // namespace mustardbank
