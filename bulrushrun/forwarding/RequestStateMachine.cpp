#include "bulrushrun/forwarding/RequestStateMachine.h"

namespace bulrushrun {

RequestAction RequestStateMachine::apply(RequestEvent aEvent)
{
  switch (mState) {
    case RequestState::New:
      return onNew(aEvent);
    case RequestState::WritingClaim:
      return onClaiming(aEvent);
    case RequestState::Queued:
      return onQueued(aEvent);
    case RequestState::Sending:
      return onSending(aEvent);
    case RequestState::StreamingResponse:
      return onAnswering(aEvent);
    case RequestState::ReleasingClaim:
      return onReleasing(aEvent);
    case RequestState::Ended:
      break;
  }
  return RequestAction::Reject;
}

RequestAction RequestStateMachine::end(RequestAction aAction)
{
  mState = RequestState::Ended;
  return mCallerDisconnected ? RequestAction::DropSilently : aAction;
}

/// Ends a request that is not at any target; the claim, if any, is released first.
RequestAction RequestStateMachine::refuse()
{
  if (mMayHaveRun) {
    return abandon();
  }
  if (mClaimed) {
    mState = RequestState::ReleasingClaim;
    return RequestAction::ReleaseClaim;
  }
  return end(RequestAction::RespondNotRun);
}

/// Ends a request that a target may have executed.
RequestAction RequestStateMachine::abandon()
{
  return end(mPolicy == RetryPolicy::Unrestricted ? RequestAction::RespondFailed
                                                  : RequestAction::RespondUnknown);
}

/// The caller disconnected while the request was not at any target.
RequestAction RequestStateMachine::endForDisconnectedCaller()
{
  mCallerDisconnected = true;
  return refuse();
}

/// An attempt ended without a result for the caller.
RequestAction RequestStateMachine::retryAfterAttempt()
{
  --mAttemptsInProgress;
  mState = mAttemptsInProgress > 0 ? RequestState::Sending : RequestState::Queued;
  return RequestAction::Retry;
}

RequestAction RequestStateMachine::onNew(RequestEvent aEvent)
{
  if (aEvent == RequestEvent::Admitted) {
    const bool needsClaim = mPolicy == RetryPolicy::AtMostOnceClaimed;
    mState = needsClaim ? RequestState::WritingClaim : RequestState::Queued;
    return needsClaim ? RequestAction::WriteClaim : RequestAction::Enqueue;
  }
  if (aEvent == RequestEvent::Refused || aEvent == RequestEvent::DeadlinePassed) {
    return refuse();
  }
  return RequestAction::Reject;
}

RequestAction RequestStateMachine::onClaiming(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::ClaimAcquired:
      mClaimed = true;
      mState = RequestState::Queued;
      return RequestAction::Enqueue;
    case RequestEvent::ClaimReplayed:
      return end(RequestAction::Replay);
    case RequestEvent::ClaimHeld:
      return end(RequestAction::RespondClaimHeld);
    case RequestEvent::ClaimMismatched:
      return end(RequestAction::RespondKeyReused);
    case RequestEvent::ClaimUnavailable:
    case RequestEvent::Refused:
    case RequestEvent::DeadlinePassed:
      return refuse();
    case RequestEvent::CallerDisconnected:
      return endForDisconnectedCaller();
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestStateMachine::onQueued(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::Dispatched:
      mState = RequestState::Sending;
      mAttemptsInProgress = 1;
      return RequestAction::NoAction;
    case RequestEvent::Refused:
    case RequestEvent::DeadlinePassed:
      return refuse();
    case RequestEvent::CallerDisconnected:
      return endForDisconnectedCaller();
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestStateMachine::onSending(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::Dispatched:
      if (mPolicy != RetryPolicy::Unrestricted) {
        return RequestAction::Reject;
      }
      ++mAttemptsInProgress;
      return RequestAction::NoAction;
    case RequestEvent::ConnectFailed:
    case RequestEvent::TargetDeclined:
      return retryAfterAttempt();
    case RequestEvent::ResponseHeadReceived:
      mState = RequestState::StreamingResponse;
      return RequestAction::StreamResponse;
    case RequestEvent::ExchangeFailed:
      mMayHaveRun = true;
      if (mPolicy == RetryPolicy::AtMostOnceClaimed ||
          mPolicy == RetryPolicy::AtMostOnceUnclaimed) {
        return abandon();
      }
      return retryAfterAttempt();
    case RequestEvent::DeadlinePassed:
      mMayHaveRun = true;
      return abandon();
    case RequestEvent::CallerDisconnected:
      mCallerDisconnected = true;
      return mClaimed ? RequestAction::NoAction : end(RequestAction::DropSilently);
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestStateMachine::onAnswering(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::ResponseComplete:
      return end(RequestAction::FinishResponse);
    case RequestEvent::ExchangeFailed:
    case RequestEvent::DeadlinePassed:
      mMayHaveRun = true;
      return end(RequestAction::AbortResponse);
    case RequestEvent::CallerDisconnected:
      mCallerDisconnected = true;
      return mClaimed ? RequestAction::NoAction : end(RequestAction::DropSilently);
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestStateMachine::onReleasing(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::ClaimReleaseFinished:
      return end(RequestAction::RespondNotRun);
    case RequestEvent::CallerDisconnected:
      mCallerDisconnected = true;
      return RequestAction::NoAction;
    default:
      return RequestAction::Reject;
  }
}

} // namespace bulrushrun
