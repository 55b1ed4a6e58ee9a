#pragma once

#include "bulrushrun/forwarding/Forwarder.h"

/// \file
/// \brief Forwarder: performs the actions that a request's state machine asks for.

namespace bulrushrun {

template<class HostType>
void Forwarder<HostType>::apply(RequestId aId, RequestEvent aEvent)
{
  Request* request = find(aId);
  if (request != nullptr) {
    perform(*request, request->mStateMachine.apply(aEvent));
  }
}

template<class HostType>
void Forwarder<HostType>::perform(Request& aRequest, RequestAction aAction)
{
  switch (aAction) {
    case RequestAction::WriteClaim:
      writeClaim(aRequest);
      return;
    case RequestAction::Enqueue:
      enqueue(aRequest);
      return;
    case RequestAction::Retry:
      retry(aRequest);
      return;
    case RequestAction::FinishResponse:
      finishResponse(aRequest);
      return;
    case RequestAction::AbortResponse:
      abortResponse(aRequest);
      return;
    case RequestAction::Replay:
      replay(aRequest);
      return;
    case RequestAction::ReleaseClaim:
      releaseClaim(aRequest);
      return;
    case RequestAction::RespondNotRun:
      respondWithOutcome(aRequest, Outcome::NotRun);
      return;
    case RequestAction::RespondUnknown:
      mHost.log(events::kOutcomeUnknown, "key=" + keyOf(aRequest.mParameters));
      respondWithOutcome(aRequest, Outcome::Unknown);
      return;
    case RequestAction::RespondClaimHeld:
      respondWithReason(aRequest, Outcome::Unknown, RefusalReason::ClaimHeld);
      return;
    case RequestAction::RespondKeyReused:
      respondWithReason(aRequest, Outcome::NotRun, RefusalReason::KeyReused);
      return;
    case RequestAction::RespondFailed:
      respondWithOutcome(aRequest, Outcome::Failed);
      return;
    case RequestAction::DropSilently:
      endAttempt(aRequest, SlotRelease::Cancelled);
      finish(aRequest, Outcome::Failed);
      return;
    case RequestAction::StreamResponse:
    case RequestAction::NoAction:
    case RequestAction::Reject:
      return;
  }
}

template<class HostType>
void Forwarder<HostType>::writeClaim(Request& aRequest)
{
  const RequestId id = aRequest.mId;
  const UnixSeconds expires = mHost.wallTime() + mView->mDocument->mDefaults.mClaimRetention;
  const ClaimRequest claim{ keyOf(aRequest.mParameters),
                            requestFingerprint(aRequest.mRequest),
                            expires };
  mClaims.acquire(claim, [this, id](const ClaimResult& aResult) { onClaim(id, aResult); });
}

template<class HostType>
void Forwarder<HostType>::onClaim(RequestId aId, const ClaimResult& aResult)
{
  Request* request = find(aId);
  const bool isWritingClaim =
    request != nullptr && request->mStateMachine.state() == RequestState::WritingClaim;
  if (!isWritingClaim) {
    if (aResult.mClaimHandle) {
      ++mPendingClaimWrites;
      mClaims.release(*aResult.mClaimHandle, [this](bool) { --mPendingClaimWrites; });
    }
    return;
  }
  switch (aResult.mStatus) {
    case ClaimStatus::Acquired:
      request->mClaimHandle = aResult.mClaimHandle;
      apply(aId, RequestEvent::ClaimAcquired);
      return;
    case ClaimStatus::Replay:
      request->mStoredOutcome = *aResult.mOutcome;
      apply(aId, RequestEvent::ClaimReplayed);
      return;
    case ClaimStatus::HeldByOther:
      apply(aId, RequestEvent::ClaimHeld);
      return;
    case ClaimStatus::KeyMismatch:
      apply(aId, RequestEvent::ClaimMismatched);
      return;
    case ClaimStatus::Unavailable:
      request->mRefusal.mReason = RefusalReason::ClaimUnavailable;
      apply(aId, RequestEvent::ClaimUnavailable);
      return;
  }
}

template<class HostType>
void Forwarder<HostType>::enqueue(Request& aRequest)
{
  if (aRequest.mRelaying) {
    relay(aRequest);
    return;
  }
  const ServiceKey service = aRequest.mParameters.mService;
  state(service).mPool.enqueue(aRequest.queuedRequest());
  dispatchQueued(service);
}

template<class HostType>
void Forwarder<HostType>::retry(Request& aRequest)
{
  ServiceState& service = state(aRequest.mParameters.mService);
  const bool inTime = mHost.now() < aRequest.mDeadline;
  if (aRequest.mAttempts >= kMaxAttempts || !inTime || !service.mRetries.trySpend()) {
    if (aRequest.mRefusal.mReason == RefusalReason::None) {
      aRequest.mRefusal.mReason = RefusalReason::RetriesSpent;
    }
    apply(aRequest.mId, RequestEvent::Refused);
    return;
  }
  mMetrics.count("retries");
  if (!aRequest.mRelaying && !service.mPool.isUsable(mHost.now())) {
    aRequest.mRefusal.mReason = RefusalReason::NoTarget;
    apply(aRequest.mId, RequestEvent::Refused);
    return;
  }
  enqueue(aRequest);
}

template<class HostType>
void Forwarder<HostType>::releaseClaim(Request& aRequest)
{
  const RequestId id = aRequest.mId;
  endAttempt(aRequest, SlotRelease::Cancelled);
  const ClaimHandle ticket = *std::exchange(aRequest.mClaimHandle, std::nullopt);
  ++mPendingClaimWrites;
  mClaims.release(ticket, [this, id](bool) {
    --mPendingClaimWrites;
    apply(id, RequestEvent::ClaimReleaseFinished);
  });
  mHost.cancelTimer(aRequest.mDeadlineTimer);
  aRequest.mDeadlineTimer = mHost.after(
    kClaimReleaseTimeout, [this, id] { apply(id, RequestEvent::ClaimReleaseFinished); });
}

template<class HostType>
void Forwarder<HostType>::respondWithReason(Request& aRequest,
                                            Outcome aOutcome,
                                            RefusalReason aReason)
{
  aRequest.mRefusal.mReason = aReason;
  respondWithOutcome(aRequest, aOutcome);
}

template<class HostType>
void Forwarder<HostType>::respondWithOutcome(Request& aRequest, Outcome aOutcome)
{
  const bool late = aRequest.mRefusal.mReason == RefusalReason::DeadlinePassed;
  endAttempt(aRequest, late ? SlotRelease::Cancelled : SlotRelease::Failed);
  aRequest.mRefusal.mOutcome = aOutcome;
  HttpResponse response = refusalResponse(aRequest.mRefusal);
  response.mHead.mHeaders.push_back({ headers::kInstance, mSelf.text() });
  respond(*aRequest.mResponder, response);
  for (const ResponderPtr& duplicate : aRequest.mJoinedResponders) {
    respond(*duplicate, response);
  }
  finish(aRequest, aOutcome);
}

template<class HostType>
void Forwarder<HostType>::replay(Request& aRequest)
{
  if (!aRequest.mStoredOutcome.mIsStored) {
    aRequest.mRefusal.mText = "the request was executed, but its response was too large to store";
    respondWithReason(aRequest, Outcome::Unknown, RefusalReason::ClaimHeld);
    return;
  }
  HttpResponse response{
    { aRequest.mStoredOutcome.mStatus, aRequest.mStoredOutcome.mHeaders, std::nullopt },
    aRequest.mStoredOutcome.mBody
  };
  setHeader(response.mHead.mHeaders, headers::kReplayed, "true");
  respond(*aRequest.mResponder, response);
  for (const ResponderPtr& duplicate : aRequest.mJoinedResponders) {
    respond(*duplicate, response);
  }
  mMetrics.count("repeats_replayed");
  finish(aRequest, Outcome::Answered);
}

template<class HostType>
void Forwarder<HostType>::finishResponse(Request& aRequest)
{
  endAttempt(aRequest, SlotRelease::Answered);
  aRequest.mResponder->finish();
  if (aRequest.mClaimHandle) {
    ++mPendingClaimWrites;
    const std::string key = aRequest.mClaimHandle->mRequest.mKey;
    mClaims.complete(*aRequest.mClaimHandle, aRequest.mStoredOutcome, [this, key](bool aStored) {
      --mPendingClaimWrites;
      if (!aStored) {
        mHost.log(events::kOutcomeNotStored, "key=" + key);
      }
    });
  }
  if (!aRequest.mJoinedResponders.empty()) {
    ResponderPtr first = std::exchange(aRequest.mResponder, aRequest.mJoinedResponders.front());
    aRequest.mJoinedResponders.erase(aRequest.mJoinedResponders.begin());
    first->mOnDisconnect = nullptr;
    first->mOnWritable = nullptr;
    replay(aRequest);
    return;
  }
  finish(aRequest, Outcome::Answered);
}

template<class HostType>
void Forwarder<HostType>::abortResponse(Request& aRequest)
{
  endAttempt(aRequest, SlotRelease::Failed);
  aRequest.mResponder->abort();
  aRequest.mRefusal = { Outcome::Unknown, RefusalReason::AnswerBroken, "" };
  for (const ResponderPtr& duplicate : aRequest.mJoinedResponders) {
    respond(*duplicate, refusalResponse(aRequest.mRefusal));
  }
  finish(aRequest, Outcome::Failed);
}

template<class HostType>
void Forwarder<HostType>::finish(Request& aRequest, Outcome aOutcome)
{
  mHost.cancelTimer(aRequest.mDeadlineTimer);
  mHost.cancelTimer(aRequest.mProgressTimer);
  aRequest.mResponder->mOnDisconnect = nullptr;
  aRequest.mResponder->mOnWritable = nullptr;
  const ServiceKey service = aRequest.mParameters.mService;
  state(service).mPool.remove(aRequest.queuedRequest());
  if (aRequest.mShifted) {
    state(service).mShiftCap.onFinished();
  }
  mMetrics.onRequest(
    { service, aRequest.mParameters.mClass.mName }, aOutcome, mHost.now() - aRequest.mArrived);
  const auto keyed = mRequestsByKey.find(keyOf(aRequest.mParameters));
  if (keyed != mRequestsByKey.end() && keyed->second == aRequest.mId) {
    mRequestsByKey.erase(keyed);
  }
  mRequests.erase(aRequest.mId.value());
  dispatchQueued(service);
}

} // namespace bulrushrun
