// Helpers of the commands that run a daemon.
#pragma once

#include <pthread.h>
#include <sysexits.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <initializer_list>
#include <iostream>

#include "LibConfig/config_error.h"
#include "LibEntry/entry_error.h"

namespace mustardbank {

// Blocks signals so that only sigwait receives them. Call it before any thread
// starts: threads inherit the mask.
inline sigset_t BlockSignals(std::initializer_list<int> numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : numbers)
    sigaddset(&signals, number);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Runs a daemon. Prints why it could not start and returns an exit code of
// sysexits.h.
template <typename Run>
int RunDaemon(Run run) {
  return boost::leaf::try_handle_all(
      run,
      [](const ConfigError& error) {
        std::cerr << error.ToString() << '\n';
        return EX_CONFIG;
      },
      [](const StartError& error) {
        std::cerr << error.reason << '\n';
        return EX_UNAVAILABLE;
      },
      [] { return EX_SOFTWARE; });
}

}  // namespace mustardbank
