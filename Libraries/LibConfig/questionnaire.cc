#include "LibConfig/questionnaire.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/leaf/error.hpp>

#include "LibConfig/json_reader.h"
#include "LibCore/digest.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

// The timeout of an attempt, as a multiple of the longest expected run time.
constexpr std::uint32_t kTimeoutFactor = 4;
constexpr std::uint32_t kMinTimeoutMs = 1'000;
constexpr std::uint32_t kMaxTimeoutMs = 60'000;

struct ToleranceRule {
  std::uint32_t permille;
  std::string_view reason;
};

constexpr std::array<ToleranceRule, 3> kToleranceRules{{
    {500,
     "a late answer is dangerous: a job is refused at once if it would wait "
     "longer than half its ideal response time"},
    {1000,
     "a late answer leaves people idle: a job is refused if it would wait "
     "longer than its ideal response time"},
    {4000,
     "a late answer is a nuisance: a job is refused only if it would wait "
     "longer than four times its ideal response time"},
}};

TeamAnswers ReadTeam(JsonObjectReader& reader) {
  TeamAnswers team;
  team.name = reader.RequiredString("name");
  team.token = reader.RequiredString("token");
  team.slots = reader.OptionalInteger("slots", team.slots, 1, 1'000'000);
  return team;
}

RequestAnswers ReadRequest(JsonObjectReader& reader) {
  RequestAnswers request;
  request.name = reader.RequiredString("name");
  request.may_run_twice =
      reader.OptionalBool("may_run_twice", request.may_run_twice);
  request.usual_ms =
      reader.OptionalInteger("usual_ms", request.usual_ms, 1, 60'000);
  request.longest_ms =
      reader.OptionalInteger("longest_ms", request.longest_ms, 1, 60'000);
  return request;
}

ServiceAnswers ReadService(JsonObjectReader& reader) {
  ServiceAnswers service;
  service.name = reader.RequiredString("name");
  service.teams = reader.RequiredStrings("teams");
  service.places = reader.RequiredStrings("places");
  const auto delay_cost =
      kDelayCostNames.Find(reader.RequiredString("lateness"));
  if (!delay_cost)
    reader.Fault("lateness", "expected danger, idleness or nuisance");
  service.delay_cost = delay_cost.value_or(service.delay_cost);
  service.longest_wait_ms = reader.OptionalInteger(
      "patience_ms", service.longest_wait_ms, 1, 600'000);
  service.may_start_again =
      reader.OptionalBool("may_start_again", service.may_start_again);
  service.accelerator = reader.OptionalBool("accelerator", false);
  service.cores = reader.OptionalInteger("cores", 1, 1, 4'096);
  service.memory_gb = reader.OptionalInteger("memory_gb", 1, 1, 65'536);
  reader.ForEachObject("requests", [&](JsonObjectReader& request) {
    service.requests.push_back(ReadRequest(request));
  });
  if (service.requests.empty())
    reader.Fault("requests", "expected at least one request");
  return service;
}

std::string Quote(std::string_view text) {
  return boost::json::serialize(boost::json::string(text));
}

std::string QuoteAll(const std::vector<std::string>& texts) {
  std::string list = "[";
  for (const std::string& text : texts)
    list += (list.size() > 1 ? ", " : "") + Quote(text);
  return list + "]";
}

std::string Number(std::uint32_t number) {
  return std::to_string(number);
}

// Builds JSON text with comments, line by line.
class ConfigurationWriter {
 public:
  void Comment(std::string_view text) { Line("// " + std::string(text)); }
  void Member(std::string_view key, const std::string& value) {
    Line(Quote(key) + ": " + value + ",");
  }
  void Open(const std::string& text) {
    Line(text);
    ++depth_;
  }
  void Close(const std::string& text) {
    --depth_;
    Line(text);
  }
  std::string Take() { return std::move(text_); }

 private:
  void Line(const std::string& line) {
    text_ += std::string(2 * depth_, ' ') + line + '\n';
  }

  std::string text_;
  std::size_t depth_ = 0;
};

void WriteRequest(ConfigurationWriter& writer, const RequestAnswers& request) {
  writer.Open("{");
  writer.Member("name", Quote(request.name));
  writer.Comment(request.may_run_twice
                     ? "a second run is harmless"
                     : "a second run does harm: executed at most once");
  writer.Member("idempotent", request.may_run_twice ? "true" : "false");
  writer.Member("declared_ms", Number(request.usual_ms));
  writer.Comment(
      "several times the longest expected run time; after this time the "
      "outcome counts as unknown");
  writer.Member("timeout_ms",
                Number(std::clamp(kTimeoutFactor * request.longest_ms,
                                  kMinTimeoutMs, kMaxTimeoutMs)));
  writer.Close("},");
}

void WriteService(ConfigurationWriter& writer, const ServiceAnswers& service) {
  const ToleranceRule& rule =
      kToleranceRules[static_cast<std::size_t>(service.delay_cost)];
  writer.Open("{");
  writer.Member("name", Quote(service.name));
  writer.Member("teams", QuoteAll(service.teams));
  writer.Comment("tasks run in these data centres only");
  writer.Member("places", QuoteAll(service.places));
  writer.Comment("callers stop waiting for a start after this time");
  writer.Member("delay_tolerance_ms", Number(service.longest_wait_ms));
  writer.Comment(rule.reason);
  writer.Member("delay_tolerance_permille", Number(rule.permille));
  writer.Comment(service.may_start_again
                     ? "a failed idempotent task may start again on another "
                       "backend server"
                     : "a task never starts twice, even if it failed");
  writer.Member("retry_failed", service.may_start_again ? "true" : "false");
  if (service.accelerator)
    writer.Member("accelerator", "true");
  if (service.cores > 1)
    writer.Member("cores", Number(service.cores));
  if (service.memory_gb > 1)
    writer.Member("memory_gb", Number(service.memory_gb));
  writer.Open("\"requests\": [");
  for (const RequestAnswers& request : service.requests)
    WriteRequest(writer, request);
  writer.Close("],");
  writer.Close("},");
}

}  // namespace

leaf::result<Answers> Answers::Read(const JsonDocument& document) {
  std::vector<ConfigFault> faults;
  JsonObjectReader reader(document, document.root(), "", faults);
  Answers answers;
  reader.ForEachObject("teams", [&](JsonObjectReader& team) {
    answers.teams.push_back(ReadTeam(team));
  });
  reader.ForEachObject("operators", [&](JsonObjectReader& operator_reader) {
    answers.operators.push_back(ReadTeam(operator_reader));
  });
  reader.ForEachObject("services", [&](JsonObjectReader& service) {
    answers.services.push_back(ReadService(service));
  });
  if (answers.teams.empty())
    reader.Fault("teams", "expected at least one team");
  if (answers.services.empty())
    reader.Fault("services", "expected at least one service");
  reader.Finish();
  if (!faults.empty())
    return leaf::new_error(ConfigError{std::move(faults)});
  return answers;
}

std::string MakeConfiguration(const Answers& answers) {
  ConfigurationWriter writer;
  writer.Open("{");
  writer.Comment(
      "the version on the platform that this configuration replaces");
  writer.Member("version", "0");
  writer.Open("\"teams\": [");
  for (const TeamAnswers& team : answers.teams) {
    writer.Open("{");
    writer.Member("name", Quote(team.name));
    writer.Member("token_sha256", "[" + Quote(Sha256Hex(team.token)) + "]");
    writer.Comment("concurrent tasks allowed in the whole deployment");
    writer.Member("slots", Number(team.slots));
    writer.Close("},");
  }
  writer.Close("],");
  writer.Open("\"operators\": [");
  for (const TeamAnswers& operator_answers : answers.operators) {
    writer.Open("{");
    writer.Member("name", Quote(operator_answers.name));
    writer.Member("token_sha256", Quote(Sha256Hex(operator_answers.token)));
    writer.Close("},");
  }
  writer.Close("],");
  writer.Open("\"services\": [");
  for (const ServiceAnswers& service : answers.services)
    WriteService(writer, service);
  writer.Close("],");
  writer.Close("}");
  return writer.Take();
}

}  // namespace mustardbank
