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
  mPicker.stats(target.mId).onSent(now);
  ++mCounters.mSends;
  HttpRequest request = aRequest.mRequest;
  request.mHeaders = endToEndHeaders(request.mHeaders);
  Wire::stamp(request, std::max(aRequest.mLimit - now, Duration{ 1000 }), target.mId);
  if (aRequest.mRoute->mIdempotent) {
    const RequestId id = aRequest.mId;
    const int sends = ++aRequest.mDispatches;
    mHost.after(silence(aRequest), [this, id, sends] { onSilence(id, sends); });
  }
  aRequest.mSend->mExchange = mHost.startExchange(
    target.mEndpoint, std::move(request), ConnectionUse::Pooled, listener(aRequest.mId));
}

/// Nothing came back for long, neither to this request nor to others at the same target: it may be
/// gone without a word. The request goes elsewhere, as far as it may be repeated.
template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::onSilence(RequestId aId, int aDispatch)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mSend || request->mDispatches != aDispatch ||
      request->mMachine.state() != RequestState::Sending || request->mSend->mHead) {
    return;
  }
  const TimePoint now = mHost.now();
  if (!isTargetSilent(*request)) {
    return;
  }
  // The send that is given up counts, too.
  ++request->mSends;
  if (!mayRepeat(*request)) {
    --request->mSends;
    return;
  }
  mHost.abortExchange(request->mSend->mExchange);
  request->mReason = "the target is silent";
  judgeTarget(*request, SendResult::Broken);
  logFailedSend(*request, now - request->mSend->mStarted);
  ++mCounters.mRepeats;
  request->mMachine.apply(RequestEvent::ExchangeBroken);
  dispatch(*request);
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
  mPicker.stats(send.mTarget).onHeard(mHost.now());
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
  if (aEnd == ExchangeEnd::Whole) {
    ++request->mSends;
    onWhole(*request);
    return;
  }
  const bool unreached = aEnd == ExchangeEnd::NotSent;
  ++(unreached ? request->mUnreached : request->mSends);
  judgeTarget(*request, unreached ? SendResult::Unreachable : SendResult::Broken);
  request->mReason = aReason;
  logFailedSend(*request, took);
  apply(aId, unreached ? RequestEvent::ConnectFailed : RequestEvent::ExchangeBroken);
}

/// Takes the end of a send as evidence of the target's health.
template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::judgeTarget(const Request& aRequest, SendResult aResult)
{
  const TimePoint now = mHost.now();
  TargetStats& stats = mPicker.stats(aRequest.mSend->mTarget);
  const std::string text = "target=" + aRequest.mSend->mTarget.text() +
                           " service=" + aRequest.mService.text() + " id=" + aRequest.mFacts.mId;
  switch (stats.onEnd(aResult, now)) {
    case TargetStats::Change::Ejected:
      mHost.log(events::kTargetEjected,
                text + " result=" + resultText(aResult) +
                  " for_ms=" + std::to_string(toMillis(stats.ejectedUntil() - now)));
      break;
    case TargetStats::Change::Back:
      mHost.log(events::kTargetBack, text);
      break;
    case TargetStats::Change::Nothing:
      break;
  }
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
  const int status = send.mHead->mStatus;
  if (send.mFacts.mDeclined) {
    const bool full = send.mFacts.mLoad && send.mFacts.mLoad->isFull();
    judgeTarget(aRequest, full ? SendResult::Full : SendResult::Declined);
    aRequest.mReason = "the target declined with " + std::to_string(status);
    logFailedSend(aRequest, took);
    apply(id, RequestEvent::TargetDeclined);
    return;
  }
  if (!aRequest.mStreaming && !isTrustworthy(send)) {
    judgeTarget(aRequest, SendResult::Broken);
    aRequest.mReason = "the answer is not the target's own";
    logFailedSend(aRequest, took);
    apply(id, RequestEvent::ExchangeBroken);
    return;
  }
  const bool failed = status >= 500;
  judgeTarget(aRequest, failed ? SendResult::FailedAnswer : SendResult::Answered);
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

/// \returns true when neither this request nor others at its target heard anything for long.
template<class HostType, class Wire>
bool RequestCarrier<HostType, Wire>::isTargetSilent(const Request& aRequest)
{
  return !aRequest.mSend->mHead &&
         mPicker.stats(aRequest.mSend->mTarget).isSilent(silence(aRequest), mHost.now());
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::dropSend(Request& aRequest)
{
  const RequestState state = aRequest.mMachine.state();
  if (!aRequest.mSend || (state != RequestState::Sending && state != RequestState::Answering)) {
    return;
  }
  mHost.abortExchange(aRequest.mSend->mExchange);
  if (isTargetSilent(aRequest)) {
    judgeTarget(aRequest, SendResult::Broken);
  } else {
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
