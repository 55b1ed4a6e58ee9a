#pragma once

#include "bulrushrun/limits/RetryBudgetShare.h"
#include "bulrushrun/steering/CompletionEstimate.h"
#include "bulrushrun/steering/EarlyRepeats.h"
#include "bulrushrun/steering/TargetPicker.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::steering_test {

/// \brief One kind of request of a ScarceFleet.
struct RequestKind
{
  /// Requests per second from the callers of all regions together.
  double mRate = 0;
  Duration mExecution{ 0 };
  Duration mLatencyTarget{ 0 };
  Duration mDeadline{ 0 };
  PriorityLevel mLevel;
  bool mIdempotent = false;
};

/// \brief What the callers of one kind got.
struct KindResult
{
  int mCallers = 0;
  int mInTime = 0;
  int mLate = 0;
  int mRefused = 0;
  /// Requests sent to a target that declined.
  int mDeclined = 0;

  double inTime() const { return mCallers == 0 ? 0 : 1.0 * mInTime / mCallers; }
  double served() const { return mCallers == 0 ? 0 : 1.0 * (mInTime + mLate) / mCallers; }
};

struct ScarceFleetOptions
{
  std::vector<RequestKind> mKinds;
  std::size_t mInstancesPerZone = 4;
  /// Zones 0 and 1 are in region 0, zones 2 and 3 in region 1, and so on.
  std::array<int, 6> mTargetsOfZone{ 2, 3, 12, 12, 12, 12 };
  int mSlots = 3;
  /// Objects that the callers of each region use, and the exponent of their popularity.
  int mObjectsPerRegion = 120;
  double mZipfExponent = 0.8;
  /// Requests compete by priority, or are served as on deployments without priorities.
  bool mCompete = true;
  /// Repeats that each refused caller of kind 0 sends at once, ignoring Retry-After.
  int mAbusiveRepeats = 0;
  /// Share of the targets at which work takes mSlowdown times as long, chosen anew at random every
  /// half second, and whether targets report it.
  double mSlowShare = 0;
  double mSlowdown = 4;
  bool mReportSpeeds = true;
  /// Requests have no affinity keys.
  bool mWithoutKeys = false;
  /// Amplitude of the demand of each region around its mean; the period is 36 s.
  double mWave = 0;
  std::uint64_t mSeed = 1;
};

/// \brief Instances without a network in front of targets with queues that remember objects. Runs
/// under a virtual clock and counts what callers get.
///
/// Callers wait until their deadline and repeat a refused request once, after the stated time.
class ScarceFleet
{
public:
  static constexpr std::size_t kZones = 6;
  static constexpr std::size_t kRegions = 3;

  explicit ScarceFleet(const ScarceFleetOptions& aOptions);
  ScarceFleet(const ScarceFleet&) = delete;
  ScarceFleet& operator=(const ScarceFleet&) = delete;

  void run(Duration aDuration);
  /// \brief Multiplies the rates of all kinds.
  void setDemand(double aFactor) { mDemand = aFactor; }
  /// \brief Forgets what callers got so far.
  void reset() { mResults.assign(mOptions.mKinds.size(), {}); }
  const KindResult& result(std::size_t aKind) const { return mResults.at(aKind); }
  /// \brief \returns the results of all kinds as text.
  std::string table() const;

private:
  struct Instance
  {
    std::size_t mZone = 0;
    std::unique_ptr<TargetPicker> mPicker;
    PickContext mContext;
    std::map<std::size_t, ExecutionTimeLearner> mTimes;
    MedianEstimate mQueued;
    MedianEstimate mLatency;
    RetryBudgetShare mRetries;
    EarlyRepeats mRepeats;
  };
  struct Target
  {
    std::size_t mZone = 0;
    int mRunning = 0;
    double mSlowdown = 1;
    std::deque<std::function<void()>> mQueue;
    /// Objects served last, newest first.
    std::deque<std::uint64_t> mObjects;
  };
  struct Call
  {
    std::size_t mKind = 0;
    std::size_t mInstance = 0;
    std::uint64_t mObject = 0;
    TimePoint mSent;
    TimePoint mDeadline;
    bool mIsRepeat = false;
    /// Sent by an abusive caller beside its own request; does not count as a caller.
    bool mIsExtra = false;
    int mAttempts = 0;
    std::set<TargetId> mTried;
  };
  using CallPtr = std::shared_ptr<Call>;

  void at(Duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aDelay, std::move(aEvent));
  }
  void arrive(std::size_t aRegion, std::size_t aKind);
  void dispatch(const CallPtr& aCall);
  void send(const CallPtr& aCall, const PickResult& aPick);
  void start(const TargetId& aTarget, const std::function<void()>& aWork);
  void execute(const CallPtr& aCall,
               const PickResult& aPick,
               const TargetId& aTarget,
               TimePoint aSent);
  void onResponse(const CallPtr& aCall,
                  const PickResult& aPick,
                  const TargetId& aTarget,
                  TimePoint aSent,
                  int aLoad);
  void onDeclined(const CallPtr& aCall, const TargetId& aTarget, int aLoad);
  void changeSpeeds();
  void report(Instance& aInstance, const TargetId& aTarget, int aLoad);
  void refuse(const CallPtr& aCall, const std::optional<Duration>& aUntilRoom);
  Duration wayTo(const Instance& aInstance, const TargetId& aTarget) const;

  ScarceFleetOptions mOptions;
  Random mRandom;
  TimePoint mNow{ std::chrono::seconds(100) };
  double mDemand = 1;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  TargetTable mTable;
  std::map<TargetId, Target> mTargets;
  std::vector<Instance> mInstances;
  std::vector<double> mPopularity;
  std::vector<double> mDue;
  std::vector<KindResult> mResults;
};

} // namespace bulrushrun::steering_test
