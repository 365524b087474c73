// mustardbank questionnaire: generates a configuration from answers in a file
// or on the terminal.
#include <sysexits.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

#include "LibConfig/questionnaire.h"
#include "Mustardbank/commands.h"

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

std::string Ask(std::string_view question) {
  std::cerr << question << ' ';
  std::string line;
  std::getline(std::cin, line);
  return line;
}

bool AskYesNo(std::string_view question) {
  while (std::cin) {
    const std::string line = Ask(std::string(question) + " (yes/no)");
    if (line == "yes" || line == "no")
      return line == "yes";
  }
  return false;
}

std::int64_t AskNumber(std::string_view question) {
  while (std::cin) {
    const std::string line = Ask(question);
    std::int64_t number = 0;
    const auto [end, error] =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (error == std::errc() && end == line.data() + line.size())
      return number;
  }
  return 0;
}

json::array AskNames(std::string_view question) {
  std::istringstream names(Ask(question));
  json::array list;
  for (std::string name; names >> name;)
    list.emplace_back(name);
  return list;
}

json::array AskRequests() {
  json::array requests;
  do {
    json::object request{{"name", Ask("What is the name of a request?")}};
    request["may_run_twice"] =
        AskYesNo("Is it harmless if the request runs twice by accident?");
    request["usual_ms"] = AskNumber("What is its usual run time, in ms?");
    request["longest_ms"] = AskNumber("What is its longest run time, in ms?");
    requests.push_back(std::move(request));
  } while (std::cin && AskYesNo("Do you want to add another request?"));
  return requests;
}

// Asks about one team with one service; returns the answers as JSON text.
std::string AskAll() {
  const std::string team = Ask("What is the name of your team?");
  const std::string token = Ask("What is the token of the team?");
  const std::int64_t slots =
      AskNumber("How many tasks may the team run at once?");
  json::object service{{"name", Ask("What is the name of the service?")},
                       {"teams", json::array{team}}};
  service["places"] =
      AskNames("In which data centres may it run (separated by spaces)?");
  service["lateness"] =
      Ask("What does a late answer cause: danger, idleness or nuisance?");
  service["patience_ms"] =
      AskNumber("How long do callers wait for a start, in ms?");
  service["may_start_again"] =
      AskYesNo("May a failed task start again on another backend server?");
  service["requests"] = AskRequests();
  return json::serialize(json::object{
      {"teams", json::array{json::object{
                    {"name", team}, {"token", token}, {"slots", slots}}}},
      {"services", json::array{std::move(service)}}});
}

leaf::result<int> Run(const Arguments& arguments) {
  const docopt::value& file = arguments.at("--answers");
  BOOST_LEAF_AUTO(document, file ? JsonDocument::Load(file.asString())
                                 : JsonDocument::Parse(AskAll(), "answers"));
  BOOST_LEAF_AUTO(answers, Answers::Read(document));
  const std::string text = MakeConfiguration(answers);
  const docopt::value& output = arguments.at("--output");
  if (!output) {
    std::cout << text;
    return EX_OK;
  }
  std::ofstream stream(output.asString());
  stream << text;
  if (!stream) {
    std::cerr << output.asString() << ": cannot be written\n";
    return EX_CANTCREAT;
  }
  return EX_OK;
}

}  // namespace

int RunQuestionnaireCommand(const Arguments& arguments) {
  return leaf::try_handle_all([&] { return Run(arguments); },
                              [](const ConfigError& error) {
                                std::cerr << error.ToString() << '\n';
                                return EX_DATAERR;
                              },
                              [] { return EX_SOFTWARE; });
}

}  // namespace mustardbank
