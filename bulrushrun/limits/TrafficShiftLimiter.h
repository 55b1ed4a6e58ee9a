#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cmath>

namespace bulrushrun {

/// \brief Limits how many requests from other regions one pool serves at the same time, and how
/// fast that number grows.
///
/// Each owner limits its own pool. The limit on the sum therefore holds without coordination: the
/// receiving side decides, independent of the sender's view. Performs no I/O; the time is passed
/// as an argument.
///
/// \code
/// if (!limiter.tryAdmit(rules, slots, now)) refuse();
/// ...
/// limiter.onFinished();
/// \endcode
class TrafficShiftLimiter
{
public:
  /// \brief Limits from the configuration.
  struct Rules
  {
    /// Maximum share of the slots that may serve other regions.
    double mTotal = 0.5;
    /// Maximum growth of that share per second.
    double mPerSecond = 0.05;
  };

  /// \brief Admits one request from another region.
  /// \param aSlots  number of slots of the pool that are usable now
  /// \returns false when the limit or its growth rate does not allow it
  bool tryAdmit(const Rules& aRules, int aSlots, TimePoint aNow)
  {
    updateAllowance(aRules, aSlots, aNow);
    if (mInUse + 1 > mAllowed) {
      return false;
    }
    ++mInUse;
    mPeakInUse = std::max(mPeakInUse, mInUse);
    return true;
  }

  /// \brief Records the end of an admitted request.
  void onFinished() { --mInUse; }

  int inUse() const { return mInUse; }
  /// \brief \returns the number of concurrent requests allowed at the last call of tryAdmit().
  double allowed() const { return mAllowed; }

  /// \brief \returns the maximum number of concurrent requests under the rules: a share of the
  /// slots, but at least one unless that share is zero.
  static double maxConcurrent(const Rules& aRules, int aSlots)
  {
    return aRules.mTotal <= 0 ? 0 : std::max(1.0, std::floor(aRules.mTotal * aSlots));
  }

private:
  /// Allowance that was not used for this long is withdrawn and has to grow again.
  static constexpr Duration kWindow = std::chrono::seconds(10);

  void updateAllowance(const Rules& aRules, int aSlots, TimePoint aNow)
  {
    if (aNow - mWindowStart > kWindow) {
      mAllowed = std::min(mAllowed, static_cast<double>(mPeakInUse));
      mPeakInUse = mInUse;
      mWindowStart = aNow;
    }
    const double grown = mAllowed + toSeconds(aNow - mUpdatedAt) * aRules.mPerSecond * aSlots;
    const double maximum = maxConcurrent(aRules, aSlots);
    mAllowed = std::min(maximum, std::max(grown, std::min(1.0, maximum)));
    mUpdatedAt = aNow;
  }

  int mInUse = 0;
  int mPeakInUse = 0;
  double mAllowed = 0;
  TimePoint mUpdatedAt;
  TimePoint mWindowStart;
};

} // namespace bulrushrun
