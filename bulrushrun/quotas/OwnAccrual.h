#pragma once

#include "bulrushrun/quotas/QuotaTiming.h"

#include <algorithm>
#include <cmath>

namespace bulrushrun {

/// \brief Tokens that an instance accrues and spends itself while it has no coordinator.
///
/// Where the instance's part of the burst is less than one token, each token lapses soon after its
/// creation, and a random phase spreads the instances' tokens over time. Without that, each of them
/// could hold one token at the same time, which is more than the burst of a small limit.
class OwnAccrual
{
public:
  OwnAccrual() = default;
  /// \param aPhase  random number in [0, 1)
  OwnAccrual(double aPhase, TimePoint aNow)
    : mTokens(aPhase)
    , mUpdatedAt(aNow)
  {
  }

  /// \brief Takes a token. \returns false when there is none
  /// \param aRate  tokens per second of this instance
  /// \param aBurst  part of the burst of this instance
  bool take(double aRate, double aBurst, TimePoint aNow)
  {
    const double elapsed = std::max(toSeconds(aNow - mUpdatedAt), 0.0);
    mUpdatedAt = aNow;
    const double accrued = mTokens + aRate * elapsed;
    if (aBurst >= 1) {
      mTokens = std::min(accrued, aBurst);
      if (mTokens < 1) {
        return false;
      }
      mTokens -= 1;
      return true;
    }
    if (accrued >= 1) {
      mTokens = accrued - std::floor(accrued);
      mCreatedAt = aNow - fromSeconds(mTokens / aRate);
      mHasToken = true;
    } else {
      mTokens = accrued;
    }
    const bool isValid = mHasToken && aNow - mCreatedAt < QuotaTiming::kReuseTime;
    mHasToken = false;
    return isValid;
  }

  /// \brief \returns the time until the next token.
  Duration nextTokenIn(double aRate) const
  {
    constexpr double kMaxSeconds = 60;
    return fromSeconds(std::min(std::max(1 - mTokens, 0.0) / aRate, kMaxSeconds));
  }

private:
  double mTokens = 0;
  TimePoint mUpdatedAt;
  TimePoint mCreatedAt;
  bool mHasToken = false;
};

} // namespace bulrushrun
