#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <optional>

namespace bulrushrun {

/// \brief Estimates when a response of the store was made, from the steady clock that the store
/// states in each response.
///
/// The offset between the clocks is taken from the response that was under way for the shortest
/// time, so an estimate is late by that time at most.
class StoreClock
{
public:
  /// \param aStoreTime  the store's clock when it made the response, if it is stated
  /// \returns the local time at which the response was made, between the other two times; without
  /// a stated time, when it arrived
  TimePoint madeAt(std::optional<Duration> aStoreTime, TimePoint aSentAt, TimePoint aArrivedAt)
  {
    if (!aStoreTime) {
      return aArrivedAt;
    }
    const Duration offset = aArrivedAt - TimePoint{ *aStoreTime };
    mOffset = std::min(mOffset.value_or(offset), offset);
    const TimePoint estimate = TimePoint{ *aStoreTime } + *mOffset;
    if (estimate < aSentAt) {
      // No response is made before its request: the store's clock started anew.
      mOffset = offset;
    }
    return std::clamp(estimate, aSentAt, aArrivedAt);
  }

private:
  std::optional<Duration> mOffset;
};

} // namespace bulrushrun
