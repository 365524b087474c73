#include "LibLeaseEntry/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace mustardbank {

void LogWriter::Flush() {
  while (!log_.pending().empty()) {
    pollfd ready{.fd = descriptor_, .events = POLLOUT, .revents = 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
      return;
    // A pipe that polls writable accepts up to PIPE_BUF bytes without blocking.
    const std::size_t size =
        std::min<std::size_t>(log_.pending().size(), PIPE_BUF);
    const ssize_t written = ::write(descriptor_, log_.pending().data(), size);
    if (written <= 0)
      return;
    log_.DropWritten(static_cast<std::size_t>(written));
  }
}

}  // namespace mustardbank
