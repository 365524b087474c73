#include "LibCore/base64.h"

#include <openssl/evp.h>

namespace mustardbank {

std::string EncodeBase64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.empty())
    return std::string();
  if (text.size() % 4 != 0)
    return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0)
    return std::nullopt;
  // EVP_DecodeBlock decodes the padding to zero bytes.
  const std::size_t padding = text.ends_with("==")  ? 2
                              : text.ends_with("=") ? 1
                                                    : 0;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

}  // namespace mustardbank
