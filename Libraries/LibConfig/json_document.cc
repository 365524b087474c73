#include "LibConfig/json_document.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <sstream>
#include <vector>

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

// Parser handler that records the line on which each value starts. The parser
// gets the text line by line, so the line is known at each event. Requirements
// of Boost.JSON for a handler:
// https://www.boost.org/doc/libs/1_81_0/libs/json/doc/html/json/ref/boost__json__basic_parser.html
class LineHandler {
 public:
  // NOLINTBEGIN(readability-identifier-naming): names that Boost.JSON requires
  static constexpr std::size_t max_array_size = -1;
  static constexpr std::size_t max_object_size = -1;
  static constexpr std::size_t max_string_size = -1;
  static constexpr std::size_t max_key_size = -1;
  // NOLINTEND(readability-identifier-naming)

  using Error = boost::json::error_code;

  std::map<std::string, int, std::less<>> lines;
  int line = 1;

  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_object_begin(Error&) { return Open(false); }
  bool on_array_begin(Error&) { return Open(true); }
  bool on_object_end(std::size_t, Error&) { return Close(); }
  bool on_array_end(std::size_t, Error&) { return Close(); }
  bool on_key_part(json::string_view part, std::size_t, Error&) {
    key_.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t, Error&) {
    key_.append(part.data(), part.size());
    levels_.back().key = std::move(key_);
    key_.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, Error&) { return true; }
  bool on_string(json::string_view, std::size_t, Error&) { return Leaf(); }
  bool on_number_part(json::string_view, Error&) { return true; }
  bool on_int64(std::int64_t, json::string_view, Error&) { return Leaf(); }
  bool on_uint64(std::uint64_t, json::string_view, Error&) { return Leaf(); }
  bool on_double(double, json::string_view, Error&) { return Leaf(); }
  bool on_bool(bool, Error&) { return Leaf(); }
  bool on_null(Error&) { return Leaf(); }
  bool on_comment_part(json::string_view, Error&) { return true; }
  bool on_comment(json::string_view, Error&) { return true; }

 private:
  struct Level {
    std::string path;
    bool is_array = false;
    std::size_t index = 0;
    std::string key;
  };

  std::string NextPath() {
    if (levels_.empty())
      return "";
    Level& level = levels_.back();
    if (level.is_array)
      return level.path + "[" + std::to_string(level.index++) + "]";
    return level.path.empty() ? level.key : level.path + "." + level.key;
  }

  bool Leaf() {
    lines.emplace(NextPath(), line);
    return true;
  }

  bool Open(bool is_array) {
    std::string path = NextPath();
    lines.emplace(path, line);
    levels_.push_back(Level{.path = std::move(path), .is_array = is_array});
    return true;
  }

  bool Close() {
    levels_.pop_back();
    return true;
  }

  std::vector<Level> levels_;
  std::string key_;
};

json::parse_options CommentsAllowed() {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

}  // namespace

leaf::result<JsonDocument> JsonDocument::Parse(std::string_view text,
                                               std::string file) {
  JsonDocument document;
  document.file_ = std::move(file);
  json::basic_parser<LineHandler> lines(CommentsAllowed());
  json::error_code error;
  std::string_view rest = text;
  while (!rest.empty() && !error) {
    const std::size_t end = rest.find('\n');
    const std::string_view line =
        rest.substr(0, end == std::string_view::npos ? rest.size() : end + 1);
    rest.remove_prefix(line.size());
    lines.write_some(true, line.data(), line.size(), error);
    if (!error)
      ++lines.handler().line;
  }
  if (!error)
    lines.write_some(false, "", 0, error);
  if (!error)
    document.root_ = json::parse(text, error, {}, CommentsAllowed());
  if (error) {
    return leaf::new_error(ConfigError{
        {{.file = document.file_,
          .line = lines.handler().line,
          .expected = "expected valid JSON (" + error.message() + ")"}}});
  }
  document.lines_ = std::move(lines.handler().lines);
  return document;
}

leaf::result<JsonDocument> JsonDocument::Load(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    return leaf::new_error(
        ConfigError{{{.file = file, .expected = "expected a readable file"}}});
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return Parse(text.str(), file);
}

int JsonDocument::LineOf(std::string path) const {
  while (true) {
    auto it = lines_.find(path);
    if (it != lines_.end())
      return it->second;
    const std::size_t separator = path.find_last_of(".[");
    if (separator == std::string::npos)
      return 1;
    path.resize(separator);
  }
}

}  // namespace mustardbank
