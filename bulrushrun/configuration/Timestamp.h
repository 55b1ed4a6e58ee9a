#pragma once

#include "bulrushrun/core/Time.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Parses `YYYY-MM-DDTHH:MM:SSZ`. \returns nothing when the text is anything else.
std::optional<UnixSeconds> parseTimestamp(const std::string& aText);

/// \brief \returns the instant as `YYYY-MM-DDTHH:MM:SSZ`.
std::string formatTimestamp(UnixSeconds aInstant);

} // namespace bulrushrun
