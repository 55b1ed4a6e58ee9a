#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: what responses tell about the targets themselves.

namespace bulrushrun {

/// Passes on what the response tells about the target itself.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::reportTargetUpdate(Request& aRequest)
{
  TargetAttempt& attempt = *aRequest.mAttempt;
  ResponseMetadata& metadata = attempt.mMetadata;
  if (!metadata.mIgnored.empty()) {
    mHost.log(events::kTargetHeaderIgnored,
              "target=" + attempt.mTarget.text() + " reason=\"" + metadata.mIgnored + "\"");
  }
  // An intermediary may have made up an unsigned success, with all its headers.
  metadata.mLeaving =
    metadata.mLeaving && (!isSuccess(attempt.mHead->mStatus) || isAuthentic(aRequest));
  if (mOnTargetUpdate && (metadata.mMisdirected || metadata.mLeaving || metadata.mColdRemaining)) {
    mOnTargetUpdate(attempt);
  }
  if (metadata.mRestTime) {
    startRest(attempt);
  }
}

/// The rest begins with the head of the response. One that an earlier incarnation asked for says
/// nothing about the target that runs now.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::startRest(const TargetAttempt& aAttempt)
{
  const KnownTarget* target = mSteeringState.mTargets.find(aAttempt.mTarget);
  if (target != nullptr && target->mEntry.mIncarnation != aAttempt.mIncarnation) {
    return;
  }
  const double spread = 1 + kMaxRestSpread * mHost.random().unit();
  const Duration rest = std::max(*aAttempt.mMetadata.mRestTime,
                                 fromSeconds(toSeconds(*aAttempt.mMetadata.mRestTime) * spread));
  mPicker.stats(aAttempt.mTarget).restUntil(mHost.now() + rest);
  mHost.log(events::kTargetResting,
            "target=" + aAttempt.mTarget.text() + " for_ms=" + std::to_string(toMillis(rest)));
}

} // namespace bulrushrun
