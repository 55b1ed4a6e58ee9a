#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: one attempt at a target, and its response.

namespace bulrushrun {

template<class HostType, class Codec>
ExchangeListener RequestProxy<HostType, Codec>::listener(RequestId aId)
{
  ExchangeListener listener;
  listener.mBodyMayEndAtClose = true;
  listener.mIsMatchingResponse = [this, aId](const ResponseHead& aHead) {
    const Request* request = find(aId);
    const ResponseMetadata metadata = Codec::parseResponseMetadata(aHead);
    return request == nullptr || !metadata.mRequestId ||
           *metadata.mRequestId == request->mMetadata.mId;
  };
  listener.mOnHead = [this, aId](const ResponseHead& aHead) { onHead(aId, aHead); };
  listener.mOnBody = [this, aId](std::string_view aBytes) { return onBody(aId, aBytes); };
  listener.mOnEnd = [this, aId](ExchangeResult aExchangeResult, const std::string& aReason) {
    onEnd(aId, aExchangeResult, aReason);
  };
  return listener;
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::startAttempt(Request& aRequest, const PickResult& aPick)
{
  const TimePoint now = mHost.now();
  const TargetEntry& target = aPick.mTarget->mEntry;
  aRequest.mTriedTargets.insert(target.mId);
  aRequest.mAttempt = TargetAttempt{};
  aRequest.mAttempt->mTarget = target.mId;
  aRequest.mAttempt->mIncarnation = target.mIncarnation;
  aRequest.mAttempt->mStarted = now;
  aRequest.mStateMachine.apply(RequestEvent::Dispatched);
  mPicker.stats(target.mId).onAttemptStarted(now);
  ++mCounters.mAttempts;
  HttpRequest request = aRequest.mRequest;
  request.mHeaders = endToEndHeaders(request.mHeaders);
  Codec::setForwardingHeaders(
    request, std::max(aRequest.mDeadline - now, Duration{ 1000 }), target.mId);
  if (aRequest.mRoute->mIdempotent) {
    const RequestId id = aRequest.mId;
    const int attemptNumber = ++aRequest.mStartedAttempts;
    mHost.after(unresponsiveAfter(aRequest),
                [this, id, attemptNumber] { onResponseTimeout(id, attemptNumber); });
  }
  aRequest.mAttempt->mExchange = mHost.startExchange(
    target.mEndpoint, std::move(request), ConnectionUse::Pooled, listener(aRequest.mId));
}

/// The target responded neither to this request nor to others for a while, so it may have failed
/// without closing its connections. Retries the request at another target if that is permitted.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onResponseTimeout(RequestId aId, int aAttemptNumber)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt || request->mStartedAttempts != aAttemptNumber ||
      request->mStateMachine.state() != RequestState::Sending || request->mAttempt->mHead) {
    return;
  }
  const TimePoint now = mHost.now();
  if (!isTargetUnresponsive(*request)) {
    return;
  }
  // The abandoned attempt counts, too.
  ++request->mAttempts;
  if (!mayRetry(*request)) {
    --request->mAttempts;
    return;
  }
  mHost.abortExchange(request->mAttempt->mExchange);
  request->mReason = "the target is unresponsive";
  recordAttemptResult(*request, AttemptResult::Broken);
  logFailedAttempt(*request, now - request->mAttempt->mStarted);
  ++mCounters.mRetryCount;
  request->mStateMachine.apply(RequestEvent::ExchangeFailed);
  dispatch(*request);
}

/// A success must not reach the caller when the origin or the body of the response is in doubt.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::isAuthentic(const TargetAttempt& aAttempt) const
{
  const int status = aAttempt.mHead->mStatus;
  const bool success = status >= 200 && status < 300;
  return !success || (aAttempt.mMetadata.mSigned && aAttempt.mMetadata.mRequestId &&
                      !aAttempt.mMetadata.mEncoded);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onHead(RequestId aId, const ResponseHead& aHead)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return;
  }
  TargetAttempt& attempt = *request->mAttempt;
  attempt.mHead = aHead;
  attempt.mMetadata = Codec::parseResponseMetadata(aHead);
  mPicker.stats(attempt.mTarget).onResponseStarted(mHost.now());
  if (attempt.mMetadata.mLoad) {
    mPicker.stats(attempt.mTarget).onReport(attempt.mMetadata.mLoad->total(), mHost.now());
    if (mOnLoadReport) {
      mOnLoadReport(attempt.mTarget, *attempt.mMetadata.mLoad);
    }
  }
  reportTargetUpdate(attempt);
}

