#include "scenario/RunReport.h"

#include <array>
#include <cstdio>

namespace bulrushrun::scenario {

std::string describe(const std::string& aName, const RunReport& aReport)
{
  const Violations& v = aReport.mViolations;
  std::array<char, 256> line{};
  std::string text = aName + ": " + (aReport.passed() ? "passed" : "FAILED") + "\n";
  std::snprintf(
    line.data(),
    line.size(),
    "  duplicate executions %lu, false not-run %lu, wrong responses %lu, cut by a shutdown "
    "%lu, requests to leaving targets %lu, version reverts %lu, over a shift cap %lu\n",
    v.mDuplicateExecutions,
    v.mFalseNotRun,
    v.mWrongResponses,
    v.mCutByShutdown,
    v.mRequestsToLeavingTargets,
    v.mVersionReverts,
    v.mShiftCapExceeded);
  text += line.data();
  for (const auto& [name, f] : aReport.mClasses) {
    std::snprintf(line.data(),
                  line.size(),
                  "  %-26s sent %6lu answered %6lu not-run %5lu unknown %4lu failed %4lu  p50 "
                  "%7.2f  p99 %8.2f ms\n",
                  name.c_str(),
                  f.mSent,
                  f.mAnswered,
                  f.mNotRun,
                  f.mUnknown,
                  f.mFailed,
                  toSeconds(f.quantile(0.5)) * 1000,
                  toSeconds(f.quantile(0.99)) * 1000);
    text += line.data();
  }
  std::snprintf(
    line.data(),
    line.size(),
    "  slowest adoption of a configuration %.0f ms; store: %lu transactions, %lu reads\n",
    toSeconds(aReport.mAdoptionTime) * 1000,
    aReport.mTransactions,
    aReport.mReads);
  text += line.data();
  for (const std::string& missed : aReport.mMissedExpectations) {
    text += "  missed: " + missed + "\n";
  }
  return text;
}

} // namespace bulrushrun::scenario
