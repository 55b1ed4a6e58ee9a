#pragma once

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief \returns the contents of a file, or std::nullopt when it cannot be read.
std::optional<std::string> readFile(const std::string& aPath);

} // namespace bulrushrun
