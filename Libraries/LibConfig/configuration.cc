#include "LibConfig/configuration.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <utility>

#include "LibConfig/json_reader.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::uint64_t kMaxTaskMs = 60'000;
constexpr std::uint64_t kMaxDelayMs = 600'000;
constexpr std::size_t kSha256HexDigits = 64;

void CheckTokenDigest(JsonObjectReader& reader,
                      std::string_view key,
                      const std::string& digest) {
  const bool is_hex =
      digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (digest.size() != kSha256HexDigits || !is_hex)
    reader.Fault(
        key, "expected a SHA-256 digest of 64 lower-case hexadecimal digits");
}

template <typename Item>
void AddNamed(JsonObjectReader& reader,
              std::map<std::string, Item, std::less<>>& items,
              Item item) {
  std::string name = item.name;
  if (!items.emplace(std::move(name), std::move(item)).second)
    reader.Fault("name", "expected a unique name");
}

TeamConfiguration ReadTeam(JsonObjectReader& reader) {
  TeamConfiguration team;
  team.name = reader.RequiredString("name");
  team.token_sha256 = reader.RequiredStrings("token_sha256");
  for (const std::string& digest : team.token_sha256)
    CheckTokenDigest(reader, "token_sha256", digest);
  team.slots = reader.RequiredInteger("slots", 1, 1'000'000);
  return team;
}

OperatorConfiguration ReadOperator(JsonObjectReader& reader) {
  OperatorConfiguration operator_configuration;
  operator_configuration.name = reader.RequiredString("name");
  operator_configuration.token_sha256 = reader.RequiredString("token_sha256");
  CheckTokenDigest(reader, "token_sha256", operator_configuration.token_sha256);
  return operator_configuration;
}

RequestKind ReadRequest(JsonObjectReader& reader) {
  RequestKind request;
  request.name = reader.RequiredString("name");
  request.idempotent = reader.OptionalBool("idempotent", true);
  request.declared_ms =
      reader.OptionalInteger("declared_ms", 200, 1, kMaxTaskMs);
  request.timeout_ms =
      reader.OptionalInteger("timeout_ms", 10'000, 1, kMaxTaskMs);
  return request;
}

ServiceConfiguration ReadService(JsonObjectReader& reader) {
  ServiceConfiguration service;
  service.name = reader.RequiredString("name");
  service.teams = reader.RequiredStrings("teams");
  service.places = reader.RequiredStrings("places");
  service.delay_tolerance_ms =
      reader.OptionalInteger("delay_tolerance_ms", 5'000, 1, kMaxDelayMs);
  service.delay_tolerance_permille =
      reader.OptionalInteger("delay_tolerance_permille", 500, 1, 1'000'000);
  service.accelerator = reader.OptionalBool("accelerator", false);
  service.cores = reader.OptionalInteger("cores", 1, 1, 4'096);
  service.memory_gb = reader.OptionalInteger("memory_gb", 1, 1, 65'536);
  service.retry_failed = reader.OptionalBool("retry_failed", false);
  reader.ForEachObject("requests", [&](JsonObjectReader& request) {
    AddNamed(request, service.requests, ReadRequest(request));
  });
  if (service.requests.empty())
    reader.Fault("requests", "expected at least one request");
  return service;
}

void CheckTeamsOfServices(const Configuration& configuration,
                          JsonObjectReader& reader) {
  for (const auto& [name, service] : configuration.services) {
    for (const std::string& team : service.teams) {
      if (!configuration.teams.contains(team)) {
        std::string expected = "service ";
        expected += name;
        expected += " names the team ";
        expected += team;
        expected += ", which is not configured";
        reader.Fault("services", std::move(expected));
      }
    }
  }
}

}  // namespace

leaf::result<Configuration> Configuration::Read(const JsonDocument& document) {
  std::vector<ConfigFault> faults;
  JsonObjectReader reader(document, document.root(), "", faults);
  Configuration configuration;
  configuration.version = reader.OptionalInteger("version", 0, 0);
  configuration.change_id = reader.OptionalString("change_id", "");
  reader.ForEachObject("teams", [&](JsonObjectReader& team) {
    AddNamed(team, configuration.teams, ReadTeam(team));
  });
  reader.ForEachObject("operators", [&](JsonObjectReader& operator_reader) {
    AddNamed(operator_reader, configuration.operators,
             ReadOperator(operator_reader));
  });
  reader.ForEachObject("services", [&](JsonObjectReader& service) {
    AddNamed(service, configuration.services, ReadService(service));
  });
  CheckTeamsOfServices(configuration, reader);
  reader.Finish();
  if (!faults.empty())
    return leaf::new_error(ConfigError{std::move(faults)});
  return configuration;
}

leaf::result<Configuration> Configuration::Parse(std::string_view text,
                                                 std::string file) {
  BOOST_LEAF_AUTO(document, JsonDocument::Parse(text, std::move(file)));
  return Read(document);
}

const TeamConfiguration* Configuration::FindTeam(
    std::string_view token_sha256) const {
  for (const auto& [name, team] : teams) {
    if (std::ranges::find(team.token_sha256, token_sha256) !=
        team.token_sha256.end()) {
      return &team;
    }
  }
  return nullptr;
}

const OperatorConfiguration* Configuration::FindOperator(
    std::string_view token_sha256) const {
  for (const auto& [name, candidate] : operators) {
    if (candidate.token_sha256 == token_sha256)
      return &candidate;
  }
  return nullptr;
}

}  // namespace mustardbank
