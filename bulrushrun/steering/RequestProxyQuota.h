#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: admission within the customer's quota.

namespace bulrushrun {

/// Starts a request whose customer has a token for it; others wait for one or are refused.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::admitWithinQuota(Request& aRequest)
{
  QuotaAnswer answer;
  if (mQuotaGate != nullptr && aRequest.mCustomer != nullptr) {
    answer = mQuotaGate->admit(
      aRequest.mCustomer->mName,
      { aRequest.mId, aRequest.mPriority, aRequest.mRoute->mLatencyTarget, aRequest.mDeadline });
  }
  switch (answer.mDecision) {
    case QuotaDecision::Admitted:
      aRequest.mTokenTakenAt = mHost.now();
      mRetryBudgets[aRequest.mService].onFirstAttempt(mHost.now());
      apply(aRequest.mId, RequestEvent::Admitted);
      break;
    case QuotaDecision::NoToken:
      // Queued, so that it ends at its deadline or when its caller leaves.
      aRequest.mStateMachine.apply(RequestEvent::Admitted);
      break;
    case QuotaDecision::Refused:
      refuseOverQuota(aRequest, answer.mRetryAfter);
      break;
    case QuotaDecision::NotJoined:
      aRequest.mReason = "this instance does not know the others yet; use another one";
      aRequest.mStateMachine.apply(RequestEvent::Admitted);
      apply(aRequest.mId, RequestEvent::Refused);
      break;
  }
}

/// Goes on with a request that has waited for a token.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onQuotaDecision(RequestId aId, const QuotaAnswer& aAnswer)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  if (aAnswer.mDecision == QuotaDecision::Refused) {
    refuseOverQuota(*request, aAnswer.mRetryAfter);
    return;
  }
  request->mTokenTakenAt = mHost.now();
  mRetryBudgets[request->mService].onFirstAttempt(mHost.now());
  dispatch(*request);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::refuseOverQuota(Request& aRequest, Duration aRetryAfter)
{
  constexpr int kTooManyRequests = 429;
  ++mCounters.mRefused;
  mCustomerMetrics.onRefusal(aRequest.mCustomer->mName);
  std::array<char, 16> seconds{};
  std::snprintf(seconds.data(), seconds.size(), "%.3f", toSeconds(aRetryAfter));
  aRequest.mReason = "over the quota of the customer";
  sendLocalResponse(aRequest,
                    kTooManyRequests,
                    { { "Retry-After", seconds.data() } },
                    "not run: " + aRequest.mReason);
  finish(aRequest, "refused", kTooManyRequests);
}

/// A request that may have been executed needs another token for a further attempt. There is no
/// further attempt without one, because it would count towards the quota, too.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::hasTokenForRepeat(Request& aRequest)
{
  if (mQuotaGate == nullptr || aRequest.mCustomer == nullptr || aRequest.mTokenTakenAt) {
    return true;
  }
  if (!mQuotaGate->takeForRepeat(aRequest.mCustomer->mName)) {
    return false;
  }
  aRequest.mTokenTakenAt = mHost.now();
  return true;
}

/// Ends the wait for a token, and returns a token that no execution has used.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::releaseToken(Request& aRequest)
{
  if (mQuotaGate == nullptr || aRequest.mCustomer == nullptr) {
    return;
  }
  mQuotaGate->cancel(aRequest.mId);
  if (const std::optional<TimePoint> takenAt = std::exchange(aRequest.mTokenTakenAt, {})) {
    mQuotaGate->giveBack(aRequest.mCustomer->mName, *takenAt);
  }
}

/// Takes back the token of the current attempt, which has not used it.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::returnToken(Request& aRequest)
{
  const std::optional<TimePoint> takenAt =
    std::exchange(aRequest.mAttempt->mTokenTakenAt, std::nullopt);
  if (takenAt) {
    releaseToken(aRequest);
    aRequest.mTokenTakenAt = takenAt;
  }
}

/// Refuses the requests that wait for tokens, in a planned stop.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::refuseWaiting()
{
  const std::vector<WaitingRequest> held =
    mQuotaGate == nullptr ? std::vector<WaitingRequest>{} : mQuotaGate->waiting();
  for (const WaitingRequest& waiting : held) {
    if (Request* request = find(waiting.mId)) {
      request->mReason = kShuttingDownText;
      apply(waiting.mId, RequestEvent::Refused);
    }
  }
}

} // namespace bulrushrun
