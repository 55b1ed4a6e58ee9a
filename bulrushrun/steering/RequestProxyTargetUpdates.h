#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: what responses tell about the targets themselves.

namespace bulrushrun {

/// Passes on what the response tells about the target itself.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::reportTargetUpdate(TargetAttempt& aAttempt)
{
  ResponseMetadata& metadata = aAttempt.mMetadata;
  if (!metadata.mIgnored.empty()) {
    mHost.log(events::kTargetHeaderIgnored,
              "target=" + aAttempt.mTarget.text() + " reason=\"" + metadata.mIgnored + "\"");
  }
  // An intermediary may have made up an unsigned success, with all its headers.
  metadata.mLeaving = metadata.mLeaving && isAuthentic(aAttempt);
  if (mOnTargetUpdate && (metadata.mMisdirected || metadata.mLeaving || metadata.mColdRemaining)) {
    mOnTargetUpdate(aAttempt);
  }
}

} // namespace bulrushrun
