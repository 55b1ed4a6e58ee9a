#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: one send to a target, and what comes back.

namespace bulrushrun {

template<class HostType, class Wire>
ExchangeListener RequestProxy<HostType, Wire>::listener(RequestId aId)
{
  ExchangeListener listener;
  listener.mBodyMayEndAtClose = true;
  listener.mIsMatchingResponse = [this, aId](const ResponseHead& aHead) {
    const Request* request = find(aId);
    const ResponseMetadata facts = Wire::parseResponseMetadata(aHead);
    return request == nullptr || !facts.mRequestId || *facts.mRequestId == request->mMetadata.mId;
  };
  listener.mOnHead = [this, aId](const ResponseHead& aHead) { onHead(aId, aHead); };
  listener.mOnBody = [this, aId](std::string_view aBytes) { return onBody(aId, aBytes); };
  listener.mOnEnd = [this, aId](ExchangeResult aEnd, const std::string& aReason) {
    onEnd(aId, aEnd, aReason);
  };
  return listener;
}

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::send(Request& aRequest, const PickResult& aPick)
{
  const TimePoint now = mHost.now();
  const TargetEntry& target = aPick.mTarget->mEntry;
  aRequest.mTriedTargets.insert(target.mId);
  aRequest.mAttempt = TargetAttempt{};
  aRequest.mAttempt->mTarget = target.mId;
  aRequest.mAttempt->mStarted = now;
  aRequest.mStateMachine.apply(RequestEvent::Dispatched);
  mPicker.stats(target.mId).onSent(now);
  ++mCounters.mAttempts;
  HttpRequest request = aRequest.mRequest;
  request.mHeaders = endToEndHeaders(request.mHeaders);
  Wire::setForwardingHeaders(
    request, std::max(aRequest.mDeadline - now, Duration{ 1000 }), target.mId);
  if (aRequest.mRoute->mIdempotent) {
    const RequestId id = aRequest.mId;
    const int sends = ++aRequest.mStartedAttempts;
    mHost.after(unresponsiveAfter(aRequest), [this, id, sends] { onResponseTimeout(id, sends); });
  }
  aRequest.mAttempt->mExchange = mHost.startExchange(
    target.mEndpoint, std::move(request), ConnectionUse::Pooled, listener(aRequest.mId));
}

/// Nothing came back for long, neither to this request nor to others at the same target: it may be
/// gone without a word. The request goes elsewhere, as far as it may be repeated.
template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::onResponseTimeout(RequestId aId, int aDispatch)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt || request->mStartedAttempts != aDispatch ||
      request->mStateMachine.state() != RequestState::Sending || request->mAttempt->mHead) {
    return;
  }
  const TimePoint now = mHost.now();
  if (!isTargetUnresponsive(*request)) {
    return;
  }
  // The send that is given up counts, too.
  ++request->mAttempts;
  if (!mayRetry(*request)) {
    --request->mAttempts;
    return;
  }
  mHost.abortExchange(request->mAttempt->mExchange);
  request->mReason = "the target is silent";
  recordAttemptResult(*request, AttemptResult::Broken);
  logFailedAttempt(*request, now - request->mAttempt->mStarted);
  ++mCounters.mRetryCount;
  request->mStateMachine.apply(RequestEvent::ExchangeFailed);
  dispatch(*request);
}

/// An answer whose origin or whose body is in doubt must not reach the caller as a success.
template<class HostType, class Wire>
bool RequestProxy<HostType, Wire>::isAuthentic(const TargetAttempt& aSend) const
{
  const int status = aSend.mHead->mStatus;
  const bool success = status >= 200 && status < 300;
  return !success ||
         (aSend.mMetadata.mSigned && aSend.mMetadata.mRequestId && !aSend.mMetadata.mEncoded);
}

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::onHead(RequestId aId, const ResponseHead& aHead)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return;
  }
  TargetAttempt& send = *request->mAttempt;
  send.mHead = aHead;
  send.mMetadata = Wire::parseResponseMetadata(aHead);
  mPicker.stats(send.mTarget).onResponseStarted(mHost.now());
  if (send.mMetadata.mLoad) {
    mPicker.stats(send.mTarget).onReport(*send.mMetadata.mLoad, mHost.now());
  }
  const bool news =
    send.mMetadata.mMisdirected || send.mMetadata.mClosing || send.mMetadata.mColdRemaining;
  if (news && mOnTargetUpdate) {
    mOnTargetUpdate(send.mTarget, send.mMetadata);
  }
}

