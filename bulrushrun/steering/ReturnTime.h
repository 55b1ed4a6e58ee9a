#pragma once

#include "bulrushrun/core.h"

#include <algorithm>

namespace bulrushrun {

/// \brief \returns after which time a refused caller is to return.
///
/// Spread over the same time again, so that callers refused together do not return together.
/// Callers return within a third of their remaining time or not at all, so that a longer time loses
/// the request. \param aUntilRoom  expected time until a request of this priority is admitted
/// \param aRemaining  time to the caller's deadline
/// \param aRandom  random number in [0, 1)
inline Duration returnTime(Duration aUntilRoom, Duration aRemaining, double aRandom)
{
  // Shorter times bring the caller back while the queue that turned it away is still full.
  constexpr Duration kShortest = std::chrono::milliseconds(50);
  const Duration base = std::max(aUntilRoom, kShortest);
  const Duration spread = fromSeconds(toSeconds(base) * (1 + aRandom));
  return std::max(std::min(spread, aRemaining / 4), kShortest);
}

} // namespace bulrushrun
