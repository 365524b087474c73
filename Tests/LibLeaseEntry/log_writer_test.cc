#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include "LibLeaseEntry/log_writer.h"

namespace mustardbank {

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(LogWriter) {
  int ends[2] = {-1, -1};
  Time now{std::chrono::seconds(100)};

  void setup() override {
    CHECK_EQUAL(0, ::pipe(ends));
  }
  void teardown() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }
};

TEST(LogWriter, writes_complete_lines) {
  EventLog log("vm");
  LogWriter writer(log, ends[1]);
  log.Write(LogEvent::kStarted, now);
  writer.Flush();
  char bytes[256];
  const ssize_t size = ::read(ends[0], bytes, sizeof bytes);
  CHECK_EQUAL(std::string("ts_ms=100000 process=vm event=started\n"),
              std::string(bytes, static_cast<std::size_t>(size)));
  CHECK(log.pending().empty());
}

// The reader has stopped reading: the test would hang if a write blocked.
TEST(LogWriter, does_not_block_when_the_reader_stops) {
  EventLog log("vm", {.lines_per_second = 1'000'000});
  LogWriter writer(log, ends[1]);
  for (int i = 0; i < 20'000; ++i) {
    log.Write(LogEvent::kJobReceived, now).Add(LogField::kJob, "ab");
    writer.Flush();
  }
  CHECK(log.dropped() > 0);
  CHECK(!log.pending().empty());
}

}  // namespace mustardbank
