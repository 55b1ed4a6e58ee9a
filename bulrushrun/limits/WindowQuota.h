#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/limits/StaggeredWindow.h"

#include <cmath>
#include <cstdint>

namespace bulrushrun {

/// \brief Counts what one instance uses of its part of a fleet-wide limit in each window.
///
/// A part of less than one is rounded up or down at random, anew for each window, so that the sum
/// over any number of instances meets the limit on average. Performs no I/O.
class WindowQuota
{
public:
  /// \brief Starts a new window if the last one has ended. \returns true when it has
  /// \param aSeed  hash of the identity of this instance
  bool update(std::uint64_t aSeed, TimePoint aNow)
  {
    const bool isNew = mWindow.update(aSeed, aNow);
    mUsed = isNew ? 0 : mUsed;
    return isNew;
  }
  /// \brief \returns true while less than the limit is used in this window.
  bool allows(double aLimit) const
  {
    return static_cast<double>(mUsed) < std::floor(aLimit + mWindow.rounding(0));
  }
  void use() { ++mUsed; }

private:
  StaggeredWindow mWindow;
  std::uint64_t mUsed = 0;
};

} // namespace bulrushrun
