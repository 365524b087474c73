// mustardbank check, apply and show.
#include <sysexits.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <iostream>
#include <map>

#include "LibConfig/configuration.h"
#include "LibConfig/settings.h"
#include "LibCore/digest.h"
#include "LibFiber/run_in_fiber.h"
#include "LibPlatform/platform_client.h"
#include "LibPlatform/tables.h"
#include "Mustardbank/commands.h"

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::size_t kChangeIdBytes = 12;
constexpr int kReadBackAttempts = 5;
constexpr std::chrono::milliseconds kReadBackInterval{300};

enum class WriteOutcome { kAccepted, kConflict, kUnconfirmed };

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kUnconfirmed;
  Row current;  // the row on the platform; empty if unconfirmed
  std::string change_id;
};

leaf::result<void> CheckFile(const std::string& file, bool is_settings) {
  if (is_settings) {
    BOOST_LEAF_CHECK(Settings::Load(file));
    return {};
  }
  BOOST_LEAF_AUTO(document, JsonDocument::Load(file));
  BOOST_LEAF_CHECK(Configuration::Read(document));
  return {};
}

std::optional<Endpoint> PlatformOption(const Arguments& arguments) {
  const std::string text = arguments.at("--platform").asString();
  const auto endpoint = Endpoint::Parse(text);
  if (!endpoint)
    std::cerr << "--platform: expected an IPv4 address and port, got \"" << text
              << "\"\n";
  return endpoint;
}

std::string RowValue(const Row& row, std::string_view key) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(document, JsonDocument::Parse(row.value, "platform"));
        const json::object* object = document.root().if_object();
        const json::value* value = object ? object->if_contains(key) : nullptr;
        return value ? json::serialize(*value) : std::string();
      },
      [] { return std::string(); });
}

// Prints the sections on the platform that differ from the local configuration.
void PrintDifference(const Row& remote, const json::object& local) {
  for (std::string_view section : {"teams", "operators", "services"}) {
    const json::value* local_value = local.if_contains(section);
    const std::string local_text =
        local_value ? json::serialize(*local_value) : "";
    const std::string remote_text = RowValue(remote, section);
    if (local_text != remote_text)
      std::cerr << "  " << section << " on the platform: " << remote_text
                << '\n';
  }
}

PlatformResult<Row> ReadCurrent(PlatformClient& client) {
  PlatformResult<std::optional<Row>> row =
      client.ReadRow(kConfigurationTable, kConfigurationKey);
  if (!row)
    return row.error();
  return row->value_or(Row{});
}

// Determines, by the change id, whether a write whose response was lost has
// taken effect.
WriteResult ReadBack(PlatformClient& client, const std::string& change_id) {
  WriteResult result{.change_id = change_id};
  for (int i = 0; i < kReadBackAttempts; ++i) {
    const PlatformResult<Row> row = ReadCurrent(client);
    if (!row) {
      SleepFiber(kReadBackInterval);
      continue;
    }
    const bool is_ours =
        RowValue(*row, "change_id") == json::serialize(json::value(change_id));
    result.outcome =
        is_ours ? WriteOutcome::kAccepted : WriteOutcome::kConflict;
    result.current = *row;
    return result;
  }
  return result;
}

// Writes the configuration if the platform still has version `expected`.
WriteResult WriteConfiguration(PlatformClient& client,
                               json::object document,
                               std::uint64_t expected) {
  const std::string change_id = RandomHex(kChangeIdBytes);
  document["version"] = expected + 1;
  document["change_id"] = change_id;
  const PlatformResult<std::vector<Row>> rows =
      client.Transact({{.kind = WriteKind::kPut,
                        .table = std::string(kConfigurationTable),
                        .key = std::string(kConfigurationKey),
                        .value = json::serialize(document),
                        .expected_version = expected}});
  if (!rows)
    return ReadBack(client, change_id);
  return WriteResult{.outcome = WriteOutcome::kAccepted,
                     .current = rows->front(),
                     .change_id = change_id};
}

int ReportWrite(PlatformClient& client,
                const WriteResult& result,
                const json::object& local,
                std::uint64_t expected) {
  switch (result.outcome) {
    case WriteOutcome::kAccepted: {
      std::cout << "version " << result.current.version << " accepted\n";
      // Stored so that operators can look up earlier versions.
      const auto stored = client.PutObject(
          "configurations/" + std::to_string(result.current.version),
          result.current.value);
      if (!stored)
        std::cerr << "cannot keep a copy of this version in the object store: "
                  << stored.error().reason << '\n';
      return EX_OK;
    }
    case WriteOutcome::kConflict:
      std::cerr << "Conflict with another change: the platform has version "
                << result.current.version << ", expected version " << expected
                << ". Sections that differ:\n";
      PrintDifference(result.current, local);
      return EX_TEMPFAIL;
    case WriteOutcome::kUnconfirmed:
      std::cerr << "The platform did not confirm change " << result.change_id
                << ". Run mustardbank show before you apply again.\n";
      return EX_TEMPFAIL;
  }
  return EX_SOFTWARE;
}

leaf::result<int> Apply(const Arguments& arguments, Endpoint platform) {
  const std::string file = arguments.at("CONFIGURATION").asString();
  BOOST_LEAF_AUTO(document, JsonDocument::Load(file));
  BOOST_LEAF_AUTO(configuration, Configuration::Read(document));
  std::uint64_t expected = configuration.version;
  if (const docopt::value& option = arguments.at("--expect")) {
    const std::string text = option.asString();
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), expected);
    if (error != std::errc() || end != text.data() + text.size()) {
      std::cerr << "--expect: expected a version number\n";
      return EX_USAGE;
    }
  }
  const json::object object = document.root().get_object();
  FiberThread thread;
  return RunInFiber(thread, [&] {
    PlatformClient client(thread.io(), platform, "operator");
    return ReportWrite(client, WriteConfiguration(client, object, expected),
                       object, expected);
  });
}

}  // namespace

int RunCheckCommand(const Arguments& arguments) {
  const bool is_settings = arguments.at("--settings").asBool();
  int code = EX_OK;
  for (const std::string& file : arguments.at("FILE").asStringList()) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_CHECK(CheckFile(file, is_settings));
          std::cout << file << ": ok\n";
          return {};
        },
        [&](const ConfigError& error) {
          std::cerr << error.ToString() << '\n';
          code = EX_CONFIG;
        },
        [&] { code = EX_SOFTWARE; });
  }
  return code;
}

int RunApplyCommand(const Arguments& arguments) {
  const auto platform = PlatformOption(arguments);
  if (!platform)
    return EX_USAGE;
  return leaf::try_handle_all([&] { return Apply(arguments, *platform); },
                              [](const ConfigError& error) {
                                std::cerr << error.ToString() << '\n';
                                return EX_CONFIG;
                              },
                              [] { return EX_SOFTWARE; });
}

int RunShowCommand(const Arguments& arguments) {
  const auto platform = PlatformOption(arguments);
  if (!platform)
    return EX_USAGE;
  FiberThread thread;
  return RunInFiber(thread, [&] {
    PlatformClient client(thread.io(), *platform, "operator");
    const PlatformResult<Row> row = ReadCurrent(client);
    if (!row) {
      std::cerr << "cannot read the configuration from the platform: "
                << row.error().reason << '\n';
      return EX_UNAVAILABLE;
    }
    if (row->version == 0) {
      std::cerr << "The platform has no configuration yet.\n";
      return EX_UNAVAILABLE;
    }
    std::cout << row->value << '\n';
    return EX_OK;
  });
}

}  // namespace mustardbank
