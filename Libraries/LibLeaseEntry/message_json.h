// Reads fields of JSON messages between entry VMs and of their rows in the
// store. The functions throw for fields that are missing, of another type or
// out of range; `Decode` turns that into an empty result.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "LibSchedule/crash_history.h"

namespace mustardbank {

// Of a data centre: twenty thousand workers.
inline constexpr std::uint32_t kMostShards = 1000;
inline constexpr double kMostPower = 100'000;  // cores of a VM

// Decodes a JSON object with `read`, which throws if a field is missing or of
// another type. Empty if that happens or `text` is not an object.
//
// `read` sets one member after another: GCC 12 destroys members of an aggregate
// twice if a later initializer throws, which corrupted the heap.
template <typename T, typename Read>
std::optional<T> Decode(std::string_view text, Read read) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object())
    return std::nullopt;
  try {
    return read(value.get_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

inline std::string Text(const boost::json::object& object,
                        std::string_view key) {
  return std::string(object.at(key).as_string());
}

template <typename Number>
Number Integer(const boost::json::object& object, std::string_view key) {
  return object.at(key).to_number<Number>();
}

inline void Require(bool is_valid) {
  if (!is_valid)
    throw std::out_of_range("value out of range");
}

template <typename Number>
Number IntegerIn(const boost::json::object& object,
                 std::string_view key,
                 Number least,
                 Number most) {
  const Number value = Integer<Number>(object, key);
  Require(value >= least && value <= most);
  return value;
}

boost::json::object ToJson(const CrashRecord& record);
void ReadCrash(const boost::json::object& object, CrashRecord& record);

}  // namespace mustardbank
