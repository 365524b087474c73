#include "LibPlatform/tables.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "LibCore/digest.h"

namespace json = boost::json;

namespace mustardbank {

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
  if (!endpoint)
    return std::nullopt;
  HomeId home{.endpoint = *endpoint};
  const std::string_view number = text.substr(slash + 1);
  const auto [end, error] = std::from_chars(
      number.data(), number.data() + number.size(), home.incarnation);
  if (error != std::errc() || end != number.data() + number.size())
    return std::nullopt;
  return home;
}

std::string IdempotencyRowKey(std::string_view team, std::string_view key) {
  return Sha256Hex(std::string(team) + '\n' + std::string(key));
}

}  // namespace mustardbank
