#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief \returns the text in the zlib format (RFC 1950).
std::string compressText(std::string_view aText);

/// \brief Restores a text that compressText() made.
/// \param aMaxBytes  longest text that is restored
/// \returns nothing when the bytes are malformed or the text is longer
std::optional<std::string> decompressText(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace bulrushrun
