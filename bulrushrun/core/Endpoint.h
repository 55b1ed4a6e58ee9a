#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief IPv4 address and port, both in host byte order.
struct Endpoint
{
  std::uint32_t mAddress = 0;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;

  /// \brief \returns `a.b.c.d:port`.
  std::string text() const;
};

/// \brief Parses `a.b.c.d:port`. \returns std::nullopt for any other text.
std::optional<Endpoint> parseEndpoint(std::string_view aText);

} // namespace bulrushrun

template<>
struct std::hash<bulrushrun::Endpoint>
{
  std::size_t operator()(const bulrushrun::Endpoint& aEndpoint) const
  {
    return (std::size_t{ aEndpoint.mAddress } << 16U) | aEndpoint.mPort;
  }
};
