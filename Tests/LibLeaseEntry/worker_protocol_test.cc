#include "platform/worker_protocol.h"

#include <CppUTest/TestHarness.h>

#include "LibLease/lease_dispatcher.h"
#include "LibSchedule/test_jobs.h"

namespace mustardbank {

namespace {

constexpr std::uint64_t kToken = 7;

platform::RenewReply ReplyWith(const std::string& fields) {
  return platform::DecodeRenewReply(HttpResponse{
      .body = R"({"clockMs":5000,"born":1,"running":[],"ended":[])" + fields +
              "}"});
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(WorkerProtocol) {
  EventLog log{"test"};
  LeaseDispatcher dispatcher{LeaseTiming{}, log};
  Time now{std::chrono::seconds(100)};

  void Own(std::int64_t millicores) {
    dispatcher.Own(
        {.id = "w",
         .service = "guide",
         .endpoint = {.ip = 0x7F000001, .port = 1},
         .data_center = "rif",
         .capacity = {.millicores = millicores, .memory_mb = 100'000},
         .incarnation = 1},
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
  Renew(ReplyWith(R"(,"capacity":{"cpu":54000,"memMb":100000,"gpu":0})"));
  const std::size_t starts = Starts("job", 3);
  CHECK_EQUAL(2, starts);
}

}  // namespace mustardbank
