// An IPv4 address with a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardbank {

struct Endpoint {
  std::uint32_t ip = 0;  // host byte order
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  // Formats as "a.b.c.d:port".
  std::string ToString() const;
  static std::optional<Endpoint> Parse(std::string_view text);
};

struct EndpointHash {
  std::size_t operator()(const Endpoint& endpoint) const {
    std::uint64_t mixed = (std::uint64_t{endpoint.ip} << 16 | endpoint.port) *
                          0x9E3779B97F4A7C15ULL;
    return mixed ^ (mixed >> 32);
  }
};

}  // namespace mustardbank
