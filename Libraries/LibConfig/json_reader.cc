#include "LibConfig/json_reader.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <sstream>
#include <utility>

namespace json = boost::json;

namespace mustardbank {

namespace {

// 2^53: up to it, a double holds every whole number exactly.
constexpr double kMaxExactInteger = 9007199254740992.0;

std::optional<std::uint64_t> ToWholeNumber(const json::value& value) {
  if (value.is_int64() && value.get_int64() >= 0)
    return static_cast<std::uint64_t>(value.get_int64());
  if (value.is_double() && value.get_double() >= 0 &&
      value.get_double() <= kMaxExactInteger &&
      value.get_double() == std::floor(value.get_double()))
    return static_cast<std::uint64_t>(value.get_double());
  return std::nullopt;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const JsonDocument& document,
                                   const json::value& value,
                                   std::string path,
                                   std::vector<ConfigFault>& faults)
    : document_(document), path_(std::move(path)), faults_(faults) {
  object_ = value.if_object();
  if (!object_)
    Fault("", "expected an object");
}

std::string JsonObjectReader::PathOf(std::string_view key) const {
  if (key.empty())
    return path_;
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

ConfigFault JsonObjectReader::MakeFault(std::string_view key,
                                        std::string expected) const {
  const std::string path = PathOf(key);
  return {.file = document_.file(),
          .line = document_.LineOf(path),
          .path = path,
          .expected = std::move(expected)};
}

void JsonObjectReader::Fault(std::string_view key, std::string expected) {
  faults_.push_back(MakeFault(key, std::move(expected)));
}

const json::value* JsonObjectReader::Find(std::string_view key) {
  read_keys_.emplace(key);
  return object_ ? object_->if_contains(key) : nullptr;
}

bool JsonObjectReader::Has(std::string_view key) {
  return Find(key) != nullptr;
}

std::string JsonObjectReader::RequiredString(std::string_view key) {
  const json::value* value = Find(key);
  if (value && value->is_string() && !value->get_string().empty())
    return std::string(value->get_string());
  if (object_)
    Fault(key, "expected a non-empty string");
  return "";
}

std::string JsonObjectReader::OptionalString(std::string_view key,
                                             std::string fallback) {
  return Find(key) ? RequiredString(key) : std::move(fallback);
}

std::uint64_t JsonObjectReader::Integer(std::string_view key,
                                        const json::value& value,
                                        std::uint64_t minimum,
                                        std::uint64_t maximum) {
  const std::optional<std::uint64_t> number = ToWholeNumber(value);
  if (number && *number >= minimum && *number <= maximum)
    return *number;
  Fault(key, "expected an integer from " + std::to_string(minimum) + " to " +
                 std::to_string(maximum));
  return minimum;
}

std::uint64_t JsonObjectReader::RequiredInteger(std::string_view key,
                                                std::uint64_t minimum,
                                                std::uint64_t maximum) {
  const json::value* value = Find(key);
  if (value)
    return Integer(key, *value, minimum, maximum);
  if (object_)
    Fault(key, "expected an integer, but the key is missing");
  return minimum;
}

std::uint64_t JsonObjectReader::OptionalInteger(std::string_view key,
                                                std::uint64_t fallback,
                                                std::uint64_t minimum,
                                                std::uint64_t maximum) {
  const json::value* value = Find(key);
  return value ? Integer(key, *value, minimum, maximum) : fallback;
}

double JsonObjectReader::OptionalNumber(std::string_view key,
                                        double fallback,
                                        double minimum,
                                        double maximum) {
  const json::value* value = Find(key);
  if (!value)
    return fallback;
  if (value->is_number()) {
    const auto number = value->to_number<double>();
    if (number >= minimum && number <= maximum)
      return number;
  }
  std::ostringstream expected;
  expected << "expected a number from " << minimum << " to " << maximum;
  Fault(key, expected.str());
  return minimum;
}

Duration JsonObjectReader::OptionalDuration(
    std::string_view key,
    Duration unit,
    const DurationRange& range,
    std::vector<ConfigFault>& warnings) {
  const json::value* value = Find(key);
  if (!value)
    return range.fallback;
  // Compared before the conversion, which overflows for large values.
  const double unit_ms = ToMilliseconds(unit);
  const double least = ToMilliseconds(range.least) / unit_ms;
  const double most = ToMilliseconds(range.most) / unit_ms;
  Duration duration = range.fallback;
  if (value->is_number()) {
    const auto number = value->to_number<double>();
    duration = FromMilliseconds(std::clamp(number, least, most) * unit_ms);
    if (number >= least && number <= most)
      return duration;
  }
  std::ostringstream expected;
  expected << "expected a number from " << least << " to " << most << "; "
           << ToMilliseconds(duration) / unit_ms << " is used";
  warnings.push_back(MakeFault(key, expected.str()));
  return duration;
}

bool JsonObjectReader::OptionalBool(std::string_view key, bool fallback) {
  const json::value* value = Find(key);
  if (!value)
    return fallback;
  if (!value->is_bool()) {
    Fault(key, "expected true or false");
    return fallback;
  }
  return value->get_bool();
}

std::vector<std::string> JsonObjectReader::Strings(std::string_view key,
                                                   const json::value& value) {
  std::vector<std::string> strings;
  const json::array* array = value.if_array();
  if (!array) {
    Fault(key, "expected a list of strings");
    return strings;
  }
  for (const json::value& item : *array) {
    if (!item.is_string()) {
      Fault(std::string(key) + "[" + std::to_string(strings.size()) + "]",
            "expected a string");
      return strings;
    }
    strings.emplace_back(item.get_string());
  }
  return strings;
}

std::vector<std::string> JsonObjectReader::RequiredStrings(
    std::string_view key) {
  const json::value* value = Find(key);
  std::vector<std::string> strings;
  if (value)
    strings = Strings(key, *value);
  if (strings.empty() && object_)
    Fault(key, "expected a non-empty list of strings");
  return strings;
}

std::vector<std::string> JsonObjectReader::OptionalStrings(
    std::string_view key) {
  const json::value* value = Find(key);
  return value ? Strings(key, *value) : std::vector<std::string>();
}

Endpoint JsonObjectReader::ToEndpoint(std::string_view key,
                                      const std::string& text) {
  const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
  if (!endpoint)
    Fault(key, "expected an IPv4 address and port such as 10.0.0.1:80");
  return endpoint.value_or(Endpoint{});
}

Endpoint JsonObjectReader::RequiredEndpoint(std::string_view key) {
  const std::string text = RequiredString(key);
  return text.empty() ? Endpoint{} : ToEndpoint(key, text);
}

void JsonObjectReader::Object(std::string_view key, const Visitor& visit) {
  const json::value* value = Find(key);
  if (!value) {
    if (object_)
      Fault(key, "expected an object, but the key is missing");
    return;
  }
  JsonObjectReader reader(document_, *value, PathOf(key), faults_);
  visit(reader);
  reader.Finish();
}

void JsonObjectReader::ForEachObject(std::string_view key,
                                     const Visitor& visit) {
  const json::value* value = Find(key);
  if (!value)
    return;
  const json::array* array = value->if_array();
  if (!array) {
    Fault(key, "expected a list of objects");
    return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    JsonObjectReader reader(document_, (*array)[i],
                            PathOf(key) + "[" + std::to_string(i) + "]",
                            faults_);
    visit(reader);
    reader.Finish();
  }
}

void JsonObjectReader::Finish() {
  if (!object_)
    return;
  for (const auto& member : *object_) {
    const std::string_view key = member.key();
    if (!read_keys_.contains(key))
      Fault(key, "unknown key");
  }
}

}  // namespace mustardbank
