#pragma once

#include <cstdint>
#include <optional>

namespace bulrushrun {

/// \brief State of a request in progress.
enum class RequestState
{
  /// Not admitted yet.
  New,
  /// Admitted; its claim is being written, and it must not be dispatched yet.
  WritingClaim,
  /// Queued for dispatch.
  Queued,
  /// Sent to a target or peer, or to several targets; no response is forwarded yet.
  Sending,
  /// The response head was received; the body is being forwarded.
  StreamingResponse,
  /// Refused; its claim is being released.
  ReleasingClaim,
  /// Response finished, or request abandoned.
  Ended,
};

/// \brief Whether a request may be sent again once bytes of it may have reached another process.
enum class RetryPolicy
{
  /// It may be sent again any number of times.
  Unrestricted,
  /// It may be sent to another instance, which deduplicates it by its idempotency key.
  KeyProtected,
  /// It must be claimed before it is sent, and is sent at most once.
  AtMostOnceClaimed,
  /// It is sent at most once, without a claim: only one instance receives it.
  AtMostOnceUnclaimed,
};

/// \brief Event of a request in progress.
enum class RequestEvent
{
  Admitted,
  ClaimAcquired,
  ClaimReplayed,
  ClaimHeld,
  ClaimMismatched,
  ClaimUnavailable,
  /// Sent to a target or peer, possibly while earlier attempts are in progress.
  Dispatched,
  /// The connection failed before any byte was sent.
  ConnectFailed,
  /// The target or peer reported that it did not execute the request.
  TargetDeclined,
  ResponseHeadReceived,
  ResponseComplete,
  /// Bytes may have been received by the other side, and no complete response arrived.
  ExchangeFailed,
  /// Refused locally: the queue can't serve the request in time, no target is available, or the
  /// retries are spent.
  Refused,
  DeadlinePassed,
  CallerDisconnected,
  /// The release of the claim succeeded, or was abandoned.
  ClaimReleaseFinished,
};

/// \brief What the forwarder must do after an event.
enum class RequestAction
{
  NoAction,
  WriteClaim,
  Enqueue,
  /// Send the request again, which spends the retry budget, or wait for the attempts that are still
  /// in progress.
  Retry,
  StreamResponse,
  FinishResponse,
  /// Abort the response to the caller: it was started and can't be completed.
  AbortResponse,
  Replay,
  ReleaseClaim,
  RespondNotRun,
  RespondUnknown,
  RespondClaimHeld,
  RespondKeyReused,
  RespondFailed,
  /// End without a response: the caller has disconnected.
  DropSilently,
  /// The event is invalid in this state and is ignored.
  Reject,
};

/// \brief Life cycle of one request in progress, as a pure function from events to actions.
///
/// Several attempts may be in progress only under RetryPolicy::Unrestricted. A failed attempt ends
/// the request only when no other one is in progress.
///
/// Outcome::NotRun is reported only while no byte can have reached a target, or when every target
/// that was reached reported that it did not execute the request.
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

  /// \brief Applies one event. \returns the action to perform.
  RequestAction apply(RequestEvent aEvent);

  RequestState state() const { return mState; }
  /// \brief \returns true when a target may have executed the request.
  bool mayHaveRun() const { return mMayHaveRun; }
  /// \brief \returns true when the claim is held.
  bool isClaimed() const { return mClaimed; }
  /// \brief \returns true when the caller has disconnected; a claimed request that was sent
  /// continues, so that its outcome is stored.
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
  RequestAction abandon();
  RequestAction endForDisconnectedCaller();
  RequestAction retryAfterAttempt();

  RetryPolicy mPolicy;
  RequestState mState = RequestState::New;
  int mAttemptsInProgress = 0;
  bool mMayHaveRun = false;
  bool mClaimed = false;
  bool mCallerDisconnected = false;
};

} // namespace bulrushrun
