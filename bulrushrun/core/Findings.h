#pragma once

#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Place in a text file; line and column count from 1, 0 stands for the whole file.
struct SourceLocation
{
  std::string mFile;
  int mLine = 0;
  int mColumn = 0;
};

/// \brief One thing that is wrong, and where.
struct Finding
{
  SourceLocation mLocation;
  std::string mText;
};

/// \brief All that is wrong with an input, collected and reported together.
///
/// \code
/// Findings findings;
/// findings.add(place, "unknown zone 'x'");
/// if (!findings.empty()) std::cerr << findings.report();
/// \endcode
class Findings
{
public:
  /// \brief Adds one finding.
  void add(SourceLocation aPlace, std::string aText)
  {
    mItems.push_back({ std::move(aPlace), std::move(aText) });
  }

  bool empty() const { return mItems.empty(); }
  const std::vector<Finding>& items() const { return mItems; }

  /// \brief \returns one line per finding: `file:line:column: text`.
  std::string report() const
  {
    std::string text;
    for (const Finding& finding : mItems) {
      text += finding.mLocation.mFile + ":" + std::to_string(finding.mLocation.mLine) + ":" +
              std::to_string(finding.mLocation.mColumn) + ": " + finding.mText + "\n";
    }
    return text;
  }

private:
  std::vector<Finding> mItems;
};

} // namespace bulrushrun
