// Writes the event log to a file descriptor without blocking.
#pragma once

#include "LibCore/event_log.h"

namespace mustardbank {

class LogWriter {
 public:
  LogWriter(EventLog& log, int descriptor)
      : log_(log), descriptor_(descriptor) {}

  // Writes as much as the descriptor accepts now; the rest stays in the log's
  // buffer.
  void Flush();

 private:
  EventLog& log_;
  const int descriptor_;
};

}  // namespace mustardbank
