#pragma once

#include "bulrushrun/core.h"

#include <cstdint>

namespace bulrushrun {

/// \brief Consecutive windows of fixed length that start at different times on different instances.
/// Performs no I/O.
class StaggeredWindow
{
public:
  static constexpr Duration kLength = std::chrono::seconds(2);

  /// \brief Starts a new window if the last one has ended. \returns true when it has
  /// \param aSeed  hash of the identity of this instance
  bool update(std::uint64_t aSeed, TimePoint aNow)
  {
    const std::int64_t length = kLength.count();
    const std::int64_t phase =
      static_cast<std::int64_t>(aSeed % static_cast<std::uint64_t>(length));
    const std::int64_t number = (aNow.time_since_epoch().count() + phase) / length;
    if (number == mNumber) {
      return false;
    }
    mNumber = number;
    mRoundingSeed = combineHashes(aSeed, static_cast<std::uint64_t>(number));
    return true;
  }
  /// \brief \returns a number in [0, 1) to be added to a limit before it is rounded down, so that
  /// the limits of many instances add up on average; another one in each window and for each salt.
  double rounding(std::uint64_t aSalt) const
  {
    return toUnitInterval(combineHashes(mRoundingSeed, aSalt));
  }

private:
  std::int64_t mNumber = -1;
  std::uint64_t mRoundingSeed = 0;
};

} // namespace bulrushrun
