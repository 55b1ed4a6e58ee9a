#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <optional>

namespace bulrushrun {

/// \brief What a target says of itself, as it was last registered.
struct TargetEntry
{
  TargetId mId;
  ServiceName mService;
  Endpoint mEndpoint;
  ZoneName mZone;
  /// Requests that it works on at the same time.
  int mSlots = 1;
  /// It is leaving: no new work.
  bool mDraining = false;
  /// How much longer it stays slow after its start.
  Duration mColdRemaining{ 0 };
  /// Start of this life; another one under the same id is another incarnation.
  Incarnation mIncarnation;
};

} // namespace bulrushrun
