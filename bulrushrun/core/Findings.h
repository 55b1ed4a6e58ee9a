#pragma once

#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Location in a text file. Lines and columns count from 1; 0 refers to the whole file.
struct SourceLocation
{
  std::string mFile;
  int mLine = 0;
  int mColumn = 0;
};

/// \brief Error found in an input, with its location.
struct Finding
{
  SourceLocation mLocation;
  std::string mText;
};

/// \brief Collects all errors found in an input, to report them together.
///
/// \code
/// Findings findings;
/// findings.add(location, "unknown zone 'x'");
/// if (!findings.empty()) std::cerr << findings.report();
/// \endcode
class Findings
{
public:
  void add(SourceLocation aLocation, std::string aText)
  {
    mItems.push_back({ std::move(aLocation), std::move(aText) });
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
