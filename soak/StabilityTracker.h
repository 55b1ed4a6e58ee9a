#pragma once

#include "bulrushrun/core.h"

#include <algorithm>

namespace bulrushrun::soak {

/// \brief Until when something is disturbed. Promises with a bound in time hold for what has been
/// calm for a while.
class StabilityTracker
{
public:
  /// Time without disturbance after which bounds hold again.
  static constexpr Duration kSettlingTime = std::chrono::seconds(3);

  void disturb(TimePoint aUntil) { mDisturbedUntil = std::max(mDisturbedUntil, aUntil); }
  /// \brief \returns true when there is no disturbance, and was none for the stability span.
  bool isStable(TimePoint aNow) const { return aNow >= mDisturbedUntil + kSettlingTime; }
  /// \brief \returns true when that held for a span up to now.
  bool wasStableFor(Duration aSpan, TimePoint aNow) const { return isStable(aNow - aSpan); }

private:
  TimePoint mDisturbedUntil;
};

} // namespace bulrushrun::soak
