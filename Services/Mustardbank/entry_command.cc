// mustardbank entry: runs the daemon of one entry VM.
#include <glog/logging.h>
#include <sysexits.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "LibConfig/settings.h"
#include "LibEntry/entry_process.h"
#include "Mustardbank/commands.h"
#include "Mustardbank/daemon_command.h"

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

void PrintEndpoints(const EntryEndpoints& endpoints) {
  std::cout << json::serialize(
                   json::object{{"callers", endpoints.callers.ToString()},
                                {"operators", endpoints.operators.ToString()},
                                {"peers", endpoints.peers.ToString()}})
            << std::endl;
}

leaf::result<int> Run(const std::string& file) {
  BOOST_LEAF_AUTO(settings, Settings::Load(file));
  if (!settings.log_directory.empty()) {
    FLAGS_log_dir = settings.log_directory;
    FLAGS_logtostderr = false;
  }
  const sigset_t signals = BlockSignals({SIGTERM, SIGINT});
  const std::string name = settings.name;
  BOOST_LEAF_AUTO(process, EntryProcess::Start(std::move(settings)));
  PrintEndpoints(process->endpoints());
  LOG(INFO) << "entry VM " << name << " started";
  int signal = 0;
  sigwait(&signals, &signal);
  LOG(INFO) << "entry VM " << name << " is draining";
  process->Drain();
  process->WaitUntilDrained();
  LOG(INFO) << "entry VM " << name << " stopped";
  google::FlushLogFiles(google::INFO);
  // Fibers that wait on idle connections never end: exit without waiting for
  // them.
  std::_Exit(EX_OK);
}

}  // namespace

int RunEntryCommand(const Arguments& arguments) {
  return RunDaemon([&] { return Run(arguments.at("SETTINGS").asString()); });
}

}  // namespace mustardbank
