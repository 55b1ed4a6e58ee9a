#pragma once

#include "bulrushrun/host.h"
#include "soak/StabilityTracker.h"
#include "standins/RegisteredTarget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief What the deployment promises, and what the checks allow on top for this machine.
struct SoakBounds
{
  Duration mDrain = std::chrono::milliseconds(2500);
  Duration mConfiguration = std::chrono::milliseconds(2500);
  Duration mRegression = std::chrono::milliseconds(250);
  /// Time that a loaded machine may add to a bound on the way from one process to another.
  Duration mSlack = std::chrono::milliseconds(300);
};

/// \brief One attempt of a caller, as callers and targets saw it.
struct Attempt
{
  std::size_t mInstance = 0;
  bool mIdempotent = true;
  bool mLarge = false;
  /// Set for a probe of the configuration in force.
  bool mProbe = false;
  TimePoint mSent;
  int mExecutions = 0;
  std::string mLastTarget;
  std::string mLastService;
  std::optional<ExchangeResult> mEnd;
  ResponseHead mHead;
  std::string mBody;
  bool mAbandoned = false;
};

/// \brief Checks the promises from what callers and targets see, while the run goes on.
class InvariantChecker
{
public:
  explicit InvariantChecker(std::size_t aInstances)
    : mInstances(aInstances)
    , mSeen(aInstances)
  {
  }

  /// \brief A caller sends an attempt.
  void onSent(const std::string& aId, Attempt aAttempt);
  /// \brief A target begins to run it.
  void onExecution(const std::string& aId,
                   const standins::RegisteredTarget& aTarget,
                   TimePoint aNow);
  /// \brief It ended for the caller; answer and end are set.
  void onEnded(const std::string& aId, TimePoint aNow);
  /// \brief The store acknowledged a version of the configuration.
  void onVersion(std::uint64_t aVersion, TimePoint aNow);
  /// \brief The store acknowledged that a target leaves, or that it is back.
  void onLeaving(const std::string& aTarget, std::optional<TimePoint> aWhen);
  /// \brief An instance began another life.
  void onRestart(std::size_t aInstance) { mSeen[aInstance] = {}; }
  /// \brief A process ended by itself, or wrongly.
  void report(const std::string& aText) { mFindings.push_back(aText); }
  /// \brief Looks at what can be judged only at the end.
  void checkAtEnd();

  Attempt* find(const std::string& aId);
  StabilityTracker& instance(std::size_t aInstance) { return mInstances[aInstance]; }
  StabilityTracker& store() { return mStore; }
  StabilityTracker& targets() { return mTargets; }
  const std::vector<std::string>& findings() const { return mFindings; }
  /// \brief \returns the answered share of what was sent after a moment.
  double successShareSince(TimePoint aMoment) const;
  /// \brief \returns one line of counts.
  std::string summary() const;

private:
  /// Newest version whose effect was seen at an instance.
  struct Seen
  {
    std::uint64_t mVersion = 0;
    TimePoint mWhen;
  };

  bool isConnectedAndStable(std::size_t aInstance, TimePoint aNow) const
  {
    return mInstances[aInstance].isStable(aNow) && mStore.isStable(aNow);
  }
  void checkProbe(const std::string& aId, const Attempt& aAttempt);
  void checkAnswer(const std::string& aId, const Attempt& aAttempt);
  void checkInterruption(const std::string& aId, const Attempt& aAttempt, TimePoint aNow);

  SoakBounds mBounds;
  std::map<std::string, Attempt> mAttempts;
  std::vector<StabilityTracker> mInstances;
  StabilityTracker mStore;
  StabilityTracker mTargets;
  std::map<std::string, TimePoint> mLeaving;
  std::map<std::uint64_t, TimePoint> mVersions;
  std::vector<Seen> mSeen;
  std::vector<std::string> mFindings;
};

} // namespace bulrushrun::soak
