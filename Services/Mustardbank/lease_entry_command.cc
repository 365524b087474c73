// mustardbank lease-entry: the daemon of one entry VM on the users' platform.
#include <pthread.h>
#include <sysexits.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "LibConfig/lease_settings.h"
#include "LibEntry/entry_error.h"
#include "LibLeaseEntry/lease_entry.h"
#include "Mustardbank/commands.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Faulty settings leave those in force alone.
void Reload(LeaseEntry& entry, const std::string& file) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(settings, LeaseSettings::Load(file));
        entry.Reload(settings);
        return {};
      },
      [](const ConfigError& error) { std::cerr << error.ToString() << '\n'; },
      [] { std::cerr << "the settings can't be read again\n"; });
}

leaf::result<int> Run(const std::string& file) {
  BOOST_LEAF_AUTO(settings, LeaseSettings::Load(file));
  // Blocked before any thread starts, so that only sigwait sees them.
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  BOOST_LEAF_AUTO(entry, LeaseEntry::Start(std::move(settings)));
  int signal = SIGHUP;
  while (true) {
    sigwait(&signals, &signal);
    if (signal != SIGHUP)
      break;
    Reload(*entry, file);
  }
  entry->Leave();
  // Fibers that wait for idle connections never end; leave without them.
  std::_Exit(EX_OK);
}

}  // namespace

int RunLeaseEntryCommand(const Arguments& arguments) {
  return leaf::try_handle_all(
      [&] { return Run(arguments.at("SETTINGS").asString()); },
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
