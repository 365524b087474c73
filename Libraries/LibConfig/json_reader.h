// Reads typed fields from a JSON document and collects all faults, each with
// its path. A key that the caller never reads is reported as unknown.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfig/json_document.h"
#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"

namespace mustardbank {

// What a duration may be, and what it is if the document has none.
struct DurationRange {
  Duration fallback{};
  Duration least{};
  Duration most{};
};

// Reads one object of the document. A missing or malformed field adds a fault
// and yields a fallback value, so that one pass finds all faults. Call `Finish`
// last; it reports unknown keys.
class JsonObjectReader {
 public:
  JsonObjectReader(const JsonDocument& document,
                   const boost::json::value& value,
                   std::string path,
                   std::vector<ConfigFault>& faults);

  bool Has(std::string_view key);
  std::string RequiredString(std::string_view key);
  std::string OptionalString(std::string_view key, std::string fallback);
  // Whole numbers, however they are spelled: 2000, 2000.0 or 2e3.
  std::uint64_t RequiredInteger(
      std::string_view key,
      std::uint64_t minimum,
      std::uint64_t maximum = std::numeric_limits<std::int64_t>::max());
  std::uint64_t OptionalInteger(
      std::string_view key,
      std::uint64_t fallback,
      std::uint64_t minimum,
      std::uint64_t maximum = std::numeric_limits<std::int64_t>::max());
  double OptionalNumber(std::string_view key,
                        double fallback,
                        double minimum,
                        double maximum);
  // A number of `unit`, also with a fraction. A value that is not a number
  // yields the fallback, and one out of range the nearest within it. Both add a
  // warning instead of a fault, since the process can run without the value.
  Duration OptionalDuration(std::string_view key,
                            Duration unit,
                            const DurationRange& range,
                            std::vector<ConfigFault>& warnings);
  bool OptionalBool(std::string_view key, bool fallback);
  std::vector<std::string> RequiredStrings(std::string_view key);
  std::vector<std::string> OptionalStrings(std::string_view key);

  // An IPv4 address and port, such as 10.0.0.1:80.
  Endpoint RequiredEndpoint(std::string_view key);
  Endpoint ToEndpoint(std::string_view key, const std::string& text);

  using Visitor = std::function<void(JsonObjectReader&)>;
  // These call `visit` and then `Finish` on each object.
  void Object(std::string_view key, const Visitor& visit);
  void ForEachObject(std::string_view key, const Visitor& visit);

  // Adds a fault at `key`, or at the object itself if `key` is empty.
  void Fault(std::string_view key, std::string expected);
  // Adds a fault for each key that was not read.
  void Finish();

  const std::string& path() const { return path_; }

 private:
  const boost::json::value* Find(std::string_view key);
  std::string PathOf(std::string_view key) const;
  ConfigFault MakeFault(std::string_view key, std::string expected) const;
  std::uint64_t Integer(std::string_view key,
                        const boost::json::value& value,
                        std::uint64_t minimum,
                        std::uint64_t maximum);
  std::vector<std::string> Strings(std::string_view key,
                                   const boost::json::value& value);

  const JsonDocument& document_;
  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::vector<ConfigFault>& faults_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace mustardbank
