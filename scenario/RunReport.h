#pragma once

#include "scenario/InvariantChecker.h"

#include <map>
#include <string>
#include <vector>

namespace bulrushrun::scenario {

/// \brief Result of a run.
struct RunReport
{
  Violations mViolations;
  std::map<std::string, ClassStatistics> mClasses;
  /// Longest time from acceptance of a configuration to its adoption by every reachable node.
  Duration mAdoptionTime{ 0 };
  std::uint64_t mTransactions = 0;
  std::uint64_t mReads = 0;
  /// One text for each expectation that was not met.
  std::vector<std::string> mMissedExpectations;

  bool passed() const { return mViolations.sum() == 0 && mMissedExpectations.empty(); }
};

/// \brief \returns a report as a human-readable table.
std::string describe(const std::string& aName, const RunReport& aReport);

} // namespace bulrushrun::scenario
