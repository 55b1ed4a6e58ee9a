#include "bulrushrun/core/Hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace bulrushrun {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::string hexOfBytes(const unsigned char* aBytes, std::size_t aCount)
{
  std::string text;
  text.reserve(2 * aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    text.push_back(kHexDigits[aBytes[i] >> 4U]);
    text.push_back(kHexDigits[aBytes[i] & 0xfU]);
  }
  return text;
}

} // namespace

std::string toHex(std::uint64_t aValue)
{
  std::array<unsigned char, 8> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<unsigned char>(aValue >> (56U - 8U * i));
  }
  return hexOfBytes(bytes.data(), bytes.size());
}

Sha256Digest sha256(std::string_view aBytes)
{
  Sha256Digest digest{};
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
  return digest;
}

std::string sha256Hex(std::string_view aBytes)
{
  const Sha256Digest digest = sha256(aBytes);
  return hexOfBytes(digest.data(), digest.size());
}

std::string hmacSha256(std::string_view aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()),
       aBytes.size(),
       code.data(),
       &length);
  return { reinterpret_cast<const char*>(code.data()), length };
}

bool constantTimeEquals(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace bulrushrun
