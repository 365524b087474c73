#include "LibCore/digest.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <vector>

namespace mustardbank {

namespace {

template <typename Bytes>
std::string ToHex(const Bytes& bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  boost::algorithm::hex_lower(bytes, std::back_inserter(text));
  return text;
}

}  // namespace

Sha256Digest HmacSha256(std::string_view key, std::string_view message) {
  Sha256Digest digest{};
  unsigned int size = digest.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       digest.data(), &size);
  return digest;
}

std::string Sha256Hex(std::string_view text) {
  Sha256Digest digest{};
  unsigned int size = digest.size();
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest);
}

std::uint64_t FastDigest(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string RandomHex(std::size_t bytes) {
  std::vector<std::uint8_t> random(bytes);
  RAND_bytes(random.data(), static_cast<int>(random.size()));
  return ToHex(random);
}

}  // namespace mustardbank
