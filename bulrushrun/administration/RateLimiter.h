#pragma once

#include "bulrushrun/core.h"

#include <algorithm>

namespace bulrushrun {

/// \brief Token bucket that limits the requests per second of the administration API.
class RateLimiter
{
public:
  /// \brief Takes one token. \returns false when there is none: the request exceeds the limit.
  bool allow(TimePoint aNow)
  {
    mTokens = std::min(kBurst, mTokens + toSeconds(aNow - mRefilledAt) * kPerSecond);
    mRefilledAt = aNow;
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  static constexpr double kBurst = 100;
  static constexpr double kPerSecond = 50;

  double mTokens = kBurst;
  TimePoint mRefilledAt;
};

} // namespace bulrushrun
