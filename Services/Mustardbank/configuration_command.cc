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
constexpr int kReadBackTries = 5;
constexpr std::chrono::milliseconds kReadBackPause{300};

// Another operator's change came first.
struct LostRace {
  std::uint64_t expected = 0;
  Row current;
};

// The write may or may not have taken effect.
struct Unconfirmed {
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
    std::cerr << "--platform: expected an address and port, got \"" << text
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

// Names the top-level entries in which two configurations differ.
void PrintDifference(const Row& theirs, const json::object& ours) {
  for (std::string_view section : {"teams", "operators", "services"}) {
    const json::value* mine = ours.if_contains(section);
    const std::string my_text = mine ? json::serialize(*mine) : "";
    const std::string their_text = RowValue(theirs, section);
    if (my_text != their_text)
      std::cerr << "  " << section << " on the platform: " << their_text
                << '\n';
  }
}

leaf::result<Row> ReadCurrent(PlatformClient& client) {
  BOOST_LEAF_AUTO(row, client.ReadRow(kConfigurationTable, kConfigurationKey));
  return row.value_or(Row{});
}

// Finds out whether a write whose answer was lost took effect.
leaf::result<std::uint64_t> ReadBack(PlatformClient& client,
                                     std::uint64_t expected,
                                     const std::string& change_id) {
  for (int i = 0; i < kReadBackTries; ++i) {
    const auto row = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Row>> {
          BOOST_LEAF_AUTO(read, ReadCurrent(client));
          return std::optional(std::move(read));
        },
        [] { return std::optional<Row>(); });
    if (!row) {
      SleepFiber(kReadBackPause);
      continue;
    }
    if (RowValue(*row, "change_id") == json::serialize(json::value(change_id)))
      return row->version;
    return leaf::new_error(LostRace{.expected = expected, .current = *row});
  }
  return leaf::new_error(Unconfirmed{change_id});
}

// Writes the configuration over version `expected`; returns its version.
leaf::result<std::uint64_t> Write(PlatformClient& client,
                                  json::object document,
                                  std::uint64_t expected) {
  const std::string change_id = RandomHex(kChangeIdBytes);
  document["version"] = expected + 1;
  document["change_id"] = change_id;
  const std::string text = json::serialize(document);
  return leaf::try_handle_some(
      [&]() -> leaf::result<std::uint64_t> {
        BOOST_LEAF_AUTO(
            rows, client.Transact({{.kind = WriteKind::kPut,
                                    .table = std::string(kConfigurationTable),
                                    .key = std::string(kConfigurationKey),
                                    .value = text,
                                    .expected_version = expected}}));
        return rows.front().version;
      },
      [&](const PlatformError&) -> leaf::result<std::uint64_t> {
        return ReadBack(client, expected, change_id);
      });
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
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
          BOOST_LEAF_AUTO(version, Write(client, object, expected));
          BOOST_LEAF_AUTO(current, ReadCurrent(client));
          // Kept for those who want to look back at earlier versions.
          BOOST_LEAF_CHECK(client.PutObject(
              "configurations/" + std::to_string(version), current.value));
          std::cout << "version " << version << " accepted\n";
          return EX_OK;
        },
        [&](const LostRace& race) {
          std::cerr << "Another change came first: version "
                    << race.current.version << " is on the platform, "
                    << race.expected << " was expected. What differs:\n";
          PrintDifference(race.current, object);
          return EX_TEMPFAIL;
        },
        [](const Unconfirmed& change) {
          std::cerr << "The platform did not confirm change "
                    << change.change_id
                    << ". Run show before you apply again.\n";
          return EX_TEMPFAIL;
        },
        [](const PlatformError& error) {
          std::cerr << "platform: " << kPlatformFailureNames[error.failure]
                    << ": " << error.reason << '\n';
          return EX_UNAVAILABLE;
        },
        [] { return EX_SOFTWARE; });
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
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
          BOOST_LEAF_AUTO(row, ReadCurrent(client));
          if (row.version == 0) {
            std::cerr << "No configuration is on the platform.\n";
            return EX_UNAVAILABLE;
          }
          std::cout << row.value << '\n';
          return EX_OK;
        },
        [](const PlatformError& error) {
          std::cerr << "platform: " << error.reason << '\n';
          return EX_UNAVAILABLE;
        },
        [] { return EX_SOFTWARE; });
  });
}

}  // namespace mustardbank
