// mustardbank load: runs a load plan and reports what was measured.
#include <sysexits.h>

#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>

#include "LibConfig/json_document.h"
#include "LibLoad/load_generator.h"
#include "Mustardbank/commands.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

leaf::result<int> Run(const Arguments& arguments) {
  BOOST_LEAF_AUTO(document,
                  JsonDocument::Load(arguments.at("--plan").asString()));
  BOOST_LEAF_AUTO(plan, LoadPlan::Read(document));
  const bool is_quiet = arguments.at("--quiet").asBool();
  const LoadReport report = RunLoad(plan, [&](const LoadProgress& progress) {
    if (!is_quiet) {
      std::cerr << static_cast<int>(progress.seconds) << " s: " << progress.sent
                << " jobs sent, " << progress.ended << " ended\n";
    }
  });
  const std::string text = boost::json::serialize(report.ToJson());
  const docopt::value& file = arguments.at("--report");
  if (!file) {
    std::cout << text << '\n';
    return EX_OK;
  }
  std::ofstream stream(file.asString());
  stream << text << '\n';
  if (!stream) {
    std::cerr << file.asString() << ": cannot be written\n";
    return EX_CANTCREAT;
  }
  return EX_OK;
}

}  // namespace

int RunLoadCommand(const Arguments& arguments) {
  return leaf::try_handle_all([&] { return Run(arguments); },
                              [](const ConfigError& error) {
                                std::cerr << error.ToString() << '\n';
                                return EX_CONFIG;
                              },
                              [] { return EX_SOFTWARE; });
}

}  // namespace mustardbank
