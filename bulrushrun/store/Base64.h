#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief \returns the bytes encoded as base64 with padding.
std::string toBase64(std::string_view aBytes);

/// \brief \returns the decoded bytes of a base64 text, or nothing when it is malformed.
std::optional<std::string> fromBase64(std::string_view aText);

} // namespace bulrushrun
