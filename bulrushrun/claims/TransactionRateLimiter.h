#pragma once

#include "bulrushrun/core.h"

#include <algorithm>

namespace bulrushrun {

/// \brief Token bucket for transactions: allows short bursts, and limits the sustained rate.
class TransactionRateLimiter
{
public:
  /// \brief Sets the sustained rate, in transactions per second.
  void setRate(double aPerSecond) { mRate = std::max(aPerSecond, kMinRate); }

  /// \brief \returns the time until the next transaction is allowed; zero when it is allowed now.
  Duration delayUntilAllowed(TimePoint aNow)
  {
    refill(aNow);
    return mTokens >= 1 ? Duration{ 0 } : fromSeconds((1 - mTokens) / mRate) + Duration{ 1 };
  }

  /// \brief Takes one token out of the bucket, for one transaction.
  void consume(TimePoint aNow)
  {
    refill(aNow);
    mTokens -= 1;
  }

private:
  static constexpr double kMinRate = 0.2;
  static constexpr double kDefaultRate = 90;
  static constexpr double kBurst = 10;

  void refill(TimePoint aNow)
  {
    mTokens = std::min(kBurst, mTokens + toSeconds(aNow - mRefilledAt) * mRate);
    mRefilledAt = aNow;
  }

  double mRate = kDefaultRate;
  double mTokens = kBurst;
  TimePoint mRefilledAt;
};

} // namespace bulrushrun
