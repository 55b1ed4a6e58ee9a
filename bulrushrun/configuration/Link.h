#pragma once

#include "bulrushrun/core.h"

namespace bulrushrun {

/// \brief Capacity and delay between regions that have no link of their own.
struct LinkDefaults
{
  /// Bits per second, in each direction.
  double mCapacity = 1e9;
  /// One-way delay.
  Duration mDelay{ 20000 };
};

/// \brief Link between two regions.
struct Link
{
  RegionName mFirst;
  RegionName mSecond;
  /// Bits per second, in each direction.
  double mCapacity = 0;
  /// One-way delay.
  Duration mDelay{ 0 };
};

} // namespace bulrushrun
