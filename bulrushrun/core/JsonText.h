#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace bulrushrun {

/// \brief Parses JSON that somebody else has written.
///
/// A parsed value takes many times the bytes of its text, so that the number of values is bounded,
/// too: about 100 bytes each. \returns a discarded value when the text is malformed or has more.
nlohmann::json parseJson(std::string_view aText);

} // namespace bulrushrun
