#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/limits/TargetQuota.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace bulrushrun {

/// \brief Limits the requests that this instance sends to targets that named a rate, so that the
/// sum over all instances stays near that rate although no instance knows what the others send.
///
/// Each instance may send its quota of the rate within a sliding window. An instance without a
/// quota would never learn that the limit has ended; it may send single requests at long intervals.
class TargetRateLimiter
{
public:
  /// \brief Length of the sliding window. Longer than the 4 s over which the limit is measured at
  /// the target, because requests take different times to arrive.
  static constexpr Duration kWindow = std::chrono::milliseconds(4200);

  /// \brief Records the rate that a target named in a response.
  /// \param aIncarnation  incarnation of the target at which the request was sent
  /// \param aRate  requests per second that the target takes from all instances together
  /// \param aPhase  random number in [0, 1) that spreads the instances' single requests over time
  /// \returns true when the rate was unknown or has changed by more than a quarter
  bool setLimit(const TargetId& aTarget,
                Incarnation aIncarnation,
                double aRate,
                double aPhase,
                TimePoint aNow)
  {
    Limit& limit = mLimits[aTarget];
    const bool isNew = !limit.mRate || limit.mIncarnation != aIncarnation;
    const bool isChanged = isNew || std::abs(aRate - limit.mLoggedRate) > limit.mLoggedRate / 4;
    if (isNew) {
      limit.mNextSingleAt = aNow;
      limit.mPhase = aPhase;
    }
    limit.mIncarnation = aIncarnation;
    limit.mRate = aRate;
    limit.mNamedAt = aNow;
    limit.mLoggedRate = isChanged ? aRate : limit.mLoggedRate;
    return isChanged;
  }

  /// \brief Records a response of the target that names no limit.
  /// \param aStarted  when the request was sent; the response to one that was sent before the limit
  /// was last named may be older than the limit
  /// \returns true when a limit has ended
  bool onNoLimit(const TargetId& aTarget, TimePoint aStarted)
  {
    const auto found = mLimits.find(aTarget);
    if (found == mLimits.end() || aStarted <= found->second.mNamedAt) {
      return false;
    }
    mLimits.erase(found);
    return true;
  }

  /// \brief Counts one request if the target's limit allows it. \returns false when it does not
  /// \param aHash  hash of the target's identity
  /// \param aQuota  quota of this instance among all that may send to the target
  bool admit(const TargetId& aTarget,
             std::uint64_t aHash,
             Incarnation aIncarnation,
             const TargetQuota& aQuota,
             TimePoint aNow)
  {
    const auto found = mLimits.find(aTarget);
    if (found == mLimits.end()) {
      return true;
    }
    Limit& limit = found->second;
    if (limit.mIncarnation != aIncarnation) {
      // It was named by an earlier incarnation of the target.
      mLimits.erase(found);
      return true;
    }
    std::deque<TimePoint>& sendTimes = limit.mSendTimes;
    while (!sendTimes.empty() && aNow - sendTimes.front() >= kWindow) {
      sendTimes.pop_front();
    }
    const std::size_t quota = aQuota.quota(aHash, *limit.mRate * toSeconds(kWindow));
    if (quota == 0) {
      return admitSingle(limit, aQuota, aNow);
    }
    if (sendTimes.size() >= quota) {
      return false;
    }
    sendTimes.push_back(aNow);
    return true;
  }

  /// \brief Discards the state of a target.
  void forget(const TargetId& aTarget) { mLimits.erase(aTarget); }

private:
  /// Requests per second that all instances without a quota may send together: a fraction of the
  /// target's rate, and at least this many.
  static constexpr double kSinglesShare = 0.1;
  static constexpr double kMinSinglesPerSecond = 0.125;
  /// Time after which a single request that was not needed lapses, so that instances that were idle
  /// do not send theirs at the same time.
  static constexpr Duration kSingleValidity = std::chrono::seconds(1);

  struct Limit
  {
    std::optional<double> mRate;
    double mLoggedRate = 0;
    Incarnation mIncarnation;
    TimePoint mNamedAt;
    /// Start of the interval in which the next single request lies, and its place there.
    TimePoint mNextSingleAt;
    double mPhase = 0;
    std::deque<TimePoint> mSendTimes;
  };

  static bool admitSingle(Limit& aLimit, const TargetQuota& aQuota, TimePoint aNow)
  {
    if (aQuota.instances() == 0) {
      return false;
    }
    const double rate = std::max(kSinglesShare * *aLimit.mRate, kMinSinglesPerSecond);
    const Duration interval = fromSeconds(static_cast<double>(aQuota.instances()) / rate);
    while (aNow >= aLimit.mNextSingleAt + interval) {
      aLimit.mNextSingleAt += interval;
    }
    const TimePoint due = aLimit.mNextSingleAt + fromSeconds(toSeconds(interval) * aLimit.mPhase);
    if (aNow < due || aNow >= due + kSingleValidity) {
      return false;
    }
    aLimit.mNextSingleAt += interval;
    return true;
  }

  std::map<TargetId, Limit> mLimits;
};

} // namespace bulrushrun
