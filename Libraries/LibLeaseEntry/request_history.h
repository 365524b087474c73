// Reconstructs the history of one request from the logs of entry VMs.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/event_log.h"

namespace mustardbank {

// One line of an event log.
struct LogRecord {
  std::int64_t wall_ms = 0;  // since 1970
  std::string process;
  LogEvent event = LogEvent::kStarted;
  std::map<std::string, std::string> fields;
  std::string text;  // the line itself

  std::string Field(LogField field) const;
};

// Empty if the text holds no line of an event log. Text before the line, such
// as the prefix of a log collector, is skipped.
std::optional<LogRecord> ParseLogRecord(std::string_view text);

class RequestHistory {
 public:
  explicit RequestHistory(std::string job) : job_(std::move(job)) {}

  // Adds the lines of a log file that concern the request, or changes in the
  // state of processes and workers.
  void Read(std::istream& file);

  // Lines about the request and about state changes of the processes and
  // workers that took part in it, in order of time.
  std::vector<LogRecord> Lines() const;
  // Explains the outcome of the request in one sentence.
  std::string Cause() const;
  // The cause's name in the logs, or "unknown".
  std::string CauseName() const;

 private:
  bool Concerns(const LogRecord& record) const;
  const LogRecord* Last(LogEvent event) const;
  std::string Evidence() const;
  std::string EarlyEnds() const;

  const std::string job_;
  std::vector<LogRecord> request_lines_;
  std::vector<LogRecord> state_lines_;
};

}  // namespace mustardbank
