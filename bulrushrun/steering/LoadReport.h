#pragma once

#include <optional>

namespace bulrushrun {

/// \brief Load that a target reported in a response.
struct LoadReport
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;
  /// How long work takes at the target now, as a multiple of the usual time; empty when the target
  /// does not say so.
  std::optional<double> mSlowdown = {};

  /// \brief \returns the requests at the target.
  int total() const { return mRunning + mWaiting; }
  /// \brief \returns true when one more request would have to wait.
  bool isFull() const { return total() >= mSlots; }
};

} // namespace bulrushrun
