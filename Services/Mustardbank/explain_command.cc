// mustardbank explain: prints the history of a request from log files.
#include <sysexits.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>

#include "LibLeaseEntry/request_history.h"
#include "Mustardbank/commands.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

void PrintJson(const RequestHistory& history) {
  json::array lines;
  for (const LogRecord& line : history.Lines()) {
    json::object fields;
    for (const auto& [name, value] : line.fields)
      fields[name] = value;
    lines.push_back(std::move(fields));
  }
  std::cout << json::serialize(json::object{{"cause", history.CauseName()},
                                            {"sentence", history.Cause()},
                                            {"lines", std::move(lines)}})
            << '\n';
}

void PrintText(const RequestHistory& history) {
  const std::vector<LogRecord> lines = history.Lines();
  for (const LogRecord& line : lines) {
    std::cout << "+" << line.wall_ms - lines.front().wall_ms << " ms "
              << line.text << '\n';
  }
  std::cout << "cause: " << history.Cause() << '\n';
}

}  // namespace

int RunExplainCommand(const Arguments& arguments) {
  RequestHistory history(arguments.at("ID").asString());
  for (const std::string& name : arguments.at("FILE").asStringList()) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << "cannot read " << name << '\n';
      return EX_NOINPUT;
    }
    history.Read(file);
  }
  if (arguments.at("--json").asBool())
    PrintJson(history);
  else
    PrintText(history);
  return history.Lines().empty() ? EX_DATAERR : EX_OK;
}

}  // namespace mustardbank
