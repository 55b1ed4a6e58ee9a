#include "ctl/TextDiff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace bulrushrun {

namespace {

std::vector<std::string> splitLines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream stream{ aText };
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

} // namespace

std::string textDiff(const std::string& aOld, const std::string& aNew)
{
  const std::vector<std::string> oldLines = splitLines(aOld);
  const std::vector<std::string> newLines = splitLines(aNew);
  // commonLength[i][j]: length of the longest common subsequence of a[i..] and b[j..].
  std::vector<std::vector<std::size_t>> commonLength(oldLines.size() + 1,
                                                     std::vector<std::size_t>(newLines.size() + 1));
  for (std::size_t i = oldLines.size(); i-- > 0;) {
    for (std::size_t j = newLines.size(); j-- > 0;) {
      commonLength[i][j] = oldLines[i] == newLines[j]
                             ? commonLength[i + 1][j + 1] + 1
                             : std::max(commonLength[i + 1][j], commonLength[i][j + 1]);
    }
  }
  std::string text;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < oldLines.size() || j < newLines.size()) {
    if (i < oldLines.size() && j < newLines.size() && oldLines[i] == newLines[j]) {
      ++i;
      ++j;
    } else if (j == newLines.size() ||
               (i < oldLines.size() && commonLength[i + 1][j] >= commonLength[i][j + 1])) {
      text += "- " + oldLines[i++] + "\n";
    } else {
      text += "+ " + newLines[j++] + "\n";
    }
  }
  return text;
}

} // namespace bulrushrun
