#pragma once

#include "bulrushrun/steering/RequestCarrier.h"

/// \file
/// \brief RequestCarrier: one send to a target, and what comes back.

namespace bulrushrun {

template<class HostType, class Wire>
ExchangeListener RequestCarrier<HostType, Wire>::listener(RequestId aId)
{
  ExchangeListener listener;
  listener.mEndsWithConnection = true;
  listener.mIsMine = [this, aId](const ResponseHead& aHead) {
    const Request* request = find(aId);
    const AnswerFacts facts = Wire::readAnswer(aHead);
    return request == nullptr || !facts.mRequestId || *facts.mRequestId == request->mFacts.mId;
  };
  listener.mOnHead = [this, aId](const ResponseHead& aHead) { onHead(aId, aHead); };
  listener.mOnBody = [this, aId](std::string_view aBytes) { return onBody(aId, aBytes); };
  listener.mOnEnd = [this, aId](ExchangeEnd aEnd, const std::string& aReason) {
    onEnd(aId, aEnd, aReason);
  };
  return listener;
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::send(Request& aRequest, const Pick& aPick)
{
  const TimePoint now = mHost.now();
  const TargetEntry& target = aPick.mTarget->mEntry;
  aRequest.mTried.insert(target.mId);
  aRequest.mSend = TargetSend{};
  aRequest.mSend->mTarget = target.mId;
  aRequest.mSend->mStarted = now;
  aRequest.mMachine.apply(RequestEvent::Dispatched);
  mPicker.stats(target.mId).onSent();
  ++mCounters.mSends;
  HttpRequest request = aRequest.mRequest;
  request.mHeaders = endToEndHeaders(request.mHeaders);
  Wire::stamp(request, std::max(aRequest.mLimit - now, Duration{ 1000 }), target.mId);
  aRequest.mSend->mExchange = mHost.startExchange(
    target.mEndpoint, std::move(request), ConnectionUse::Pooled, listener(aRequest.mId));
}

/// An answer whose origin or whose body is in doubt must not reach the caller as a success.
template<class HostType, class Wire>
bool RequestCarrier<HostType, Wire>::isTrustworthy(const TargetSend& aSend) const
{
  const int status = aSend.mHead->mStatus;
  const bool success = status >= 200 && status < 300;
  return !success || (aSend.mFacts.mSigned && aSend.mFacts.mRequestId && !aSend.mFacts.mEncoded);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::onHead(RequestId aId, const ResponseHead& aHead)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mSend) {
    return;
  }
  TargetSend& send = *request->mSend;
  send.mHead = aHead;
  send.mFacts = Wire::readAnswer(aHead);
  if (send.mFacts.mLoad) {
    mPicker.stats(send.mTarget).onReport(*send.mFacts.mLoad, mHost.now());
  }
  const bool news = send.mFacts.mMisdirected || send.mFacts.mClosing || send.mFacts.mColdRemaining;
  if (news && mOnTargetNews) {
    mOnTargetNews(send.mTarget, send.mFacts);
  }
}

template<class HostType, class Wire>
bool RequestCarrier<HostType, Wire>::onBody(RequestId aId, std::string_view aBytes)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mSend) {
    return true;
  }
  TargetSend& send = *request->mSend;
  if (request->mStreaming) {
    return request->mResponder->write(aBytes) < kStreamBufferBytes;
  }
  send.mBody.append(aBytes);
  if (send.mBody.size() > kHeldAnswerBytes && !send.mFacts.mDeclined && isTrustworthy(send)) {
    startStreaming(*request);
  }
  return true;
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::passHead(Request& aRequest,
                                              std::optional<std::uint64_t> aLength)
{
  ResponseHead head = *aRequest.mSend->mHead;
  head.mLength = aLength;
  head.mCloseAfter = mView.mStopping;
  aRequest.mResponder->start(head);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::startStreaming(Request& aRequest)
{
  aRequest.mMachine.apply(RequestEvent::HeadArrived);
  aRequest.mStreaming = true;
  passHead(aRequest, aRequest.mSend->mHead->mLength);
  aRequest.mResponder->write(std::exchange(aRequest.mSend->mBody, {}));
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::onEnd(RequestId aId,
                                           ExchangeEnd aEnd,
                                           const std::string& aReason)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mSend) {
    return;
  }
  const TimePoint now = mHost.now();
  TargetSend& send = *request->mSend;
  const Duration took = now - send.mStarted;
  TargetStats& stats = mPicker.stats(send.mTarget);
  if (aEnd == ExchangeEnd::Whole) {
    ++request->mSends;
    onWhole(*request);
    return;
  }
  const bool unreached = aEnd == ExchangeEnd::NotSent;
  ++(unreached ? request->mUnreached : request->mSends);
  stats.onEnd(unreached ? SendResult::Unreachable : SendResult::Broken, now);
  request->mReason = aReason;
  logFailedSend(*request, took);
  apply(aId, unreached ? RequestEvent::ConnectFailed : RequestEvent::ExchangeBroken);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::logFailedSend(const Request& aRequest, Duration aTook)
{
  mHost.log(events::kSendFailed,
            "id=" + aRequest.mFacts.mId + " target=" + aRequest.mSend->mTarget.text() +
              " reason=\"" + aRequest.mReason + "\" ms=" + std::to_string(toMillis(aTook)));
}

/// A whole answer came. Failures of the target may be tried again elsewhere.
template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::onWhole(Request& aRequest)
{
  const TimePoint now = mHost.now();
  const RequestId id = aRequest.mId;
  TargetSend& send = *aRequest.mSend;
  const Duration took = now - send.mStarted;
  TargetStats& stats = mPicker.stats(send.mTarget);
  const int status = send.mHead->mStatus;
  if (send.mFacts.mDeclined) {
    const bool full = send.mFacts.mLoad && send.mFacts.mLoad->isFull();
    stats.onEnd(full ? SendResult::Full : SendResult::Declined, now);
    aRequest.mReason = "the target declined with " + std::to_string(status);
    logFailedSend(aRequest, took);
    apply(id, RequestEvent::TargetDeclined);
    return;
  }
  if (!aRequest.mStreaming && !isTrustworthy(send)) {
    stats.onEnd(SendResult::Broken, now);
    aRequest.mReason = "the answer is not the target's own";
    logFailedSend(aRequest, took);
    apply(id, RequestEvent::ExchangeBroken);
    return;
  }
  const bool failed = status >= 500;
  stats.onEnd(failed ? SendResult::FailedAnswer : SendResult::Answered, now);
  if (!failed) {
    Duration& usual = mLatencies[aRequest.mService];
    constexpr int kSmoothing = 16;
    usual = usual == Duration{ 0 } ? took : usual + (took - usual) / kSmoothing;
  }
  if (failed && !aRequest.mStreaming && aRequest.mRoute->mIdempotent && mayRepeat(aRequest)) {
    aRequest.mReason = "the target failed with " + std::to_string(status);
    logFailedSend(aRequest, took);
    ++mCounters.mRepeats;
    aRequest.mMachine.apply(RequestEvent::ExchangeBroken);
    dispatch(aRequest);
    return;
  }
  if (!aRequest.mStreaming) {
    aRequest.mMachine.apply(RequestEvent::HeadArrived);
    passHead(aRequest, send.mBody.size());
    aRequest.mResponder->write(send.mBody);
  }
  apply(id, RequestEvent::AnswerComplete);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::dropSend(Request& aRequest)
{
  if (aRequest.mSend && (aRequest.mMachine.state() == RequestState::Sending ||
                         aRequest.mMachine.state() == RequestState::Answering)) {
    mHost.abortExchange(aRequest.mSend->mExchange);
    mPicker.stats(aRequest.mSend->mTarget).onCancelled();
  }
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::onLimit(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  dropSend(*request);
  request->mReason = "the time limit passed";
  apply(aId, RequestEvent::DeadlinePassed);
}

} // namespace bulrushrun
