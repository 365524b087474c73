// mustardbank lease-entry: runs the daemon of one entry VM on the users'
// platform.
#include <sysexits.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "LibConfig/lease_settings.h"
#include "LibLeaseEntry/lease_entry.h"
#include "Mustardbank/commands.h"
#include "Mustardbank/daemon_command.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

// Reads the settings again. If they are invalid, the current settings stay in
// force.
void Reload(LeaseEntry& entry, const std::string& file) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(settings, LeaseSettings::Load(file));
        entry.Reload(settings);
        return {};
      },
      [](const ConfigError& error) { std::cerr << error.ToString() << '\n'; },
      [] {
        std::cerr << "cannot reload the settings; the current settings stay in "
                     "force\n";
      });
}

leaf::result<int> Run(const std::string& file) {
  BOOST_LEAF_AUTO(settings, LeaseSettings::Load(file));
  const sigset_t signals = BlockSignals({SIGTERM, SIGINT, SIGHUP});
  BOOST_LEAF_AUTO(entry, LeaseEntry::Start(std::move(settings)));
  int signal = SIGHUP;
  while (true) {
    sigwait(&signals, &signal);
    if (signal != SIGHUP)
      break;
    Reload(*entry, file);
  }
  entry->Leave();
  // Fibers that wait on idle connections never end: exit without waiting for
  // them.
  std::_Exit(EX_OK);
}

}  // namespace

int RunLeaseEntryCommand(const Arguments& arguments) {
  return RunDaemon([&] { return Run(arguments.at("SETTINGS").asString()); });
}

}  // namespace mustardbank
