#pragma once

#include "bulrushrun/core/Time.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Parses `YYYY-MM-DDTHH:MM:SSZ`. \returns nothing for any other text.
std::optional<UnixSeconds> parseTimestamp(const std::string& aText);

/// \brief \returns the timestamp as `YYYY-MM-DDTHH:MM:SSZ`.
std::string formatTimestamp(UnixSeconds aTimestamp);

} // namespace bulrushrun
