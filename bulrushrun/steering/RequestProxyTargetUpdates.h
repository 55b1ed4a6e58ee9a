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
  updateRateLimit(aRequest);
}

/// Each response of a target states its rate limit; a response without one ends the limit.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::updateRateLimit(const Request& aRequest)
{
  const TargetAttempt& attempt = *aRequest.mAttempt;
  const std::optional<double>& rate = attempt.mMetadata.mRateLimit;
  // Only the target itself ends its limit, not an intermediary that answers in its place, and not
  // by a header that can't be read.
  const bool mayEndLimit =
    (attempt.mMetadata.mSigned || isDeclined(aRequest)) && attempt.mMetadata.mIgnored.empty();
  if (attempt.mMetadata.mMisdirected || (!rate && !mayEndLimit)) {
    return;
  }
  TargetRateLimiter& limiter = mPicker.rateLimiter();
  const bool isChanged =
    rate ? limiter.setLimit(
             attempt.mTarget, attempt.mIncarnation, *rate, mHost.random().unit(), mHost.now())
         : limiter.onNoLimit(attempt.mTarget, attempt.mStarted);
  if (isChanged) {
    const TargetRate targetRate{ attempt.mTarget, attempt.mIncarnation, rate };
    logRateLimit(targetRate, "response");
    if (mOnTargetRate) {
      mOnTargetRate(targetRate);
    }
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onPeerRate(const TargetRate& aRate)
{
  const KnownTarget* target = mSteeringState.mTargets.find(aRate.mTarget);
  if (target == nullptr || target->mEntry.mIncarnation != aRate.mIncarnation) {
    return;
  }
  TargetRateLimiter& limiter = mPicker.rateLimiter();
  const bool isChanged =
    aRate.mRate
      ? limiter.setLimit(
          aRate.mTarget, aRate.mIncarnation, *aRate.mRate, mHost.random().unit(), mHost.now())
      : limiter.onNoLimit(aRate.mTarget, mHost.now());
  if (isChanged) {
    logRateLimit(aRate, "peer");
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::logRateLimit(const TargetRate& aRate, const char* aSource)
{
  mHost.log(events::kTargetRateLimited,
            "target=" + aRate.mTarget.text() + " source=" + aSource +
              " per_second=" + (aRate.mRate ? std::to_string(*aRate.mRate) : "unlimited"));
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

/// Updates the target's health statistics with the result of an attempt.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::recordAttemptResult(const Request& aRequest,
                                                        const TargetAttempt& aAttempt,
                                                        AttemptResult aResult)
{
  const TimePoint now = mHost.now();
  TargetStats& stats = mPicker.stats(aAttempt.mTarget);
  const std::string text = "target=" + aAttempt.mTarget.text() +
                           " service=" + aRequest.mService.text() + " id=" + aRequest.mMetadata.mId;
  switch (stats.onEnd(aResult, now)) {
    case TargetStats::HealthChange::Ejected:
      mHost.log(events::kTargetEjected,
                text + " result=" + resultText(aResult) +
                  " for_ms=" + std::to_string(toMillis(stats.ejectedUntil() - now)));
      break;
    case TargetStats::HealthChange::Recovered:
      mHost.log(events::kTargetBack, text);
      break;
    case TargetStats::HealthChange::None:
      break;
  }
}

} // namespace bulrushrun
