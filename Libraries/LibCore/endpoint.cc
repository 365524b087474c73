#include "LibCore/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace mustardbank {

std::string Endpoint::ToString() const {
  in_addr address{.s_addr = htonl(ip)};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  in_addr address{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(),
                &address) != 1) {
    return std::nullopt;
  }
  Endpoint endpoint{.ip = ntohl(address.s_addr)};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc() || end != port.data() + port.size())
    return std::nullopt;
  return endpoint;
}

}  // namespace mustardbank
