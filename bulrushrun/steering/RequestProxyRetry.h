#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: retries, and further attempts while a target does not respond.

namespace bulrushrun {

/// \returns true when a further attempt is permitted; it then has a token of the customer's quota,
/// but the retry budget is not spent yet.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::mayRetry(Request& aRequest)
{
  if (!refreshIdentity(aRequest)) {
    return false;
  }
  const TimePoint now = mHost.now();
  const double latency = static_cast<double>(smoothedLatency(aRequest.mService).count());
  const Duration minRemaining{ static_cast<std::int64_t>(kMinRetryTimeShare * latency) };
  if (responseDue(aRequest) - now <= minRemaining ||
      aRequest.mConnectFailures > kMaxConnectFailures ||
      !canEndBeforeExit(*aRequest.mRoute, aRequest.mDeadline)) {
    return false;
  }
  const int attempts = aRequest.countedAttempts();
  return attempts == 0 ||
         (attempts < aRequest.mRoute->mMaxAttempts &&
          mRetryBudgets[aRequest.mService].maySpend(
            mSteeringState.mRetryBudgetPolicy, mSteeringState.mInstanceCount, now) &&
          hasTokenForRepeat(aRequest));
}

/// Sends the request to a further target.
/// \returns why that is not possible; nullptr when it was sent
template<class HostType, class Codec>
const char* RequestProxy<HostType, Codec>::sendAgain(Request& aRequest)
{
  if (!mayRetry(aRequest)) {
    return "no further attempt";
  }
  const PickResult pick = pickTarget(aRequest);
  if (pick.mTarget == nullptr) {
    releaseToken(aRequest);
    return describeFailure(aRequest, pick);
  }
  if (aRequest.countedAttempts() > 0) {
    ++mCounters.mRetryCount;
    mRetryBudgets[aRequest.mService].trySpend(
      mSteeringState.mRetryBudgetPolicy, mSteeringState.mInstanceCount, mHost.now());
  }
  startAttempt(aRequest, pick);
  return nullptr;
}

/// An attempt failed. Unless another one is in progress, sends the request again or ends it.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::retry(Request& aRequest)
{
  if (!aRequest.attemptsInProgress().empty()) {
    checkResponse(aRequest.mId);
    return;
  }
  if (endIfCallerLeft(aRequest)) {
    return;
  }
  if (const char* obstacle = sendAgain(aRequest)) {
    aRequest.mReason += std::string{ "; " } + obstacle;
    apply(aRequest.mId, RequestEvent::Refused);
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::scheduleResponseCheck(Request& aRequest, Duration aDelay)
{
  const RequestId id = aRequest.mId;
  mHost.cancelTimer(aRequest.mResponseTimer);
  aRequest.mResponseTimer =
    mHost.after(std::max(aDelay, kMinResponseCheckInterval), [this, id] { checkResponse(id); });
}

/// Sends the request to a further target while those that have it respond neither to it nor to
/// others: they may have failed without closing their connections. Since they may as well be at
/// work on it, the attempts there go on until one of them gets a response.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::checkResponse(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr || request->mStateMachine.state() != RequestState::Sending ||
      request->countedAttempts() >= request->mRoute->mMaxAttempts || endIfCallerLeft(*request)) {
    return;
  }
  const Duration timeout = unresponsiveAfter(*request);
  const std::vector<const TargetAttempt*> attempts = request->attemptsInProgress();
  Duration silence = timeout;
  for (const TargetAttempt* attempt : attempts) {
    silence = std::min(silence,
                       attempt->mHead ? Duration{ 0 }
                                      : mPicker.stats(attempt->mTarget).silence(mHost.now()));
  }
  if (silence < timeout) {
    scheduleResponseCheck(*request, timeout - silence);
    return;
  }
  const std::string text =
    "id=" + request->mMetadata.mId + " target=" + attempts.front()->mTarget.text() +
    " ms=" + std::to_string(toMillis(mHost.now() - attempts.front()->mStarted));
  const char* obstacle = sendAgain(*request);
  if (obstacle == nullptr) {
    mHost.log(events::kTargetSilent, text + " next=" + request->mAttempt->mTarget.text());
    return;
  }
  if (!std::exchange(request->mIsSilenceLogged, true)) {
    mHost.log(events::kTargetSilent, text + " next=- reason=\"" + obstacle + "\"");
  }
  scheduleResponseCheck(*request, kResponseCheckInterval);
}

template<class HostType, class Codec>
Duration RequestProxy<HostType, Codec>::smoothedLatency(const ServiceName& aService) const
{
  const auto found = mLatencies.find(aService);
  return found == mLatencies.end() ? Duration{ 0 } : found->second;
}

template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::hasUsualLatency(const ServiceName& aService) const
{
  return mLatencies.contains(aService);
}

template<class HostType, class Codec>
Duration RequestProxy<HostType, Codec>::unresponsiveAfter(const Request& aRequest) const
{
  return std::max({ kUnresponsiveLatencyFactor * smoothedLatency(aRequest.mService),
                    kUnresponsiveTargetFactor * aRequest.mRoute->mLatencyTarget,
                    kMinUnresponsiveAfter });
}

/// \returns true when the target responded neither to this request nor to others for unusually
/// long. Before a usual latency is known, silence is no evidence.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::isTargetUnresponsive(const Request& aRequest,
                                                         const TargetAttempt& aAttempt)
{
  return !aAttempt.mHead && hasUsualLatency(aRequest.mService) &&
         mPicker.stats(aAttempt.mTarget).isUnresponsive(unresponsiveAfter(aRequest), mHost.now());
}

} // namespace bulrushrun
