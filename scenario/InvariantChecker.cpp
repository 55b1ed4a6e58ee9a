#include "scenario/InvariantChecker.h"

#include <algorithm>

namespace bulrushrun::scenario {

namespace {

constexpr std::size_t kMaxSeedCopies = 50;

} // namespace

Duration ClassStatistics::quantile(double aQuantile) const
{
  if (mLatencies.empty()) {
    return Duration{ 0 };
  }
  std::vector<Duration> sorted = mLatencies;
  const double at = aQuantile * static_cast<double>(sorted.size() - 1);
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(at);
  std::nth_element(sorted.begin(), nth, sorted.end());
  return *nth;
}

std::string InvariantChecker::expectedBody(const std::string& aSeed)
{
  std::string body;
  const std::size_t copies = 1 + hashText(aSeed) % kMaxSeedCopies;
  for (std::size_t i = 0; i < copies; ++i) {
    body += aSeed + ";";
  }
  return body;
}

void InvariantChecker::onExecution(const std::string& aAttempt, const std::string& aKey)
{
  mExecutedAttempts.insert(aAttempt);
  if (!aKey.empty()) {
    ++mExecutionsByKey[aKey];
  }
}

void InvariantChecker::onAnswered(const std::string& aClass,
                                  const std::string& aBodySeed,
                                  const std::string& aBody,
                                  Duration aLatency)
{
  if (aBody != expectedBody(aBodySeed)) {
    ++mViolations.mWrongResponses;
  }
  ClassStatistics& statistics = mClasses[aClass];
  ++statistics.mAnswered;
  statistics.mLatencies.push_back(aLatency);
}

void InvariantChecker::onNotRun(const std::string& aClass, const std::string& aAttempt)
{
  ++mClasses[aClass].mNotRun;
  mNotRunAttempts.insert(aAttempt);
}

void InvariantChecker::onVersion(const std::string& aNode, ConfigurationVersion aVersion)
{
  ConfigurationVersion& seen = mVersions[aNode];
  if (aVersion < seen) {
    ++mViolations.mVersionReverts;
  }
  seen = aVersion;
}

Violations InvariantChecker::checkAtEnd()
{
  for (const auto& [key, executions] : mExecutionsByKey) {
    mViolations.mDuplicateExecutions += executions > 1 ? 1U : 0U;
  }
  for (const std::string& attempt : mNotRunAttempts) {
    mViolations.mFalseNotRun += mExecutedAttempts.contains(attempt) ? 1U : 0U;
  }
  return mViolations;
}

} // namespace bulrushrun::scenario
