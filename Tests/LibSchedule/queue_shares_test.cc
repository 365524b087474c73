#include "LibSchedule/queue_shares.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <vector>

#include "test_jobs.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

constexpr double kCapacity = 768'000;
// Of its proportional part of the usable capacity.
constexpr double kFloor = 0.5;

struct TestQueue {
  std::uint32_t priority = 0;
  std::uint32_t tasks = 0;
  int run_ms = 0;
  int interval_ms = 0;
  int use_percent = 0;  // of the whole capacity
};

JobRequest MakeQueueJob(std::size_t index, const TestQueue& queue, Time now) {
  JobRequest job = MakeJob("job", now, {.tasks = queue.tasks});
  job.policy.name = std::to_string(index);
  job.policy.priority = queue.priority;
  return job;
}

JobEstimate EstimateQueueJob(const JobRequest& job, const TestQueue& queue) {
  return EstimateJob(job, {milliseconds(queue.run_ms)});
}

// Jobs of all queues arrive at their intervals until `end`.
void Learn(QueueShares& shares,
           const std::vector<TestQueue>& queues,
           Time begin,
           Time end) {
  for (Time now = begin; now < end; now += milliseconds(10)) {
    for (std::size_t i = 0; i < queues.size(); ++i) {
      if ((now - begin) / milliseconds(10) % (queues[i].interval_ms / 10) != 0)
        continue;
      const JobRequest job = MakeQueueJob(i, queues[i], now);
      shares.DidArrive(job, EstimateQueueJob(job, queues[i]), kCapacity, now);
    }
  }
}

QueueUses UsesOf(const std::vector<TestQueue>& queues) {
  QueueUses uses;
  for (std::size_t i = 0; i < queues.size(); ++i)
    uses[std::to_string(i)] = queues[i].use_percent * kCapacity / 100;
  return uses;
}

rc::Gen<std::vector<TestQueue>> GenQueues() {
  const auto range = [](int least, int limit) {
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, limit));
  };
  return rc::gen::resize(
      6, rc::gen::nonEmpty(rc::gen::container<std::vector<TestQueue>>(
             rc::gen::build<TestQueue>(
                 rc::gen::set(&TestQueue::priority,
                              rc::gen::cast<std::uint32_t>(range(0, 4))),
                 rc::gen::set(&TestQueue::tasks,
                              rc::gen::cast<std::uint32_t>(range(1, 33))),
                 rc::gen::set(&TestQueue::run_ms, range(20, 1500)),
                 rc::gen::set(&TestQueue::interval_ms, range(10, 1000)),
                 rc::gen::set(&TestQueue::use_percent, range(0, 120))))));
}

