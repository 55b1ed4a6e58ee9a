#include "bulrushrun/forwarding/RequestMachine.h"

namespace bulrushrun {

RequestAction RequestMachine::apply(RequestEvent aEvent)
{
  switch (mState) {
    case RequestState::New:
      return onNew(aEvent);
    case RequestState::Claiming:
      return onClaiming(aEvent);
    case RequestState::Queued:
      return onQueued(aEvent);
    case RequestState::Sending:
      return onSending(aEvent);
    case RequestState::Answering:
      return onAnswering(aEvent);
    case RequestState::Releasing:
      return onReleasing(aEvent);
    case RequestState::Ended:
      break;
  }
  return RequestAction::Reject;
}

RequestAction RequestMachine::end(RequestAction aAction)
{
  mState = RequestState::Ended;
  return mCallerGone ? RequestAction::Drop : aAction;
}

/// Ends a request that no target holds any more.
RequestAction RequestMachine::refuse()
{
  if (mMayHaveRun) {
    return giveUp();
  }
  if (mClaimed) {
    mState = RequestState::Releasing;
    return RequestAction::ReleaseClaim;
  }
  return end(RequestAction::SayNotRun);
}

/// Ends a request that may have run.
RequestAction RequestMachine::giveUp()
{
  return end(mPolicy == RepeatPolicy::Free ? RequestAction::SayFailed : RequestAction::SayUnknown);
}

/// The caller left while no target works on the request.
RequestAction RequestMachine::leave()
{
  mCallerGone = true;
  return refuse();
}

RequestAction RequestMachine::onNew(RequestEvent aEvent)
{
  if (aEvent == RequestEvent::Admitted) {
    const bool once = mPolicy == RepeatPolicy::Once;
    mState = once ? RequestState::Claiming : RequestState::Queued;
    return once ? RequestAction::WriteClaim : RequestAction::Enqueue;
  }
  if (aEvent == RequestEvent::Refused || aEvent == RequestEvent::DeadlinePassed) {
    return refuse();
  }
  return RequestAction::Reject;
}

RequestAction RequestMachine::onClaiming(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::ClaimWon:
      mClaimed = true;
      mState = RequestState::Queued;
      return RequestAction::Enqueue;
    case RequestEvent::ClaimReplayed:
      return end(RequestAction::Replay);
    case RequestEvent::ClaimHeld:
      return end(RequestAction::SayHeld);
    case RequestEvent::ClaimMismatched:
      return end(RequestAction::SayMismatch);
    case RequestEvent::ClaimUnavailable:
    case RequestEvent::Refused:
    case RequestEvent::DeadlinePassed:
      return refuse();
    case RequestEvent::CallerLeft:
      return leave();
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestMachine::onQueued(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::Dispatched:
      mState = RequestState::Sending;
      return RequestAction::Wait;
    case RequestEvent::Refused:
    case RequestEvent::DeadlinePassed:
      return refuse();
    case RequestEvent::CallerLeft:
      return leave();
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestMachine::onSending(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::ConnectFailed:
    case RequestEvent::TargetDeclined:
      mState = RequestState::Queued;
      return RequestAction::Retry;
    case RequestEvent::HeadArrived:
      mState = RequestState::Answering;
      return RequestAction::StreamAnswer;
    case RequestEvent::ExchangeBroken:
      mMayHaveRun = true;
      if (mPolicy == RepeatPolicy::Once || mPolicy == RepeatPolicy::Single) {
        return giveUp();
      }
      mState = RequestState::Queued;
      return RequestAction::Retry;
    case RequestEvent::DeadlinePassed:
      mMayHaveRun = true;
      return giveUp();
    case RequestEvent::CallerLeft:
      mCallerGone = true;
      return mClaimed ? RequestAction::Wait : end(RequestAction::Drop);
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestMachine::onAnswering(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::AnswerComplete:
      return end(RequestAction::EndAnswer);
    case RequestEvent::ExchangeBroken:
    case RequestEvent::DeadlinePassed:
      mMayHaveRun = true;
      return end(RequestAction::AbortAnswer);
    case RequestEvent::CallerLeft:
      mCallerGone = true;
      return mClaimed ? RequestAction::Wait : end(RequestAction::Drop);
    default:
      return RequestAction::Reject;
  }
}

RequestAction RequestMachine::onReleasing(RequestEvent aEvent)
{
  switch (aEvent) {
    case RequestEvent::ReleaseEnded:
      return end(RequestAction::SayNotRun);
    case RequestEvent::CallerLeft:
      mCallerGone = true;
      return RequestAction::Wait;
    default:
      return RequestAction::Reject;
  }
}

} // namespace bulrushrun
