#include <CppUTest/TestHarness.h>

#include <sstream>

#include "LibLeaseEntry/request_history.h"

namespace mustardbank {

namespace {

RequestHistory HistoryOf(const std::string& log) {
  RequestHistory history("00000000000000ab");
  std::istringstream file(log);
  history.Read(file);
  return history;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(RequestHistory){};

TEST(RequestHistory, line_is_read_with_its_fields) {
  const auto record = ParseLogRecord(
      R"(collector: ts_ms=12 process=vm event=store_lost reason="no \"way\"")");
  CHECK(record.has_value());
  CHECK_EQUAL(12, record->wall_ms);
  CHECK(record->event == LogEvent::kStoreLost);
  CHECK_EQUAL("no \"way\"", record->Field(LogField::kReason));
}

TEST(RequestHistory, other_text_is_skipped) {
  CHECK(!ParseLogRecord("no line of ours"));
  CHECK(!ParseLogRecord("ts_ms=x process=vm event=started"));
  CHECK(!ParseLogRecord("ts_ms=1 process=vm event=unheard_of"));
}

TEST(RequestHistory, lines_of_several_processes_are_put_in_order) {
  const RequestHistory history = HistoryOf(
      "ts_ms=30 process=b event=job_refused job=00000000000000ab "
      "cause=no_room queued=4 expected_ms=60\n"
      "ts_ms=10 process=a event=job_received job=00000000000000ab\n"
      "ts_ms=20 process=a event=job_received job=00000000000000ff\n"
      "ts_ms=40 process=a event=answered job=00000000000000ab status=429 "
      "cause=no_room\n");
  const auto lines = history.Lines();
  CHECK_EQUAL(3, lines.size());
  CHECK(lines[0].event == LogEvent::kJobReceived);
  CHECK(lines[2].event == LogEvent::kAnswered);
  CHECK_EQUAL("no_room", history.CauseName());
  CHECK(history.Cause().find("4 jobs were queued") != std::string::npos);
}

TEST(RequestHistory, state_changes_of_involved_workers_are_shown) {
  const RequestHistory history = HistoryOf(
      "ts_ms=10 process=a event=task_started task=00000000000000ab.0.0.0 "
      "worker=w1\n"
      "ts_ms=15 process=a event=worker_phase worker=w1 phase=suspect\n"
      "ts_ms=16 process=a event=worker_phase worker=w2 phase=suspect\n"
      "ts_ms=17 process=z event=store_lost\n"
      "ts_ms=20 process=a event=answered job=00000000000000ab "
      "cause=deadline\n");
  CHECK_EQUAL(3, history.Lines().size());
}

TEST(RequestHistory, request_without_an_answer_names_its_last_event) {
  const RequestHistory history =
      HistoryOf("ts_ms=10 process=a event=job_received job=00000000000000ab\n");
  CHECK(history.Cause().find("stopped before an answer") != std::string::npos);
  CHECK_EQUAL("unknown", history.CauseName());
}

TEST(RequestHistory, late_success_explains_its_delay) {
  const std::string cause =
      HistoryOf(
          "ts_ms=10 process=a event=job_received job=00000000000000ab\n"
          "ts_ms=10 process=a event=job_forwarded job=00000000000000ab peer=b\n"
          "ts_ms=12 process=b event=job_admitted job=00000000000000ab "
          "expected_ms=60\n"
          "ts_ms=45 process=b event=task_started task=00000000000000ab.0.0.0 "
          "run=1 worker=w1\n"
          "ts_ms=300 process=b event=task_ended task=00000000000000ab.0.0.0 "
          "run=1 worker=w1 outcome=lapsed\n"
          "ts_ms=400 process=b event=task_ended task=00000000000000ab.0.0.0 "
          "run=2 worker=w2 outcome=done\n"
          "ts_ms=401 process=a event=answered job=00000000000000ab status=200 "
          "cause=none\n")
          .Cause();
  CHECK_EQUAL(
      "the job succeeded; it went to b, its tasks started after 35 to 35 ms "
      "(60 ms of work were expected); 1 of its runs ended early, the last "
      "lapsed on worker w1",
      cause);
}

TEST(RequestHistory, unknown_request_has_no_lines) {
  CHECK(HistoryOf("").Lines().empty());
}

}  // namespace mustardbank
