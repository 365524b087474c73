#include <CppUTest/TestHarness.h>

#include "LibCore/event_log.h"

namespace mustardbank {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(EventLog) {
  Time now{std::chrono::seconds(100)};
};

TEST(EventLog, line_has_its_fields_in_order) {
  EventLog log("vm");
  log.Write(LogEvent::kJobRefused, now)
      .Add(LogField::kJob, "ab")
      .Add(LogField::kQueued, 3)
      .Add(LogField::kReason, "two words");
  CHECK_EQUAL(
      std::string("ts_ms=100000 process=vm event=job_refused job=ab queued=3 "
                  "reason=\"two words\"\n"),
      std::string(log.pending()));
}

TEST(EventLog, every_event_and_field_has_a_name) {
  for (const std::string_view name : kLogEventNames.names)
    CHECK(!name.empty());
  for (const std::string_view name : kLogFieldNames.names)
    CHECK(!name.empty());
}

TEST(EventLog, lines_beyond_the_budget_are_dropped_and_counted) {
  EventLog log("vm", {.lines_per_second = 10});
  for (int i = 0; i < 100; ++i)
    log.Write(LogEvent::kJobReceived, now);
  CHECK_EQUAL(90, log.dropped());
  log.Write(LogEvent::kStoreLost, now, LogBudget::kState);
  CHECK(log.pending().find("event=lines_dropped count=90") !=
        std::string_view::npos);
  CHECK(log.pending().find("event=store_lost") != std::string_view::npos);
}

TEST(EventLog, budget_is_renewed_each_second) {
  EventLog log("vm", {.lines_per_second = 10});
  for (int i = 0; i < 100; ++i) {
    log.Write(LogEvent::kJobReceived, now);
    now += std::chrono::milliseconds(100);
  }
  CHECK_EQUAL(0, log.dropped());
}

TEST(EventLog, buffer_is_bounded_if_it_is_not_emptied) {
  EventLog log("vm", {.lines_per_second = 1'000'000, .buffer_bytes = 4096});
  for (int i = 0; i < 10'000; ++i)
    log.Write(LogEvent::kJobReceived, now).Add(LogField::kJob, "ab");
  CHECK(log.pending().size() < 4096 + 200);
  CHECK(log.dropped() > 9'000);
}

}  // namespace mustardbank
