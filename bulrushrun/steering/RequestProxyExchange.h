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
  mRegionShares.add(
    aRequest.mService, mSteeringState.mContext.mZones.regionOf(target.mZone), aPick.mRegionChoice);
  aRequest.mTriedTargets.insert(target.mId);
  TargetAttempt& attempt = aRequest.addAttempt();
  attempt.mTarget = target.mId;
  attempt.mZone = target.mZone;
  attempt.mIncarnation = target.mIncarnation;
  attempt.mHomeRegions = aRequest.mHomeRegions;
  attempt.mChoice = { aPick.mPreferenceRank, aPick.mLoad,     target.mSlots,
                      aPick.mIsWarm,         aPick.mSlowdown, aPick.mExpected };
  attempt.mStarted = now;
  attempt.mTokenTakenAt = std::exchange(aRequest.mTokenTakenAt, {});
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
    scheduleResponseCheck(aRequest, unresponsiveAfter(aRequest));
  }
  // On a kept connection, a late response to the first attempt would have the id of this one.
  const bool isFirstHere = aRequest.mTriedEndpoints.insert(target.mEndpoint).second;
  attempt.mExchange = mHost.startExchange(target.mEndpoint,
                                          std::move(request),
                                          isFirstHere ? ConnectionUse::Pooled : ConnectionUse::New,
                                          listener(aRequest.mId, attempt.mId));
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onHead(RequestId aId,
                                           AttemptId aAttempt,
                                           const ResponseHead& aHead)
{
  Request* request = findAttempt(aId, aAttempt);
  if (request == nullptr) {
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
bool RequestProxy<HostType, Codec>::onBody(RequestId aId,
                                           AttemptId aAttempt,
                                           std::string_view aBytes)
{
  Request* request = findAttempt(aId, aAttempt);
  if (request == nullptr) {
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
  const bool mayCollect = request->mResponder->mayCollect(request->bufferedBytes());
  // A pause after the last byte would delay the end of the attempt, and its time would count as the
  // target's.
  const std::optional<std::uint64_t>& length = attempt.mHead->mLength;
  return mayCollect || (length && attempt.mBody.size() >= *length);
}

/// Ends an attempt whose response can't be used; the rest of the response is not read.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::interruptAttempt(Request& aRequest, const char* aReason)
{
  const TargetAttempt& attempt = *aRequest.mAttempt;
  mHost.abortExchange(attempt.mExchange);
  onEnd(aRequest.mId, attempt.mId, ExchangeResult::Interrupted, aReason);
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
  endOtherAttempts(aRequest);
  aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
  aRequest.mStreaming = true;
  forwardHead(aRequest, *aRequest.mAttempt->mHead);
  aRequest.mResponder->write(std::exchange(aRequest.mAttempt->mBody, {}));
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onEnd(RequestId aId,
                                          AttemptId aAttempt,
                                          ExchangeResult aExchangeResult,
                                          const std::string& aReason)
{
  Request* request = findAttempt(aId, aAttempt);
  if (request == nullptr) {
    return;
  }
  TargetAttempt& attempt = *request->mAttempt;
  attempt.mIsInProgress = false;
  if (aExchangeResult == ExchangeResult::Complete) {
    ++request->mAttempts;
    onComplete(*request);
    return;
  }
  const bool notConnected = aExchangeResult == ExchangeResult::NotSent;
  ++(notConnected ? request->mConnectFailures : request->mAttempts);
  if (notConnected) {
    returnToken(*request);
  }
  recordAttemptResult(
    *request, attempt, notConnected ? AttemptResult::Unreachable : AttemptResult::Broken);
  request->mReason = aReason;
  logFailedAttempt(*request);
  apply(aId, notConnected ? RequestEvent::ConnectFailed : RequestEvent::ExchangeFailed);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::logFailedAttempt(const Request& aRequest)
{
  const TargetAttempt& attempt = *aRequest.mAttempt;
  mHost.log(events::kSendFailed,
            "id=" + aRequest.mMetadata.mId + " target=" + attempt.mTarget.text() + " reason=\"" +
              aRequest.mReason +
              "\" ms=" + std::to_string(toMillis(mHost.now() - attempt.mStarted)));
}

/// Handles a complete response. A request that may run again is retried after an error of the
/// target, which is kept for the case that no retry gets another response.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onComplete(Request& aRequest)
{
  const RequestId id = aRequest.mId;
  TargetAttempt& attempt = *aRequest.mAttempt;
  const Duration elapsed = mHost.now() - attempt.mStarted;
  const int status = attempt.mHead->mStatus;
  if (isDeclined(aRequest)) {
    returnToken(aRequest);
    const bool full = attempt.mMetadata.mLoad && attempt.mMetadata.mLoad->isFull();
    recordAttemptResult(aRequest, attempt, full ? AttemptResult::Full : AttemptResult::Declined);
    aRequest.mReason = "the target declined with status " + std::to_string(status);
    logFailedAttempt(aRequest);
    apply(id, RequestEvent::TargetDeclined);
    return;
  }
  const bool failed = status >= 500;
  recordAttemptResult(
    aRequest, attempt, failed ? AttemptResult::FailedAnswer : AttemptResult::Answered);
  if (!failed) {
    recordRunTime(aRequest, elapsed);
    recordExecution(aRequest, elapsed);
    Duration& latency = mLatencies[aRequest.mService];
    constexpr int kSmoothing = 16;
    latency = latency == Duration{ 0 } ? elapsed : latency + (elapsed - latency) / kSmoothing;
  }
  if (failed && !aRequest.mStreaming && aRequest.mRoute->mIdempotent) {
    aRequest.mReason = "the target failed with status " + std::to_string(status);
    logFailedAttempt(aRequest);
    aRequest.mErrorResponse = HttpResponse{ *attempt.mHead, std::move(attempt.mBody) };
    apply(id, RequestEvent::ExchangeFailed);
    return;
  }
  endOtherAttempts(aRequest);
  if (!aRequest.mStreaming) {
    aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
    forwardWhole(aRequest, *attempt.mHead, attempt.mBody);
  }
  apply(id, RequestEvent::ResponseComplete);
}

/// Aborts an attempt in progress.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::abandonAttempt(const Request& aRequest,
                                                   const TargetAttempt& aAttempt)
{
  mHost.abortExchange(aAttempt.mExchange);
  if (isTargetUnresponsive(aRequest, aAttempt)) {
    recordAttemptResult(aRequest, aAttempt, AttemptResult::Broken);
  } else {
    mPicker.stats(aAttempt.mTarget).onCancelled();
  }
}

/// Aborts the other attempts once the response of one is forwarded.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::endOtherAttempts(Request& aRequest)
{
  for (const TargetAttempt& attempt : std::exchange(aRequest.mOtherAttempts, {})) {
    ++aRequest.mAttempts;
    abandonAttempt(aRequest, attempt);
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::abandonAllAttempts(Request& aRequest)
{
  if (aRequest.mAttempt && std::exchange(aRequest.mAttempt->mIsInProgress, false)) {
    abandonAttempt(aRequest, *aRequest.mAttempt);
  }
  endOtherAttempts(aRequest);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::endUnanswered(RequestId aId, const char* aReason)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  abandonAllAttempts(*request);
  request->mReason = aReason;
  apply(aId, RequestEvent::DeadlinePassed);
}

} // namespace bulrushrun
