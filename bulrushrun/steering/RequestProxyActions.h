#pragma once

#include "bulrushrun/steering/RequestProxy.h"

#include <array>
#include <cstdio>

/// \file
/// \brief RequestProxy: actions of the request state machine, up to the end of the response.

namespace bulrushrun {

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::apply(RequestId aId, RequestEvent aEvent)
{
  Request* request = find(aId);
  if (request != nullptr) {
    perform(*request, request->mStateMachine.apply(aEvent));
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::perform(Request& aRequest, RequestAction aAction)
{
  switch (aAction) {
    case RequestAction::Enqueue:
      dispatch(aRequest);
      break;
    case RequestAction::Retry:
      retry(aRequest);
      break;
    case RequestAction::StreamResponse:
      break;
    case RequestAction::FinishResponse:
      aRequest.mResponder->finish();
      ++mCounters.mAnswered;
      finish(aRequest, "answered", aRequest.mAttempt->mHead->mStatus);
      break;
    case RequestAction::AbortResponse:
      aRequest.mResponder->abort();
      ++mCounters.mFailed;
      finish(aRequest, "broken-off", 0);
      break;
    case RequestAction::RespondNotRun:
      respondNotRun(aRequest);
      break;
    case RequestAction::RespondUnknown:
    case RequestAction::RespondFailed:
      respondFailed(aRequest);
      break;
    case RequestAction::DropSilently:
      aRequest.mResponder->abort();
      finish(aRequest, "dropped", 0);
      break;
    default:
      break;
  }
}

template<class HostType, class Codec>
PickQuery RequestProxy<HostType, Codec>::makePickQuery(const Request& aRequest) const
{
  PickQuery query;
  const Route& route = *aRequest.mRoute;
  if (route.mSticky && aRequest.mMetadata.mAffinityKey) {
    query.mAffinity = Affinity::Key;
    query.mAffinityKey =
      combineHashes(hashText(aRequest.mService.text()), hashText(*aRequest.mMetadata.mAffinityKey));
  }
  query.mLargeResponse = route.mLargeResponses;
  query.mTriedTargets = aRequest.mTriedTargets;
  query.mHomeRegions = aRequest.mHomeRegions;
  const ServicePolicy* servicePolicy = aRequest.mPlan->servicePolicy(aRequest.mService);
  if (servicePolicy != nullptr) {
    query.mColdRateLimit = servicePolicy->mColdRequestsPerSecond * mSteeringState.mColdFactor +
                           mSteeringState.mColdSlack;
    query.mColdStartDuration = servicePolicy->mColdStartDuration;
  }
  query.mUnresponsiveAfter =
    hasUsualLatency(aRequest.mService) ? unresponsiveAfter(aRequest) : Duration::max();
  return query;
}

/// Chooses the target of the next attempt.
template<class HostType, class Codec>
PickResult RequestProxy<HostType, Codec>::pickTarget(Request& aRequest)
{
  const TimePoint now = mHost.now();
  PickQuery query = makePickQuery(aRequest);
  query.mTerms = makeTerms(aRequest);
  const PickResult pick = mPicker.pick(
    query, mSteeringState.mTargets.usable(aRequest.mService, now), mSteeringState.mContext, now);
  onPicked(aRequest, pick);
  if (pick.mPlaced) {
    announcePlacement(aRequest, *pick.mPlaced);
  }
  return pick;
}

/// \returns why no target was picked, for the log and the caller.
template<class HostType, class Codec>
const char* RequestProxy<HostType, Codec>::describeFailure(const Request& aRequest,
                                                           const PickResult& aPick)
{
  return aRequest.mHomeRegions.isNone() ? "the route and the customer have no home region in common"
                                        : describe(aPick.mFailure);
}

/// Makes the first attempt, or refuses the request.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::dispatch(Request& aRequest)
{
  if (endIfCallerLeft(aRequest)) {
    return;
  }
  if (!refreshIdentity(aRequest)) {
    apply(aRequest.mId, RequestEvent::Refused);
    return;
  }
  const PickResult pick = pickTarget(aRequest);
  if (pick.mTarget == nullptr) {
    aRequest.mReason = describeFailure(aRequest, pick);
    apply(aRequest.mId, RequestEvent::Refused);
    return;
  }
  startAttempt(aRequest, pick);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::announcePlacement(const Request& aRequest,
                                                      const Placement& aPlacement)
{
  mHost.log(events::kObjectPlaced,
            "service=" + aRequest.mService.text() +
              " object=" + aRequest.mMetadata.mAffinityKey.value_or("-") +
              " target_hash=" + toHex(aPlacement.mTarget.value()) + " generation=" +
              std::to_string(aPlacement.mGeneration.value()) + " objects_at_target=" +
              std::to_string(mPicker.placements().objectsAt(aPlacement.mTarget)) +
              " id=" + aRequest.mMetadata.mId);
  if (mOnPlaced) {
    mOnPlaced(aPlacement);
  }
}

template<class HostType, class Codec>
std::string RequestProxy<HostType, Codec>::retryAfter(const Request& aRequest)
{
  const Duration latency = std::max(smoothedLatency(aRequest.mService), kMinRetryAfter);
  const double jitter = 0.5 + mHost.random().unit();
  Duration delay = std::min(fromSeconds(toSeconds(latency) * jitter), kMaxRetryAfter);
  if (aRequest.mLevel) {
    delay = competitorReturnTime(aRequest);
  }
  const TimePoint now = mHost.now();
  // While all targets rest, an earlier return would be refused, too.
  const std::optional<TimePoint> endOfRest =
    mPicker.earliestEndOfRest(makePickQuery(aRequest),
                              mSteeringState.mTargets.usable(aRequest.mService, now),
                              mSteeringState.mContext,
                              now);
  if (endOfRest) {
    delay += *endOfRest - now;
  }
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.3f", toSeconds(delay));
  return text.data();
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::respondNotRun(Request& aRequest)
{
  constexpr int kUnavailable = 503;
  ++mCounters.mRefused;
  countRefusal(aRequest);
  if (aRequest.mCustomer != nullptr) {
    mCustomerMetrics.onRefusal(aRequest.mCustomer->mName);
  }
  if (aRequest.mKeyRefusal && aRequest.mAttempts == 0) {
    respondKeyRefused(aRequest);
    return;
  }
  sendLocalResponse(aRequest,
                    kUnavailable,
                    { { "Retry-After", retryAfter(aRequest) } },
                    "not run: " + aRequest.mReason);
  finish(aRequest, "refused", kUnavailable);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::respondFailed(Request& aRequest)
{
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  if (aRequest.mErrorResponse) {
    const int status = aRequest.mErrorResponse->mHead.mStatus;
    forwardWhole(aRequest, aRequest.mErrorResponse->mHead, aRequest.mErrorResponse->mBody);
    aRequest.mResponder->finish();
    ++mCounters.mAnswered;
    finish(aRequest, "answered", status);
    return;
  }
  const int status = mHost.now() >= aRequest.mDeadline ? kGatewayTimeout : kBadGateway;
  ++mCounters.mFailed;
  sendLocalResponse(aRequest, status, {}, "may have run: " + aRequest.mReason);
  finish(aRequest, "failed", status);
}

/// Responds without a target.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::sendLocalResponse(Request& aRequest,
                                                      int aStatus,
                                                      Headers aHeaders,
                                                      const std::string& aText)
{
  HttpResponse response;
  response.mHead.mStatus = aStatus;
  response.mHead.mHeaders = std::move(aHeaders);
  response.mHead.mHeaders.push_back({ "Content-Type", "text/plain" });
  response.mHead.mCloseAfter = mSteeringState.mDraining;
  response.mBody = aText + "\n";
  respond(*aRequest.mResponder, response);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::finish(Request& aRequest, const char* aOutcome, int aStatus)
{
  mHost.cancelTimer(aRequest.mDeadlineTimer);
  mHost.cancelTimer(aRequest.mResponseTimer);
  releaseToken(aRequest);
  aRequest.mResponder->mOnDisconnect = nullptr;
  aRequest.mResponder->mOnWritable = nullptr;
  mMetrics.onRequest(
    aRequest.mRoute->mName, aRequest.mService, aOutcome, mHost.now() - aRequest.mArrived);
  const std::string target = aRequest.mAttempt ? aRequest.mAttempt->mTarget.text() : "-";
  const TargetChoice choice = aRequest.mAttempt ? aRequest.mAttempt->mChoice : TargetChoice{};
  std::array<char, 16> load{};
  std::snprintf(load.data(), load.size(), "%.1f", choice.mLoad);
  const TimePoint now = mHost.now();
  mHost.log(events::kRequestEnded,
            "id=" + aRequest.mMetadata.mId + " route=" + aRequest.mRoute->mName +
              " version=" + std::to_string(aRequest.mPlan->mVersion.value()) +
              " service=" + aRequest.mService.text() + " target=" + target +
              " object=" + aRequest.mMetadata.mAffinityKey.value_or("-") +
              " place=" + std::to_string(choice.mPreferenceRank) + " load=" + load.data() +
              " usable=" + std::to_string(aRequest.mUsable) +
              " cold_limited=" + std::to_string(aRequest.mColdLimited) +
              " rate_limited=" + std::to_string(aRequest.mRateLimited) +
              " news_age_ms=" + std::to_string(toMillis(now - mSteeringState.mSyncedAt)) +
              " sends=" + std::to_string(aRequest.mAttempts) + " outcome=" + aOutcome + " status=" +
              std::to_string(aStatus) + " ms=" + std::to_string(toMillis(now - aRequest.mArrived)) +
              competitionText(aRequest) + identityText(aRequest) +
              (aRequest.mReason.empty() ? "" : " reason=\"" + aRequest.mReason + "\""));
  mRequests.erase(aRequest.mId.value());
}

} // namespace bulrushrun
