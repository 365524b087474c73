// Digests from OpenSSL and xxHash.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardbank {

using Sha256Digest = std::array<std::uint8_t, 32>;

Sha256Digest HmacSha256(std::string_view key, std::string_view message);

// SHA-256 of `text` in lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

// Fast 64-bit digest (XXH3), which is not cryptographic.
std::uint64_t FastDigest(std::string_view text, std::uint64_t seed = 0);

// Random bytes from the operating system, in hexadecimal digits.
std::string RandomHex(std::size_t bytes);

}  // namespace mustardbank
