#include "bulrushrun/core/Endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace bulrushrun {

std::string Endpoint::text() const
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((mAddress >> static_cast<unsigned>(shift)) & 0xffU);
    text += shift > 0 ? "." : ":";
  }
  return text + std::to_string(mPort);
}

std::optional<Endpoint> parseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host{ aText.substr(0, colon) };
  in_addr address{};
  if (::inet_pton(AF_INET, host.c_str(), &address) != 1) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const std::from_chars_result parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size() || port == 0) {
    return std::nullopt;
  }
  return Endpoint{ ntohl(address.s_addr), port };
}

} // namespace bulrushrun