template<class HostType, class Wire>
bool RequestProxy<HostType, Wire>::onBody(RequestId aId, std::string_view aBytes)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return true;
  }
  TargetAttempt& send = *request->mAttempt;
  if (request->mStreaming) {
    return request->mResponder->write(aBytes) < kStreamBufferBytes;
  }
  send.mBody.append(aBytes);
  if (send.mBody.size() > kMaxBufferedResponseBytes && !send.mMetadata.mDeclined &&
      isAuthentic(send)) {
    startStreaming(*request);
  }
  return true;
}

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::forwardHead(Request& aRequest,
                                               std::optional<std::uint64_t> aLength)
{
  ResponseHead head = *aRequest.mAttempt->mHead;
  head.mLength = aLength;
  head.mCloseAfter = mView.mDraining;
  aRequest.mResponder->start(head);
}

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::startStreaming(Request& aRequest)
{
  aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
  aRequest.mStreaming = true;
  forwardHead(aRequest, aRequest.mAttempt->mHead->mLength);
  aRequest.mResponder->write(std::exchange(aRequest.mAttempt->mBody, {}));
}

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::onEnd(RequestId aId,
                                         ExchangeResult aEnd,
                                         const std::string& aReason)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return;
  }
  const TimePoint now = mHost.now();
  TargetAttempt& send = *request->mAttempt;
  const Duration took = now - send.mStarted;
  if (aEnd == ExchangeResult::Complete) {
    ++request->mAttempts;
    onComplete(*request);
    return;
  }
  const bool unreached = aEnd == ExchangeResult::NotSent;
  ++(unreached ? request->mConnectFailures : request->mAttempts);
  recordAttemptResult(*request, unreached ? AttemptResult::Unreachable : AttemptResult::Broken);
  request->mReason = aReason;
  logFailedAttempt(*request, took);
  apply(aId, unreached ? RequestEvent::ConnectFailed : RequestEvent::ExchangeFailed);
}

/// Takes the end of a send as evidence of the target's health.
template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::recordAttemptResult(const Request& aRequest,
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

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::logFailedAttempt(const Request& aRequest, Duration aTook)
{
  mHost.log(events::kSendFailed,
            "id=" + aRequest.mMetadata.mId + " target=" + aRequest.mAttempt->mTarget.text() +
              " reason=\"" + aRequest.mReason + "\" ms=" + std::to_string(toMillis(aTook)));
}

/// A whole answer came. Failures of the target may be tried again elsewhere.
template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::onComplete(Request& aRequest)
{
  const TimePoint now = mHost.now();
  const RequestId id = aRequest.mId;
  TargetAttempt& send = *aRequest.mAttempt;
  const Duration took = now - send.mStarted;
  const int status = send.mHead->mStatus;
  if (send.mMetadata.mDeclined) {
    const bool full = send.mMetadata.mLoad && send.mMetadata.mLoad->isFull();
    recordAttemptResult(aRequest, full ? AttemptResult::Full : AttemptResult::Declined);
    aRequest.mReason = "the target declined with " + std::to_string(status);
    logFailedAttempt(aRequest, took);
    apply(id, RequestEvent::TargetDeclined);
    return;
  }
  if (!aRequest.mStreaming && !isAuthentic(send)) {
    recordAttemptResult(aRequest, AttemptResult::Broken);
    aRequest.mReason = "the answer is not the target's own";
    logFailedAttempt(aRequest, took);
    apply(id, RequestEvent::ExchangeFailed);
    return;
  }
  const bool failed = status >= 500;
  recordAttemptResult(aRequest, failed ? AttemptResult::FailedAnswer : AttemptResult::Answered);
  if (!failed) {
    Duration& usual = mLatencies[aRequest.mService];
    constexpr int kSmoothing = 16;
    usual = usual == Duration{ 0 } ? took : usual + (took - usual) / kSmoothing;
  }
  if (failed && !aRequest.mStreaming && aRequest.mRoute->mIdempotent && mayRetry(aRequest)) {
    aRequest.mReason = "the target failed with " + std::to_string(status);
    logFailedAttempt(aRequest, took);
    ++mCounters.mRetryCount;
    aRequest.mStateMachine.apply(RequestEvent::ExchangeFailed);
    dispatch(aRequest);
    return;
  }
  if (!aRequest.mStreaming) {
    aRequest.mStateMachine.apply(RequestEvent::ResponseHeadReceived);
    forwardHead(aRequest, send.mBody.size());
    aRequest.mResponder->write(send.mBody);
  }
  apply(id, RequestEvent::ResponseComplete);
}

/// \returns true when neither this request nor others at its target heard anything for long.
template<class HostType, class Wire>
bool RequestProxy<HostType, Wire>::isTargetUnresponsive(const Request& aRequest)
{
  return !aRequest.mAttempt->mHead && mPicker.stats(aRequest.mAttempt->mTarget)
                                        .isUnresponsive(unresponsiveAfter(aRequest), mHost.now());
}

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::abandonAttempt(Request& aRequest)
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

template<class HostType, class Wire>
void RequestProxy<HostType, Wire>::onDeadline(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  abandonAttempt(*request);
  request->mReason = "the time limit passed";
  apply(aId, RequestEvent::DeadlinePassed);
}

} // namespace bulrushrun
