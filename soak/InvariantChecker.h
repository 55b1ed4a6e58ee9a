#pragma once

#include "bulrushrun/host.h"
#include "soak/CallerKey.h"
#include "soak/StabilityTracker.h"
#include "soak/TargetWishChecker.h"
#include "standins/RegisteredTarget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief Time bounds that the deployment guarantees, and the tolerance of the checks.
struct SoakBounds
{
  Duration mDrain = std::chrono::milliseconds(2500);
  Duration mConfiguration = std::chrono::milliseconds(2500);
  Duration mGrace = std::chrono::seconds(6);
  Duration mRegression = std::chrono::milliseconds(250);
  /// Time by which a loaded machine may delay messages between processes beyond a bound.
  Duration mSlack = std::chrono::milliseconds(300);
};

/// \brief One request of a caller, as observed by the caller and the targets.
struct Attempt
{
  std::size_t mInstance = 0;
  bool mIdempotent = true;
  bool mLarge = false;
  /// True for a probe of the configuration in force.
  bool mProbe = false;
  CallerKey mKey;
  TimePoint mSent;
  /// The earlier of the caller's and the route's time limit.
  Duration mTimeLimit{ 0 };
  int mExecutions = 0;
  std::string mLastTarget;
  std::string mLastService;
  /// The target that executed it had announced, in its answers, that it is leaving.
  bool mTargetLeaving = false;
  std::optional<ExchangeResult> mEnd;
  ResponseHead mHead;
  std::string mBody;
  bool mAbandoned = false;
};

/// \brief Checks the guarantees during a run, from what callers and targets observe.
class InvariantChecker
{
public:
  explicit InvariantChecker(std::size_t aInstances)
    : mInstances(aInstances)
    , mRestarts(aInstances)
    , mStopsBegun(aInstances)
    , mObservedVersions(aInstances)
  {
  }

  /// \brief Records that a caller sends a request.
  void onSent(const std::string& aId, Attempt aAttempt);
  /// \brief Records that a target begins to execute a request, and checks that it may.
  void onExecution(const std::string& aId,
                   const standins::RegisteredTarget& aTarget,
                   TimePoint aNow);
  /// \brief Records that a request reached a target, and checks that the target does not rest.
  void onArrival(const std::string& aId, const standins::RegisteredTarget& aTarget, TimePoint aNow);
  /// \brief Checks what a request that reached a target tells it, and that its key permits it.
  void onHeaders(const HttpRequest& aRequest, const standins::RegisteredTarget& aTarget);
  /// \brief Records that a target turned a request away and asked for rest.
  void onRest(const std::string& aId,
              const standins::RegisteredTarget& aTarget,
              Duration aTime,
              TimePoint aNow);
  /// \brief Checks a request that ended for the caller; its response and mEnd are set.
  void onEnded(const std::string& aId, TimePoint aNow);
  /// \brief Records that the store acknowledged a configuration version.
  void onVersion(std::uint64_t aVersion, TimePoint aNow);
  /// \brief Records that the store acknowledged that a target is leaving, or that it is back.
  void onLeaving(const std::string& aTarget, std::optional<TimePoint> aWhen);
  /// \brief Records the restart of an instance.
  void onRestart(std::size_t aInstance)
  {
    mObservedVersions[aInstance] = {};
    mStopsBegun[aInstance].reset();
    mWishes.onInstanceRestart(aInstance);
  }
  /// \brief Records that an instance is asked to stop by plan.
  void onPlannedStop(std::size_t aInstance, TimePoint aNow) { mStopsBegun[aInstance] = aNow; }
  /// \brief Records that an instance ended by plan. Time bounds hold only some time later; this
  /// excuses no interrupted request.
  void onPlannedEnd(std::size_t aInstance, TimePoint aBackAt)
  {
    mRestarts[aInstance].addDisturbance(aBackAt);
  }
  /// \brief Records that a target starts again.
  void onTargetRestart(const std::string& aTarget, TimePoint aNow)
  {
    mWishes.onTargetRestart(aTarget, aNow);
  }
  /// \brief Adds a finding: a violated guarantee.
  void report(const std::string& aText) { mFindings.push_back(aText); }
  /// \brief Checks the guarantees that can be checked only after the run.
  void checkAtEnd();

  Attempt* find(const std::string& aId);
  /// \brief \returns the newest configuration version that the store acknowledged; 0 for none.
  std::uint64_t newestVersion() const { return mVersions.empty() ? 0 : mVersions.rbegin()->first; }
  StabilityTracker& instance(std::size_t aInstance) { return mInstances[aInstance]; }
  StabilityTracker& store() { return mStore; }
  StabilityTracker& targets() { return mTargets; }
  /// \brief \returns the tracker of the link to a target.
  StabilityTracker& link(const std::string& aTarget) { return mLinks[aTarget]; }
  const std::vector<std::string>& findings() const { return mFindings; }
  /// \brief \returns the share of the requests sent since then that succeeded with status 200;
  /// probes, abandoned requests and those without a permanent key are not counted.
  double successShareSince(TimePoint aStart) const;
  /// \brief \returns one line with the number of requests by result.
  std::string summary() const;

private:
  /// Newest configuration version whose effect was observed at an instance.
  struct ObservedVersion
  {
    std::uint64_t mVersion = 0;
    TimePoint mObservedAt;
  };

  bool isConnectedAndStable(std::size_t aInstance, TimePoint aNow) const
  {
    return mInstances[aInstance].isStable(aNow) && mRestarts[aInstance].isStable(aNow) &&
           mStore.isStable(aNow);
  }
  std::optional<TimePoint> acknowledgedAt(std::uint64_t aVersion) const;
  bool isInForce(std::uint64_t aVersion, const Attempt& aAttempt) const;
  void checkKeyResponse(const std::string& aId, const Attempt& aAttempt);
  void checkProbe(const std::string& aId, const Attempt& aAttempt);
  void checkResponse(const std::string& aId, const Attempt& aAttempt);
  void checkPlannedStop(const std::string& aId, const Attempt& aAttempt, TimePoint aNow);
  void checkInterruption(const std::string& aId, const Attempt& aAttempt, TimePoint aNow);

  SoakBounds mBounds;
  std::map<std::string, Attempt> mAttempts;
  std::vector<StabilityTracker> mInstances;
  /// Planned restarts of the instances.
  std::vector<StabilityTracker> mRestarts;
  std::vector<std::optional<TimePoint>> mStopsBegun;
  StabilityTracker mStore;
  StabilityTracker mTargets;
  std::map<std::string, StabilityTracker> mLinks;
  TargetWishChecker mWishes;
  std::map<std::string, TimePoint> mLeavingTargets;
  std::map<std::uint64_t, TimePoint> mVersions;
  std::vector<ObservedVersion> mObservedVersions;
  std::vector<std::string> mFindings;
};

} // namespace bulrushrun::soak
