#pragma once

#include "bulrushrun/forwarding/Forwarder.h"

/// \file
/// \brief Forwarder: responses of targets and peers, and failures of exchanges.

namespace bulrushrun {

template<class HostType>
bool Forwarder<HostType>::isMismatched(const Request& aRequest, const ResponseHead& aHead) const
{
  const std::string* name = findHeader(aHead.mHeaders, headers::kExchange);
  return name == nullptr || *name != aRequest.mAttempt->mExchangeName;
}

template<class HostType>
void Forwarder<HostType>::onHead(RequestId aId, const ResponseHead& aHead)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return;
  }
  if (isMismatched(*request, aHead)) {
    const TargetId target = request->mAttempt->mDestination.mTarget;
    mHost.log(events::kAnswerCrossed, "target=" + target.text());
    mMetrics.count("answers_crossed");
    request->mRefusal.mReason = RefusalReason::AnswerBroken;
    endAttempt(*request, SlotRelease::Failed);
    apply(aId, RequestEvent::ExchangeFailed);
    return;
  }
  const std::string* outcome = findHeader(aHead.mHeaders, headers::kOutcome);
  if (outcome != nullptr && *outcome == outcomeText(Outcome::NotRun)) {
    const std::string* reason = findHeader(aHead.mHeaders, headers::kReason);
    request->mRefusal.mReason = request->mRelaying && reason != nullptr
                                  ? parseRefusalReason(*reason)
                                  : RefusalReason::TargetsDeclined;
    endAttempt(*request, SlotRelease::Declined);
    apply(aId, RequestEvent::TargetDeclined);
    return;
  }
  forwardHead(*request, aHead);
  restartProgressTimer(*request, kBodyTimeout);
  apply(aId, RequestEvent::ResponseHeadReceived);
}

template<class HostType>
void Forwarder<HostType>::forwardHead(Request& aRequest, const ResponseHead& aHead)
{
  const Destination& destination = aRequest.mAttempt->mDestination;
  ResponseHead head = aHead;
  std::erase_if(head.mHeaders, [](const Header& aHeader) {
    return equalHeaderNames(aHeader.mName, headers::kExchange);
  });
  const std::string* incoming = findHeader(aRequest.mRequest.mHeaders, headers::kExchange);
  if (incoming != nullptr) {
    setHeader(head.mHeaders, headers::kExchange, *incoming);
  }
  if (destination.mPeer.empty()) {
    setHeader(head.mHeaders, headers::kOutcome, outcomeText(Outcome::Answered));
    setHeader(head.mHeaders, headers::kTarget, destination.mTarget.text());
    setHeader(head.mHeaders, headers::kZone, destination.mZone.text());
    setHeader(head.mHeaders, headers::kInstance, mSelf.text());
  }
  if (aRequest.storesResponse()) {
    aRequest.mStoredOutcome.mStatus = head.mStatus;
    aRequest.mStoredOutcome.mHeaders = head.mHeaders;
    std::erase_if(aRequest.mStoredOutcome.mHeaders, [](const Header& aHeader) {
      return equalHeaderNames(aHeader.mName, headers::kExchange);
    });
  }
  aRequest.mHeadForwarded = true;
  aRequest.mResponder->start(head);
}

template<class HostType>
bool Forwarder<HostType>::onBody(RequestId aId, std::string_view aBytes)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return true;
  }
  if (request->storesResponse() && request->mStoredOutcome.mIsStored) {
    request->mStoredOutcome.mIsStored =
      request->mStoredOutcome.mBody.size() + aBytes.size() <= kMaxStoredOutcomeBytes;
    if (request->mStoredOutcome.mIsStored) {
      request->mStoredOutcome.mBody.append(aBytes);
    } else {
      request->mStoredOutcome.mBody = std::string{};
    }
  }
  const std::size_t buffered = request->mResponder->write(aBytes);
  const bool readMore = buffered < kStreamBufferBytes;
  restartProgressTimer(*request, readMore ? kBodyTimeout : kCallerStallTimeout);
  return readMore;
}

template<class HostType>
void Forwarder<HostType>::onEnd(RequestId aId, ExchangeResult aEnd, const std::string& aReason)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return;
  }
  if (aEnd == ExchangeResult::Complete) {
    apply(aId, RequestEvent::ResponseComplete);
    return;
  }
  request->mRefusal = { Outcome::Failed, RefusalReason::AnswerBroken, aReason };
  const bool notSent = aEnd == ExchangeResult::NotSent;
  if (notSent) {
    request->mRefusal.mReason = RefusalReason::NoTarget;
  }
  endAttempt(*request, SlotRelease::Failed);
  apply(aId, notSent ? RequestEvent::ConnectFailed : RequestEvent::ExchangeFailed);
}

template<class HostType>
void Forwarder<HostType>::onProgressTimeout(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr || !request->mAttempt) {
    return;
  }
  mMetrics.count("silent_connections");
  request->mRefusal = { Outcome::Failed,
                        RefusalReason::AnswerBroken,
                        "no data arrived before the progress timeout" };
  endAttempt(*request, SlotRelease::Failed);
  apply(aId, RequestEvent::ExchangeFailed);
}

template<class HostType>
void Forwarder<HostType>::onDeadline(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  if (request->mStateMachine.state() == RequestState::StreamingResponse) {
    // A response that is already being forwarded may finish after the deadline; the progress timer
    // bounds it.
    return;
  }
  request->mRefusal.mReason = RefusalReason::DeadlinePassed;
  state(request->mParameters.mService).mPool.remove(request->queuedRequest());
  apply(aId, RequestEvent::DeadlinePassed);
}

template<class HostType>
void Forwarder<HostType>::restartProgressTimer(Request& aRequest, Duration aLimit)
{
  const RequestId id = aRequest.mId;
  mHost.cancelTimer(aRequest.mProgressTimer);
  aRequest.mProgressTimer = mHost.after(aLimit, [this, id] { onProgressTimeout(id); });
}

/// Ends the attempt in progress, if any: aborts its exchange and releases the slot.
template<class HostType>
void Forwarder<HostType>::endAttempt(Request& aRequest, SlotRelease aHow)
{
  if (!aRequest.mAttempt) {
    return;
  }
  const Attempt attempt = *std::exchange(aRequest.mAttempt, std::nullopt);
  mHost.cancelTimer(aRequest.mProgressTimer);
  mHost.abortExchange(attempt.mExchange);
  if (!attempt.mHoldsSlot) {
    return;
  }
  const TimePoint now = mHost.now();
  ServicePool& pool = state(aRequest.mParameters.mService).mPool;
  const ReleaseEffect effect = pool.release(attempt.mDestination.mTarget,
                                            aRequest.mParameters.mClass.mName,
                                            aHow,
                                            now - attempt.mStarted,
                                            now);
  const std::string text = "target=" + attempt.mDestination.mTarget.text();
  if (effect == ReleaseEffect::Ejected) {
    mMetrics.count("ejections");
    mHost.log(events::kTargetEjected, text);
  } else if (effect == ReleaseEffect::Recovered) {
    mHost.log(events::kTargetBack, text);
  }
}

} // namespace bulrushrun
