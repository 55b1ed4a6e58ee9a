#pragma once

#include "bulrushrun/core.h"

#include <algorithm>

namespace bulrushrun {

/// \brief Bounds the administration API's requests a second.
class RateLimiter
{
public:
  /// \brief \returns true when one more request may be served now.
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
