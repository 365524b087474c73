// Tables of names for enumerations whose values count up from zero.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace mustardbank {

template <typename Enum, std::size_t N>
struct EnumNames {
  std::array<std::string_view, N> names;

  constexpr std::string_view operator[](Enum value) const {
    return names[static_cast<std::size_t>(value)];
  }

  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (std::size_t i = 0; i < N; ++i) {
      if (names[i] == name)
        return static_cast<Enum>(i);
    }
    return std::nullopt;
  }
};

}  // namespace mustardbank
