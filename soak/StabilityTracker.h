#pragma once

#include "bulrushrun/core.h"

#include <algorithm>

namespace bulrushrun::soak {

/// \brief Tracks until when a component is disturbed by injected faults. Guarantees with a time
/// bound are checked only for components that have been stable for a while.
class StabilityTracker
{
public:
  /// Time without a disturbance after which time bounds hold again.
  static constexpr Duration kSettlingTime = std::chrono::seconds(3);

  void addDisturbance(TimePoint aUntil) { mDisturbedUntil = std::max(mDisturbedUntil, aUntil); }
  /// \brief \returns true when there was no disturbance for the settling time.
  bool isStable(TimePoint aNow) const { return aNow >= mDisturbedUntil + kSettlingTime; }
  /// \brief \returns true when the component has been stable for this duration.
  bool wasStableFor(Duration aDuration, TimePoint aNow) const { return isStable(aNow - aDuration); }

private:
  TimePoint mDisturbedUntil;
};

} // namespace bulrushrun::soak
