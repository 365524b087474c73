#include "LibCore/job_id.h"

#include <openssl/crypto.h>

#include <boost/algorithm/hex.hpp>
#include <iterator>

#include "LibCore/digest.h"

namespace mustardbank {

namespace {

constexpr std::size_t kIpBytes = 4;
constexpr std::size_t kPortBytes = 2;
constexpr std::size_t kIncarnationBytes = 8;
constexpr std::size_t kSequenceBytes = 6;
constexpr std::size_t kBodyBytes =
    kIpBytes + kPortBytes + kIncarnationBytes + kSequenceBytes;
constexpr std::size_t kDigestBytes = 10;

void AppendBytes(std::string& bytes, std::uint64_t value, std::size_t count) {
  for (std::size_t i = count; i-- > 0;)
    bytes.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t TakeBytes(std::string_view& bytes, std::size_t count) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < count; ++i)
    value = value << 8 | static_cast<std::uint8_t>(bytes[i]);
  bytes.remove_prefix(count);
  return value;
}

std::string ShortDigest(std::string_view key,
                        std::string_view body,
                        std::string_view team) {
  const Sha256Digest digest =
      HmacSha256(key, std::string(body) + std::string(team));
  return std::string(digest.begin(), digest.begin() + kDigestBytes);
}

}  // namespace

std::string JobIdCodec::Encode(const JobId& id, std::string_view team) const {
  std::string bytes;
  bytes.reserve(kBodyBytes + kDigestBytes);
  AppendBytes(bytes, id.home.ip, kIpBytes);
  AppendBytes(bytes, id.home.port, kPortBytes);
  AppendBytes(bytes, id.incarnation, kIncarnationBytes);
  AppendBytes(bytes, id.sequence, kSequenceBytes);
  bytes += ShortDigest(key_, bytes, team);
  std::string text;
  text.reserve(bytes.size() * 2);
  boost::algorithm::hex_lower(bytes, std::back_inserter(text));
  return text;
}

std::optional<JobId> JobIdCodec::Decode(std::string_view text,
                                        std::string_view team) const {
  if (text.size() != 2 * (kBodyBytes + kDigestBytes))
    return std::nullopt;
  for (char c : text) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')))
      return std::nullopt;
  }
  std::string bytes;
  boost::algorithm::unhex(text, std::back_inserter(bytes));
  const std::string expected =
      ShortDigest(key_, std::string_view(bytes).substr(0, kBodyBytes), team);
  if (CRYPTO_memcmp(expected.data(), bytes.data() + kBodyBytes, kDigestBytes) !=
      0) {
    return std::nullopt;
  }
  std::string_view rest(bytes);
  JobId id;
  id.home.ip = static_cast<std::uint32_t>(TakeBytes(rest, kIpBytes));
  id.home.port = static_cast<std::uint16_t>(TakeBytes(rest, kPortBytes));
  id.incarnation = TakeBytes(rest, kIncarnationBytes);
  id.sequence = TakeBytes(rest, kSequenceBytes);
  return id;
}

}  // namespace mustardbank
