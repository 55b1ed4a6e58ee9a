#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: one attempt at a target, and its response.

namespace bulrushrun {

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::startAttempt(Request& aRequest, const PickResult& aPick)
{
  const TimePoint now = mHost.now();
  const TargetEntry& target = aPick.mTarget->mEntry;
  aRequest.mTriedTargets.insert(target.mId);
  aRequest.mAttempt = TargetAttempt{};
  aRequest.mAttempt->mTarget = target.mId;
  aRequest.mAttempt->mZone = target.mZone;
  aRequest.mAttempt->mIncarnation = target.mIncarnation;
  aRequest.mAttempt->mHomeRegions = aRequest.mHomeRegions;
  aRequest.mAttempt->mStarted = now;
  aRequest.mStateMachine.apply(RequestEvent::Dispatched);
  mPicker.stats(target.mId).onAttemptStarted(now);
  ++mCounters.mAttempts;
  HttpRequest request = aRequest.mRequest;
  request.mHeaders = endToEndHeaders(request.mHeaders);
  Codec::setForwardingHeaders(
    request, std::max(responseDue(aRequest) - now, Duration{ 1000 }), target.mId);
  if (mSteeringState.mPlan->mCustomers) {
    Codec::setCustomerHeaders(request.mHeaders, aRequest.mCustomer);
  }
  if (aRequest.mRoute->mIdempotent) {
    const RequestId id = aRequest.mId;
    const int attemptNumber = ++aRequest.mStartedAttempts;
    mHost.after(unresponsiveAfter(aRequest),
                [this, id, attemptNumber] { onResponseTimeout(id, attemptNumber); });
  }
  // On a kept connection, a late response to the first attempt would have the id of this one.
  const bool isFirstHere = aRequest.mTriedEndpoints.insert(target.mEndpoint).second;
  aRequest.mAttempt->mExchange =
    mHost.startExchange(target.mEndpoint,
                        std::move(request),
                        isFirstHere ? ConnectionUse::Pooled : ConnectionUse::New,
                        listener(aRequest.mId));
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
  request->mTokenTakenAt.reset();
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
  // The headers of a response without an id may describe an earlier state.
  if (attempt.mMetadata.mRequestId) {
    if (attempt.mMetadata.mLoad) {
      mPicker.stats(attempt.mTarget).onReport(attempt.mMetadata.mLoad->total(), mHost.now());
      if (attempt.mMetadata.mLoad->mSlowdown) {
        onSlowdown(request->mService, { attempt.mTarget, *attempt.mMetadata.mLoad->mSlowdown });
      }
      if (mOnLoadReport) {
        mOnLoadReport(attempt.mTarget, *attempt.mMetadata.mLoad);
      }
    }
    reportTargetUpdate(*request);
  }
  // The body can't change this, and need not end.
  if (!isDeclined(*request) && !isAuthentic(*request)) {
    interruptAttempt(*request, "the response is not authentic");
  }
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
  if (isDeclined(*request)) {
    // Not forwarded, so only its end matters.
    attempt.mDiscardedBytes += aBytes.size();
    if (attempt.mDiscardedBytes > kMaxDiscardedResponseBytes) {
      interruptAttempt(*request, "the body of the refusal is too long");
    }
    return true;
  }
  attempt.mBody.append(aBytes);
  if (attempt.mBody.size() > kMaxBufferedResponseBytes) {
    startStreaming(*request);
    // A response that waits for its turn holds what has been read, and nothing more.
    return !request->mResponder->isWaiting();
  }
  const bool mayCollect = request->mResponder->mayCollect(attempt.mBody.size());
  // A pause after the last byte would delay the end of the attempt, and its time would count as the
  // target's.
  const std::optional<std::uint64_t>& length = attempt.mHead->mLength;
  return mayCollect || (length && attempt.mBody.size() >= *length);
}

/// Ends an attempt whose response can't be used; the rest of the response is not read.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::interruptAttempt(Request& aRequest, const char* aReason)
{
  mHost.abortExchange(aRequest.mAttempt->mExchange);
  onEnd(aRequest.mId, ExchangeResult::Interrupted, aReason);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::forwardHead(Request& aRequest, ResponseHead aHead)
{
  Codec::removeTargetHeaders(aHead.mHeaders);
  aHead.mCloseAfter = mSteeringState.mDraining;
  aRequest.mResponder->start(aHead);
}

/// Forwards a response whose body is complete.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::forwardWhole(Request& aRequest,
                                                 ResponseHead aHead,
                                                 const std::string& aBody)
{
  if (aRequest.mRequest.mMethod != "HEAD" && !isStatusWithoutBody(aHead.mStatus)) {
    aHead.mLength = aBody.size();
  }
  forwardHead(aRequest, std::move(aHead));
  aRequest.mResponder->write(aBody);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::startStreaming(Request& aRequest)
{
  aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
  aRequest.mStreaming = true;
  forwardHead(aRequest, *aRequest.mAttempt->mHead);
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
  if (!notConnected) {
    request->mTokenTakenAt.reset();
  }
  recordAttemptResult(*request, notConnected ? AttemptResult::Unreachable : AttemptResult::Broken);
  request->mReason = aReason;
  logFailedAttempt(*request, elapsed);
  apply(aId, notConnected ? RequestEvent::ConnectFailed : RequestEvent::ExchangeFailed);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::logFailedAttempt(const Request& aRequest, Duration aElapsed)
{
  mHost.log(events::kSendFailed,
            "id=" + aRequest.mMetadata.mId + " target=" + aRequest.mAttempt->mTarget.text() +
              " reason=\"" + aRequest.mReason + "\" ms=" + std::to_string(toMillis(aElapsed)));
}

/// Handles a complete response. A request that may run again is retried after an error of the
/// target, which is kept for the case that no retry gets another response.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onComplete(Request& aRequest)
{
  const TimePoint now = mHost.now();
  const RequestId id = aRequest.mId;
  TargetAttempt& attempt = *aRequest.mAttempt;
  const Duration elapsed = now - attempt.mStarted;
  const int status = attempt.mHead->mStatus;
  if (isDeclined(aRequest)) {
    const bool full = attempt.mMetadata.mLoad && attempt.mMetadata.mLoad->isFull();
    recordAttemptResult(aRequest, full ? AttemptResult::Full : AttemptResult::Declined);
    aRequest.mReason = "the target declined with status " + std::to_string(status);
    logFailedAttempt(aRequest, elapsed);
    apply(id, RequestEvent::TargetDeclined);
    return;
  }
  aRequest.mTokenTakenAt.reset();
  const bool failed = status >= 500;
  recordAttemptResult(aRequest, failed ? AttemptResult::FailedAnswer : AttemptResult::Answered);
  if (!failed) {
    recordRunTime(aRequest, elapsed);
    recordExecution(aRequest, elapsed);
    Duration& latency = mLatencies[aRequest.mService];
    constexpr int kSmoothing = 16;
    latency = latency == Duration{ 0 } ? elapsed : latency + (elapsed - latency) / kSmoothing;
  }
  if (failed && !aRequest.mStreaming && aRequest.mRoute->mIdempotent) {
    aRequest.mReason = "the target failed with status " + std::to_string(status);
    logFailedAttempt(aRequest, elapsed);
    aRequest.mErrorResponse = HttpResponse{ *attempt.mHead, std::move(attempt.mBody) };
    apply(id, RequestEvent::ExchangeFailed);
    return;
  }
  if (!aRequest.mStreaming) {
    aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
    forwardWhole(aRequest, *attempt.mHead, attempt.mBody);
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
  aRequest.mTokenTakenAt.reset();
  mHost.abortExchange(aRequest.mAttempt->mExchange);
  if (isTargetUnresponsive(aRequest)) {
    recordAttemptResult(aRequest, AttemptResult::Broken);
  } else {
    mPicker.stats(aRequest.mAttempt->mTarget).onCancelled();
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::endUnanswered(RequestId aId, const char* aReason)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  abandonAttempt(*request);
  request->mReason = aReason;
  apply(aId, RequestEvent::DeadlinePassed);
}

} // namespace bulrushrun