template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::onBody(RequestId aId, std::string_view aBytes)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return true;
  }
  TargetAttempt& attempt = *request->mAttempt;
  if (request->mStreaming) {
    return request->mResponder->write(aBytes) < kStreamBufferBytes;
  }
  attempt.mBody.append(aBytes);
  if (attempt.mBody.size() > kMaxBufferedResponseBytes && !attempt.mMetadata.mDeclined &&
      isAuthentic(attempt)) {
    startStreaming(*request);
  }
  return true;
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::forwardHead(Request& aRequest,
                                                std::optional<std::uint64_t> aLength)
{
  ResponseHead head = *aRequest.mAttempt->mHead;
  Codec::removeTargetHeaders(head.mHeaders);
  head.mLength = aLength;
  head.mCloseAfter = mSteeringState.mDraining;
  aRequest.mResponder->start(head);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::startStreaming(Request& aRequest)
{
  aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
  aRequest.mStreaming = true;
  forwardHead(aRequest, aRequest.mAttempt->mHead->mLength);
  aRequest.mResponder->write(std::exchange(aRequest.mAttempt->mBody, {}));
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onEnd(RequestId aId,
                                          ExchangeResult aExchangeResult,
                                          const std::string& aReason)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return;
  }
  const TimePoint now = mHost.now();
  TargetAttempt& attempt = *request->mAttempt;
  const Duration elapsed = now - attempt.mStarted;
  if (aExchangeResult == ExchangeResult::Complete) {
    ++request->mAttempts;
    onComplete(*request);
    return;
  }
  const bool notConnected = aExchangeResult == ExchangeResult::NotSent;
  ++(notConnected ? request->mConnectFailures : request->mAttempts);
  recordAttemptResult(*request, notConnected ? AttemptResult::Unreachable : AttemptResult::Broken);
  request->mReason = aReason;
  logFailedAttempt(*request, elapsed);
  apply(aId, notConnected ? RequestEvent::ConnectFailed : RequestEvent::ExchangeFailed);
}

/// Updates the target's health statistics with the result of an attempt.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::recordAttemptResult(const Request& aRequest,
                                                        AttemptResult aResult)
{
  const TimePoint now = mHost.now();
  TargetStats& stats = mPicker.stats(aRequest.mAttempt->mTarget);
  const std::string text = "target=" + aRequest.mAttempt->mTarget.text() +
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

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::logFailedAttempt(const Request& aRequest, Duration aElapsed)
{
  mHost.log(events::kSendFailed,
            "id=" + aRequest.mMetadata.mId + " target=" + aRequest.mAttempt->mTarget.text() +
              " reason=\"" + aRequest.mReason + "\" ms=" + std::to_string(toMillis(aElapsed)));
}

/// Handles a complete response. Errors of the target may be retried at another one.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onComplete(Request& aRequest)
{
  const TimePoint now = mHost.now();
  const RequestId id = aRequest.mId;
  TargetAttempt& attempt = *aRequest.mAttempt;
  const Duration elapsed = now - attempt.mStarted;
  const int status = attempt.mHead->mStatus;
  if (attempt.mMetadata.mDeclined) {
    const bool full = attempt.mMetadata.mLoad && attempt.mMetadata.mLoad->isFull();
    recordAttemptResult(aRequest, full ? AttemptResult::Full : AttemptResult::Declined);
    aRequest.mReason = "the target declined with status " + std::to_string(status);
    logFailedAttempt(aRequest, elapsed);
    apply(id, RequestEvent::TargetDeclined);
    return;
  }
  if (!aRequest.mStreaming && !isAuthentic(attempt)) {
    recordAttemptResult(aRequest, AttemptResult::Broken);
    aRequest.mReason = "the response is not authentic";
    logFailedAttempt(aRequest, elapsed);
    apply(id, RequestEvent::ExchangeFailed);
    return;
  }
  const bool failed = status >= 500;
  recordAttemptResult(aRequest, failed ? AttemptResult::FailedAnswer : AttemptResult::Answered);
  if (!failed) {
    Duration& latency = mLatencies[aRequest.mService];
    constexpr int kSmoothing = 16;
    latency = latency == Duration{ 0 } ? elapsed : latency + (elapsed - latency) / kSmoothing;
  }
  if (failed && !aRequest.mStreaming && aRequest.mRoute->mIdempotent && mayRetry(aRequest)) {
    aRequest.mReason = "the target failed with status " + std::to_string(status);
    logFailedAttempt(aRequest, elapsed);
    ++mCounters.mRetryCount;
    aRequest.mStateMachine.apply(RequestEvent::ExchangeFailed);
    dispatch(aRequest);
    return;
  }
  if (!aRequest.mStreaming) {
    aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
    forwardHead(aRequest, attempt.mBody.size());
    aRequest.mResponder->write(attempt.mBody);
  }
  apply(id, RequestEvent::ResponseComplete);
}

/// \returns true when the target responded neither to this request nor to others in time.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::isTargetUnresponsive(const Request& aRequest)
{
  return !aRequest.mAttempt->mHead && mPicker.stats(aRequest.mAttempt->mTarget)
                                        .isUnresponsive(unresponsiveAfter(aRequest), mHost.now());
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::abandonAttempt(Request& aRequest)
{
  const RequestState state = aRequest.mStateMachine.state();
  if (!aRequest.mAttempt ||
      (state != RequestState::Sending && state != RequestState::StreamingResponse)) {
    return;
  }
  mHost.abortExchange(aRequest.mAttempt->mExchange);
  if (isTargetUnresponsive(aRequest)) {
    recordAttemptResult(aRequest, AttemptResult::Broken);
  } else {
    mPicker.stats(aRequest.mAttempt->mTarget).onCancelled();
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onDeadline(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  abandonAttempt(*request);
  request->mReason = "the deadline passed";
  apply(aId, RequestEvent::DeadlinePassed);
}

} // namespace bulrushrun
