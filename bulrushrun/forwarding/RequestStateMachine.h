#pragma once

#include <cstdint>
#include <optional>

namespace bulrushrun {

/// \brief Where a carried request stands.
enum class RequestState
{
  /// Not admitted yet.
  New,
  /// Queued, and its claim is being written.
  WritingClaim,
  /// Queued, may be dispatched.
  Queued,
  /// Handed to a target or peer; no answer yet.
  Sending,
  /// The head of an answer has come.
  StreamingResponse,
  /// Refused; its claim is being given back.
  ReleasingClaim,
  /// Answered or given up.
  Ended,
};

/// \brief What may be done with a request after bytes of it may have arrived somewhere.
enum class RetryPolicy
{
  /// It may be sent again at will.
  Unrestricted,
  /// It may be sent to another instance, where its idempotency key protects it.
  KeyProtected,
  /// It needs a claim before it is sent, and is sent at most once.
  AtMostOnceClaimed,
  /// It is sent at most once, and needs no claim: it reaches one instance only.
  AtMostOnceUnclaimed,
};

/// \brief What happens to a carried request.
enum class RequestEvent
{
  Admitted,
  ClaimAcquired,
  ClaimReplayed,
  ClaimHeld,
  ClaimMismatched,
  ClaimUnavailable,
  Dispatched,
  /// No byte can have reached the other end.
  ConnectFailed,
  /// The other end declared that it did not run the request.
  TargetDeclined,
  ResponseHeadReceived,
  ResponseComplete,
  /// Bytes may have arrived, and the answer did not come whole.
  ExchangeFailed,
  /// The queue can't serve it in time, or there is no target.
  Refused,
  DeadlinePassed,
  CallerDisconnected,
  /// The release is certain, or was given up.
  ClaimReleaseFinished,
};

/// \brief What the forwarder must do next.
enum class RequestAction
{
  /// Nothing.
  NoAction,
  WriteClaim,
  Enqueue,
  /// Enter the queue again, at the cost of the retry budget where bytes were sent.
  Retry,
  StreamResponse,
  FinishResponse,
  /// Break the caller's stream off: the answer began and did not end.
  AbortResponse,
  Replay,
  ReleaseClaim,
  RespondNotRun,
  RespondUnknown,
  RespondClaimHeld,
  RespondKeyReused,
  RespondFailed,
  /// Tell nobody: the caller has left.
  DropSilently,
  /// The event is impossible in this state; nothing changes.
  Reject,
};

/// \brief Decides what becomes of one carried request. Pure: events in, actions out.
///
/// "Not run" is said only while no byte can have reached a target, or when every target that was
/// reached declared that it did not run the request.
///
/// \code
/// RequestStateMachine machine{RetryPolicy::AtMostOnceClaimed};
/// RequestAction action = machine.apply(RequestEvent::Admitted); // WriteClaim
/// \endcode
class RequestStateMachine
{
public:
  explicit RequestStateMachine(RetryPolicy aPolicy)
    : mPolicy(aPolicy)
  {
  }

  /// \brief Takes one event. \returns what to do.
  RequestAction apply(RequestEvent aEvent);

  RequestState state() const { return mState; }
  /// \brief \returns true when a target may have run the request.
  bool mayHaveRun() const { return mMayHaveRun; }
  /// \brief \returns true when the claim is held.
  bool isClaimed() const { return mClaimed; }
  /// \brief \returns true when the caller has left; the request goes on only for its outcome.
  bool isCallerDisconnected() const { return mCallerDisconnected; }

private:
  RequestAction onNew(RequestEvent aEvent);
  RequestAction onClaiming(RequestEvent aEvent);
  RequestAction onQueued(RequestEvent aEvent);
  RequestAction onSending(RequestEvent aEvent);
  RequestAction onAnswering(RequestEvent aEvent);
  RequestAction onReleasing(RequestEvent aEvent);

  RequestAction end(RequestAction aAction);
  RequestAction refuse();
  RequestAction giveUp();
  RequestAction leave();

  RetryPolicy mPolicy;
  RequestState mState = RequestState::New;
  bool mMayHaveRun = false;
  bool mClaimed = false;
  bool mCallerDisconnected = false;
};

} // namespace bulrushrun
