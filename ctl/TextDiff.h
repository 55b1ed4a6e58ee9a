#pragma once

#include <string>

namespace bulrushrun {

/// \brief \returns the lines that differ; old lines are prefixed with `-`, new lines with `+`.
///
/// Based on the longest common subsequence, O(old lines x new lines).
std::string textDiff(const std::string& aOld, const std::string& aNew);

} // namespace bulrushrun
