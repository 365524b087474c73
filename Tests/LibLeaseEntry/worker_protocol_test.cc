#include "platform/worker_protocol.h"

#include <CppUTest/TestHarness.h>

#include "LibLease/lease_dispatcher.h"
#include "LibSchedule/test_jobs.h"

namespace mustardbank {

namespace {

constexpr std::uint64_t kToken = 7;

platform::RenewReply ReplyWith(const std::string& capacity,
                               int clock_ms = 5000,
                               int born = 1) {
  return platform::DecodeRenewReply(HttpResponse{
      .body = R"({"running":[],"ended":[],"clockMs":)" +
              std::to_string(clock_ms) + R"(,"born":)" + std::to_string(born) +
              R"(,"capacity":)" + capacity + "}"});
}

const std::string kSmall = R"({"cpu":54000,"memMb":100000,"gpu":0})";
const std::string kLarge = R"({"cpu":96000,"memMb":100000,"gpu":0})";

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(WorkerProtocol) {
  EventLog log{"test"};
  LeaseDispatcher dispatcher{LeaseTiming{}, log};
  Time now{std::chrono::seconds(100)};

  void Own(std::int64_t millicores, std::uint64_t incarnation = 1) {
    dispatcher.Own(
        {.id = "w",
         .service = "guide",
         .endpoint = {.ip = 0x7F000001, .port = 1},
         .data_center = "rif",
         .capacity = {.millicores = millicores, .memory_mb = 100'000},
         .incarnation = incarnation},
        kToken, now);
  }

  // Answers the next renewal with the reply.
  void Renew(const platform::RenewReply& reply) {
    now += std::chrono::seconds(1);
    dispatcher.Tick(now);
    for (const LeaseAction& action : dispatcher.TakeActions(now)) {
      if (const auto* renewal = std::get_if<RenewCommand>(&action))
        dispatcher.DidRenew(*renewal, reply.answer, reply.report, now);
    }
  }

  std::size_t Starts(const std::string& job, std::uint32_t tasks) {
    dispatcher.Submit(MakeJob(job, now, {.tasks = tasks}), now);
    std::size_t starts = 0;
    for (const LeaseAction& action : dispatcher.TakeActions(now))
      starts += std::holds_alternative<StartCommand>(action) ? 1 : 0;
    return starts;
  }
};

TEST(WorkerProtocol, starts_fit_into_the_capacity_last_reported) {
  Own(96'000);
  Renew(ReplyWith(kSmall));
  const std::size_t starts = Starts("job", 3);
  CHECK_EQUAL(2, starts);
}

TEST(WorkerProtocol, capacity_that_has_grown_again_is_used) {
  Own(96'000);
  Renew(ReplyWith(kSmall, 5000));
  Renew(ReplyWith(kLarge, 6000));
  const std::size_t starts = Starts("job", 3);
  CHECK_EQUAL(3, starts);
}

TEST(WorkerProtocol, report_that_was_overtaken_does_not_restore_the_capacity) {
  Own(96'000);
  Renew(ReplyWith(kSmall, 6000));
  Renew(ReplyWith(kLarge, 5000));
  const std::size_t starts = Starts("job", 3);
  CHECK_EQUAL(2, starts);
}

TEST(WorkerProtocol, restarted_worker_has_its_own_capacity) {
  Own(96'000);
  Renew(ReplyWith(kSmall, 6000, /*born=*/1));
  Renew(ReplyWith(kLarge, 10, /*born=*/2));
  // It may have restarted as another kind.
  CHECK_EQUAL(0, Starts("early", 3));
  Own(96'000, /*incarnation=*/2);
  const std::size_t starts = Starts("job", 3);
  CHECK_EQUAL(3, starts);
}

TEST(WorkerProtocol, unreadable_capacity_leaves_the_last_one_in_force) {
  Own(96'000);
  Renew(ReplyWith(kSmall, 5000));
  Renew(ReplyWith(R"("all")", 6000));
  CHECK_EQUAL(1U, dispatcher.counters().unreadable_capacities);
  const std::size_t starts = Starts("job", 3);
  CHECK_EQUAL(2, starts);
}

}  // namespace mustardbank
