#include "LibPlatform/tables.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "LibCore/digest.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

// Empty unless the whole text is a number.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

}  // namespace

std::string EntryVmRow::ToJson() const {
  return json::serialize(json::object{{"name", name},
                                      {"data_center", data_center},
                                      {"incarnation", incarnation}});
}

std::optional<EntryVmRow> EntryVmRow::Parse(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return std::nullopt;
  const json::object& object = value.get_object();
  const json::value* name = object.if_contains("name");
  const json::value* data_center = object.if_contains("data_center");
  const json::value* incarnation = object.if_contains("incarnation");
  if (!name || !name->is_string() || !data_center ||
      !data_center->is_string() || !incarnation || !incarnation->is_int64()) {
    return std::nullopt;
  }
  return EntryVmRow{
      .name = std::string(name->get_string()),
      .data_center = std::string(data_center->get_string()),
      .incarnation = static_cast<std::uint64_t>(incarnation->get_int64())};
}

std::string HomeKey(const HomeId& home) {
  return home.endpoint.ToString() + '/' + std::to_string(home.incarnation);
}

std::optional<HomeId> ParseHomeKey(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  const auto endpoint = Endpoint::Parse(text.substr(0, slash));
  const auto incarnation = ParseNumber<std::uint64_t>(text.substr(slash + 1));
  if (!endpoint || !incarnation)
    return std::nullopt;
  return HomeId{.endpoint = *endpoint, .incarnation = *incarnation};
}

std::string SuccessionRow::ToText() const {
  return successor.ToString() +
         (hand_overs > 1 ? '/' + std::to_string(hand_overs) : "");
}

std::optional<SuccessionRow> SuccessionRow::Parse(std::string_view text) {
  const std::size_t slash = text.find('/');
  const auto successor = Endpoint::Parse(text.substr(0, slash));
  if (!successor)
    return std::nullopt;
  if (slash == std::string_view::npos)
    return SuccessionRow{.successor = *successor};
  const auto hand_overs = ParseNumber<std::uint32_t>(text.substr(slash + 1));
  if (!hand_overs)
    return std::nullopt;
  return SuccessionRow{.successor = *successor, .hand_overs = *hand_overs};
}

std::string IdempotencyRowKey(std::string_view team, std::string_view key) {
  return Sha256Hex(std::string(team) + '\n' + std::string(key));
}

}  // namespace mustardbank
