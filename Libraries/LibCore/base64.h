// Base64 (RFC 4648), implemented with OpenSSL.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mustardbank {

std::string EncodeBase64(std::string_view bytes);
// Returns nothing if the text is malformed.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace mustardbank
