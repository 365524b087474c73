// Derives malformed messages from a recorded one, the same ones for each seed.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace mustardbank {

// Cases for each recorded message. 100,000 are run by hand.
inline int MutationCount() {
  const char* text = std::getenv("MUSTARDBANK_MUTATIONS");
  return text ? std::atoi(text) : 2000;
}

class MessageMutator {
 public:
  explicit MessageMutator(std::uint64_t seed) : random_(seed) {}

  std::string Mutate(std::string text) {
    for (std::uint64_t i = 0; i <= Below(3); ++i)
      text = Below(4) == 0 ? MutateByte(std::move(text))
                           : MutateValue(std::move(text));
    return text;
  }

  std::uint64_t Below(std::uint64_t limit) { return random_() % limit; }

 private:
  std::string MutateByte(std::string text) {
    if (text.empty())
      return "{";
    const std::size_t at = Below(text.size());
    switch (Below(5)) {
      case 0:
        text[at] = static_cast<char>(Below(256));
        return text;
      case 1:
        return text.substr(0, at);
      case 2:
        return text.erase(at, 1 + Below(8));
      case 3:
        return text.insert(at, text.substr(Below(text.size()), Below(40)));
      default:
        return text.insert(at, 1, static_cast<char>(Below(256)));
    }
  }

  // Replaces a number, a string or a literal by a value that is far off.
  std::string MutateValue(std::string text) {
    std::vector<std::pair<std::size_t, std::size_t>> tokens;
    for (std::size_t i = 0; i < text.size(); ++i) {
      std::size_t end = text[i] == '"' ? text.find('"', i + 1)
                                       : text.find_first_of("[{,]}: \"", i);
      if (end == std::string::npos)
        break;
      end += text[i] == '"' ? 1 : 0;
      if (end == i)
        continue;
      tokens.emplace_back(i, end - i);
      i = end - 1;
    }
    if (tokens.empty())
      return text;
    const auto [at, size] = tokens[Below(tokens.size())];
    return text.replace(at, size, Extreme());
  }

  std::string Extreme() {
    static const std::string values[] = {
        "-1",
        "0",
        "1",
        "-0.0",
        "0.5",
        "101",
        "100001",
        "2147483648",
        "4294967295",
        "4294967297",
        "9007199254740993",
        "9223372036854775807",
        "-9223372036854775808",
        "18446744073709551615",
        "99999999999999999999999",
        "1e308",
        "-1e308",
        "1e999",
        "NaN",
        "null",
        "true",
        "[]",
        "{}",
        "[0,0,0,0,0,0]",
        "\"\"",
        "\"a.b/c\"",
        "\"x\\r\\ny: z\"",
        "\"\xff\xfe\"",
        "\"10.0.0.1:0\"",
        "\"" + std::string(3000, 'x') + "\"",
        std::string(1000, '[') + std::string(1000, ']')};
    return values[Below(std::size(values))];
  }

  std::mt19937_64 random_;
};

}  // namespace mustardbank
