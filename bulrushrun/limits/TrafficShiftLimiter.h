#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cmath>

namespace bulrushrun {

/// \brief Bounds the work that one pool does for other regions, and how fast it grows.
///
/// Each owner bounds its own pool, so that the sum holds without any agreement: the receiving side
/// decides, whatever the sender believes. Pure.
///
/// \code
/// if (!cap.take(rules, slots, now)) refuse();
/// ...
/// cap.give();
/// \endcode
class TrafficShiftLimiter
{
public:
  /// \brief Rules from the configuration.
  struct Rules
  {
    /// Largest share of the slots that may serve other regions.
    double mTotal = 0.5;
    /// Largest growth of that share, per second.
    double mPerSecond = 0.05;
  };

  /// \brief Takes one piece of work from another region in.
  /// \param aSlots  slots of the pool that are usable now
  /// \returns false when the cap, or its growth, does not allow it
  bool tryAdmit(const Rules& aRules, int aSlots, TimePoint aNow)
  {
    refresh(aRules, aSlots, aNow);
    if (mInUse + 1 > mAllowed) {
      return false;
    }
    ++mInUse;
    mPeak = std::max(mPeak, mInUse);
    return true;
  }

  /// \brief Ends one piece of work that was taken in.
  void onFinished() { --mInUse; }

  int inUse() const { return mInUse; }
  /// \brief \returns the pieces of work that were allowed at once when it was last asked.
  double allowed() const { return mAllowed; }

  /// \brief \returns the most that the rules ever allow: a share of the slots, and one at least.
  static double ceiling(const Rules& aRules, int aSlots)
  {
    return aRules.mTotal <= 0 ? 0 : std::max(1.0, std::floor(aRules.mTotal * aSlots));
  }

private:
  /// What was not used for so long must be allowed anew.
  static constexpr Duration kWindow = std::chrono::seconds(10);

  void refresh(const Rules& aRules, int aSlots, TimePoint aNow)
  {
    if (aNow - mWindowStart > kWindow) {
      mAllowed = std::min(mAllowed, static_cast<double>(mPeak));
      mPeak = mInUse;
      mWindowStart = aNow;
    }
    const double grown = mAllowed + toSeconds(aNow - mRefreshed) * aRules.mPerSecond * aSlots;
    const double most = ceiling(aRules, aSlots);
    mAllowed = std::min(most, std::max(grown, std::min(1.0, most)));
    mRefreshed = aNow;
  }

  int mInUse = 0;
  int mPeak = 0;
  double mAllowed = 0;
  TimePoint mRefreshed;
  TimePoint mWindowStart;
};

} // namespace bulrushrun
