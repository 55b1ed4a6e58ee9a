#pragma once

#include "bulrushrun/core.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bulrushrun::scenario {

/// \brief Request header with the unique name of one attempt of a caller.
inline constexpr const char* kAttemptHeader = "Scenario-Call";
/// \brief Request header with the seed from which the response body is generated.
inline constexpr const char* kBodySeedHeader = "Scenario-Body";

/// \brief Number of violations of each guarantee; a run passes if all are zero.
struct Violations
{
  std::uint64_t mDuplicateExecutions = 0;
  std::uint64_t mFalseNotRun = 0;
  std::uint64_t mWrongResponses = 0;
  std::uint64_t mCutByShutdown = 0;
  std::uint64_t mRequestsToLeavingTargets = 0;
  std::uint64_t mVersionReverts = 0;
  std::uint64_t mShiftCapExceeded = 0;

  std::uint64_t sum() const
  {
    return mDuplicateExecutions + mFalseNotRun + mWrongResponses + mCutByShutdown +
           mRequestsToLeavingTargets + mVersionReverts + mShiftCapExceeded;
  }
};

/// \brief Counts and latencies of one request class in one run.
struct ClassStatistics
{
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mFailed = 0;
  std::vector<Duration> mLatencies;

  /// \brief \returns a quantile of the latencies; zero when there are none.
  Duration quantile(double aQuantile) const;
};

/// \brief Checks the guarantees by comparing what targets executed with what callers received.
class InvariantChecker
{
public:
  /// \brief \returns the response body that belongs to a seed.
  static std::string expectedBody(const std::string& aSeed);

  // Reported by targets.
  void onExecution(const std::string& aAttempt, const std::string& aKey);
  void onShed() { ++mShed; }
  void onRequestToLeavingTarget() { ++mViolations.mRequestsToLeavingTargets; }
  /// \brief A target began to execute a request from another region.
  /// \param aZone  zone of the target, and service
  /// \param aCap  limit on concurrent requests from other regions in that zone
  void onShiftedRequestStarted(const std::string& aZone, double aCap)
  {
    const int use = ++mShiftedInProgress[aZone];
    mViolations.mShiftCapExceeded += use > aCap ? 1U : 0U;
  }
  void onShiftedRequestFinished(const std::string& aZone) { --mShiftedInProgress[aZone]; }

  // Reported by callers and by the simulation.
  void onSent(const std::string& aClass) { ++mClasses[aClass].mSent; }
  void onAnswered(const std::string& aClass,
                  const std::string& aBodySeed,
                  const std::string& aBody,
                  Duration aLatency);
  void onNotRun(const std::string& aClass, const std::string& aAttempt);
  void onUnknown(const std::string& aClass) { ++mClasses[aClass].mUnknown; }
  void onFailed(const std::string& aClass) { ++mClasses[aClass].mFailed; }
  /// \brief A graceful shutdown ended and interrupted this many requests.
  void onCutByShutdown(std::uint64_t aOpen) { mViolations.mCutByShutdown += aOpen; }
  /// \brief A node has this version of the configuration.
  void onVersion(const std::string& aNode, ConfigurationVersion aVersion);

  /// \brief \returns the violations of the whole run; to be called once, at its end.
  Violations checkAtEnd();
  const std::map<std::string, ClassStatistics>& classes() const { return mClasses; }
  std::uint64_t shed() const { return mShed; }

private:
  std::map<std::string, int> mExecutionsByKey;
  std::set<std::string> mExecutedAttempts;
  std::set<std::string> mNotRunAttempts;
  std::map<std::string, ConfigurationVersion> mVersions;
  std::map<std::string, ClassStatistics> mClasses;
  std::map<std::string, int> mShiftedInProgress;
  std::uint64_t mShed = 0;
  Violations mViolations;
};

} // namespace bulrushrun::scenario
