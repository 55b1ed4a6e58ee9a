#include "bulrushrun/store/Base64.h"

#include <openssl/evp.h>

namespace bulrushrun {

std::string toBase64(std::string_view aBytes)
{
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(aBytes.data()),
                                     static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> fromBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(3 * aText.size() / 4 + 1, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(aText.data()),
                                     static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() && aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

} // namespace bulrushrun
