#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <optional>

namespace bulrushrun {

/// \brief Last registration of a target, as written by the target itself.
struct TargetEntry
{
  TargetId mId;
  ServiceName mService;
  Endpoint mEndpoint;
  ZoneName mZone;
  /// Number of requests that it processes concurrently.
  int mSlots = 1;
  /// It is leaving and must not receive new requests.
  bool mDraining = false;
  /// Remaining time for which it is cold after its start.
  Duration mColdRemaining{ 0 };
  /// Identifies this incarnation by its start; a restart under the same id is another incarnation.
  Incarnation mIncarnation;
};

} // namespace bulrushrun
