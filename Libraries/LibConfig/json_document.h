// A JSON document, parsed by Boost.JSON, with the line of each value.
// Comments and trailing commas are allowed.
#pragma once

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <map>
#include <string>
#include <string_view>

#include "LibConfig/config_error.h"

namespace mustardbank {

class JsonDocument {
 public:
  // Fails with ConfigError on malformed text.
  static boost::leaf::result<JsonDocument> Parse(std::string_view text,
                                                 std::string file);
  // Fails with ConfigError if the file can't be read or is malformed.
  static boost::leaf::result<JsonDocument> Load(const std::string& file);

  const boost::json::value& root() const { return root_; }
  const std::string& file() const { return file_; }

  // Returns the line of the value at `path`, or of the nearest enclosing value
  // if there is none at `path`.
  int LineOf(std::string path) const;

 private:
  boost::json::value root_;
  std::string file_;
  std::map<std::string, int, std::less<>> lines_;
};

}  // namespace mustardbank