// Checks the property with a fixed seed.
template <typename Testable>
void CheckProperty(Testable testable) {
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = 100;
  const auto result =
      rc::detail::checkTestable(testable, rc::detail::TestMetadata(), params);
  CHECK_TRUE(result.template is<rc::detail::SuccessResult>());
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(QueueShares) {
  const Time begin{std::chrono::seconds(100)};
  QueueShares shares;
  // The mix of Swap Station at a load of some 0.6, in long and short queues.
  const std::vector<TestQueue> mix{
      {.priority = 0, .tasks = 8, .run_ms = 60, .interval_ms = 80},
      {.priority = 2, .tasks = 4, .run_ms = 900, .interval_ms = 400},
      {.priority = 1, .tasks = 2, .run_ms = 200, .interval_ms = 60}};

  ShareDecision Decide(std::size_t index, const QueueUses& uses) {
    const JobRequest job = MakeQueueJob(index, mix[index], begin);
    return shares.Decide(job, EstimateQueueJob(job, mix[index]), kCapacity,
                         uses);
  }
};

// Guards against a burst of long tasks that takes what others need meanwhile.
TEST(QueueShares, burst_of_long_tasks_leaves_the_shares_of_others) {
  Learn(shares, mix, begin, begin + std::chrono::seconds(60));
  const QueueUses uses{{"1", 0.8 * kCapacity}};
  CHECK(!Decide(1, uses).is_allowed);
  CHECK(Decide(1, uses).reserved > 0);
  CHECK(Decide(0, uses).is_allowed);
  CHECK(Decide(2, uses).is_allowed);
}

// Guards against a share that is kept from tasks that end before others could
// need it.
TEST(QueueShares, short_tasks_borrow_what_a_patient_queue_can_wait_for) {
  Learn(shares, mix, begin, begin + std::chrono::seconds(60));
  CHECK(Decide(0, {{"0", 0.6 * kCapacity}, {"2", 0.1 * kCapacity}}).is_allowed);
}

// Guards against a queue that waits or is refused for the burst of another one.
TEST(QueueShares, queue_within_its_share_is_never_held) {
  CheckProperty([this] {
    const auto queues = *GenQueues();
    QueueShares learned;
    const Time end = begin + std::chrono::seconds(20);
    Learn(learned, queues, begin, end);
    const QueueUses all = learned.Shares(kCapacity);
    QueueUses uses = UsesOf(queues);
    for (std::size_t i = 0; i < queues.size(); ++i) {
      const JobRequest job = MakeQueueJob(i, queues[i], end);
      const JobEstimate estimate = EstimateQueueJob(job, queues[i]);
      QueueUses within = uses;
      within[job.policy.name] =
          std::max(0.0, all.at(job.policy.name) - estimate.peak_demand);
      RC_ASSERT(learned.Decide(job, estimate, kCapacity, within).is_allowed);
    }
  });
}

// Guards against starvation of the least urgent queue under overload, and
// against shares of more than the capacity.
TEST(QueueShares, each_queue_keeps_its_floor) {
  CheckProperty([this] {
    const auto queues = *GenQueues();
    QueueShares learned;
    Learn(learned, queues, begin, begin + std::chrono::seconds(20));
    const double usable = kPackedShare * kCapacity;
    double offered = 0;
    for (const auto& [name, demand] : learned.Learned())
      offered += demand.load * kCapacity;
    double total = 0;
    for (const auto& [name, share] : learned.Shares(kCapacity)) {
      total += share;
      // The prior of equal shares takes up to 3 s of 23.
      const double proportional =
          learned.Learned().at(name).load * kCapacity *
          std::min(1.0, usable / (offered + usable * 3 / 23));
      RC_ASSERT(share >= kFloor * proportional * 0.999);
    }
    RC_ASSERT(total <= usable * 1.001);
  });
}

// Guards against a queue that loses its share to an equally urgent one by its
// name.
TEST(QueueShares, equally_urgent_queues_divide_scarce_capacity_alike) {
  const TestQueue queue{.tasks = 16, .run_ms = 900, .interval_ms = 100};
  Learn(shares, {queue, queue}, begin, begin + std::chrono::seconds(60));
  const QueueUses divided = shares.Shares(kCapacity);
  DOUBLES_EQUAL(divided.at("0"), divided.at("1"), 0.01 * kCapacity);
}

// Guards against a change of admission where no capacity is scarce.
TEST(QueueShares, nothing_is_limited_with_ample_capacity_or_one_queue) {
  CheckProperty([this] {
    const auto queues = *GenQueues();
    QueueShares learned;
    const Time end = begin + std::chrono::seconds(5);
    Learn(learned, queues, begin, end);
    const QueueUses uses = UsesOf(queues);
    const QueueUses all = learned.Shares(kCapacity);
    double asked_for = 0;
    for (const auto& [name, use] : uses)
      asked_for += std::max(use, all.at(name));
    for (std::size_t i = 0; i < queues.size(); ++i) {
      const JobRequest job = MakeQueueJob(i, queues[i], end);
      const JobEstimate estimate = EstimateQueueJob(job, queues[i]);
      if (queues.size() == 1 || asked_for + estimate.peak_demand <= kCapacity)
        RC_ASSERT(learned.Decide(job, estimate, kCapacity, uses).is_allowed);
    }
  });
}

// Guards against a corrupt row that changes shares.
TEST(QueueShares, implausible_demand_is_not_taken_over) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  Learn(shares, mix, begin, begin + std::chrono::seconds(5));
  const QueueUses before = shares.Shares(kCapacity);
  for (const QueueDemand& demand : std::vector<QueueDemand>{
           QueueDemand::Unreadable(),
           {.load = nan, .seconds = 1e6},
           {.load = 1e6, .seconds = 1e6},
           {.load = 0.5, .peak_millicores = -1, .seconds = 1e6},
           {.load = 0.5, .run_ms = 1e300, .seconds = 1e6},
           {.load = 0.5, .seconds = -1}})
    CHECK(!shares.Recall("1", demand));
  CHECK(shares.Shares(kCapacity) == before);
}

// Guards against a wrong row that keeps capacity from other queues for minutes.
// 60 s are "some tens of seconds"; a tenth of the capacity is less than a job
// of usual width in a shard of 12 workers.
TEST(QueueShares, wrong_row_is_forgotten_within_a_minute) {
  const Time end = begin + std::chrono::seconds(60);
  QueueShares right;
  Learn(right, mix, begin, end);
  for (const QueueDemand& wrong : std::vector<QueueDemand>{
           {.load = 1, .seconds = 1e9},
           {.load = 16, .seconds = 1e9},
           {.peak_millicores = 1e9, .run_ms = 8e7, .seconds = 1e9}}) {
    shares = QueueShares();
    for (const char* queue : {"0", "1"})
      shares.Recall(queue, wrong);
    Learn(shares, mix, begin, end);
    for (const auto& [name, share] : right.Shares(kCapacity))
      DOUBLES_EQUAL(share, shares.Shares(kCapacity).at(name), 0.1 * kCapacity);
    CHECK(!Decide(1, {{"1", 0.8 * kCapacity}}).is_allowed);
  }
}

// Guards against shares for queues that exist only in a row.
TEST(QueueShares, recalled_queue_without_jobs_has_no_share) {
  CHECK(shares.Recall("gone", {.load = 1, .seconds = 1e9}));
  Learn(shares, mix, begin, begin + std::chrono::seconds(1));
  CHECK(!shares.Shares(kCapacity).contains("gone"));
}

}  // namespace mustardbank
