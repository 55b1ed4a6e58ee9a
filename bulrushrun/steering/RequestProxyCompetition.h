#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: requests that compete by priority for scarce capacity.

namespace bulrushrun {

/// \returns the priorities of the configuration in force.
template<class HostType, class Codec>
const ServicePriorities& RequestProxy<HostType, Codec>::servicePriorities()
{
  if (mRankedPlan != mSteeringState.mPlan) {
    mRankedPlan = mSteeringState.mPlan;
    mServicePriorities =
      mRankedPlan == nullptr ? ServicePriorities{} : ServicePriorities{ *mRankedPlan };
  }
  return mServicePriorities;
}

/// \returns the terms of the next attempt, or nothing where requests do not compete.
template<class HostType, class Codec>
std::optional<AdmissionTerms> RequestProxy<HostType, Codec>::makeTerms(Request& aRequest)
{
  // Different priorities alone change nothing: earlier configurations have them, too.
  if (!servicePriorities().hasCustomers() && !mSpeedReporters.contains(aRequest.mService)) {
    return std::nullopt;
  }
  aRequest.mLevel = servicePriorities().levelOf(aRequest.mService, aRequest.mPriority);
  const TimePoint now = mHost.now();
  if (aRequest.mTriedTargets.empty()) {
    aRequest.mIsEarlyRepeat = mEarlyRepeats.isEarly(repeatHash(aRequest), now);
  }
  return AdmissionTerms{ *aRequest.mLevel,
                         mExecutionTimes[aRequest.mRoute->mName].times(
                           mQueuedTimes[aRequest.mService]),
                         aRequest.mArrived + aRequest.mRoute->mLatencyTarget - now,
                         responseDue(aRequest) - now,
                         aRequest.mIsEarlyRepeat };
}

/// Takes how long work takes at a target.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onSlowdown(const ServiceName& aService,
                                               const TargetSlowdown& aSlowdown)
{
  mSpeedReporters.insert(aService);
  mPicker.stats(aSlowdown.mTarget).onSlowdown(aSlowdown.mSlowdown, mHost.now());
}

/// Keeps the inputs of the last choice of a target, for the log and for a refusal.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onPicked(Request& aRequest, const PickResult& aPick)
{
  aRequest.mUsable = aPick.mUsable;
  aRequest.mColdLimited = aPick.mColdLimited;
  aRequest.mRateLimited = aPick.mRateLimited;
  aRequest.mUntilRoom = aPick.mUntilRoom;
  aRequest.mPickFailure = aPick.mFailure;
  if (aPick.mExpected) {
    mAdmissionMetrics.onSent(aRequest.mService, *aPick.mExpected);
  }
}

/// Learns the execution time from an attempt that ended with a response.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::recordExecution(const Request& aRequest, Duration aElapsed)
{
  const TargetChoice& choice = aRequest.mAttempt->mChoice;
  if (aRequest.mLevel && choice.mSlots > 0) {
    if (choice.mExpected) {
      mAdmissionMetrics.onCompleted(aRequest.mService, *choice.mExpected, aElapsed);
    }
    ExecutionTimeLearner& learner = mExecutionTimes[aRequest.mRoute->mName];
    mQueuedTimes[aRequest.mService].add(
      learner.add(aElapsed, choice.mLoad, choice.mSlots, choice.mIsWarm, choice.mSlowdown));
  }
}

/// \returns a hash of what a repeat of the request by its caller has in common with it. The id of
/// the request differs.
template<class HostType, class Codec>
std::uint64_t RequestProxy<HostType, Codec>::repeatHash(const Request& aRequest)
{
  const std::uint64_t customer =
    aRequest.mCustomer == nullptr ? 0 : hashText(aRequest.mCustomer->mName.text());
  const std::uint64_t object = hashText(aRequest.mMetadata.mAffinityKey.value_or(""));
  return combineHashes(combineHashes(customer, object),
                       hashText(aRequest.mRequest.mMethod + aRequest.mRequest.mPath));
}

/// \returns after which time the caller of a refused request is to return.
template<class HostType, class Codec>
Duration RequestProxy<HostType, Codec>::competitorReturnTime(const Request& aRequest)
{
  const TimePoint now = mHost.now();
  const Duration untilRoom = aRequest.mUntilRoom.value_or(mQueuedTimes[aRequest.mService].value());
  const Duration delay = returnTime(untilRoom, aRequest.mDeadline - now, mHost.random().unit());
  // Without a key, requests of many callers look alike.
  if (aRequest.mMetadata.mAffinityKey) {
    mEarlyRepeats.onRefused(repeatHash(aRequest), now + delay, now);
  }
  return delay;
}

/// Counts a request that competed and was refused.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::countRefusal(const Request& aRequest)
{
  if (aRequest.mLevel) {
    mAdmissionMetrics.onRefused(
      aRequest.mService, aRequest.mLevel->mLevel, label(aRequest.mPickFailure));
  }
}

/// \returns what the log adds for a request that competed; empty for any other one.
template<class HostType, class Codec>
std::string RequestProxy<HostType, Codec>::competitionText(const Request& aRequest)
{
  if (!aRequest.mLevel) {
    return {};
  }
  const std::optional<Duration> expected =
    aRequest.mAttempt ? aRequest.mAttempt->mChoice.mExpected : std::nullopt;
  return " priority=" + std::to_string(aRequest.mPriority) +
         " expected_ms=" + (expected ? std::to_string(toMillis(*expected)) : "-") +
         (aRequest.mIsEarlyRepeat ? " early_repeat=1" : "");
}

} // namespace bulrushrun
