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
  Claiming,
  /// Queued, may be dispatched.
  Queued,
  /// Handed to a target or peer; no answer yet.
  Sending,
  /// The head of an answer has come.
  Answering,
  /// Refused; its claim is being given back.
  Releasing,
  /// Answered or given up.
  Ended,
};

/// \brief What may be done with a request after bytes of it may have arrived somewhere.
enum class RepeatPolicy
{
  /// It may be sent again at will.
  Free,
  /// It may be sent to another instance, where its idempotency key protects it.
  Keyed,
  /// It needs a claim before it is sent, and is sent at most once.
  Once,
  /// It is sent at most once, and needs no claim: it reaches one instance only.
  Single,
};

/// \brief What happens to a carried request.
enum class RequestEvent
{
  Admitted,
  ClaimWon,
  ClaimReplayed,
  ClaimHeld,
  ClaimMismatched,
  ClaimUnavailable,
  Dispatched,
  /// No byte can have reached the other end.
  ConnectFailed,
  /// The other end declared that it did not run the request.
  TargetDeclined,
  HeadArrived,
  AnswerComplete,
  /// Bytes may have arrived, and the answer did not come whole.
  ExchangeBroken,
  /// The queue can't serve it in time, or there is no target.
  Refused,
  DeadlinePassed,
  CallerLeft,
  /// The release is certain, or was given up.
  ReleaseEnded,
};

/// \brief What the forwarder must do next.
enum class RequestAction
{
  /// Nothing.
  Wait,
  WriteClaim,
  Enqueue,
  /// Enter the queue again, at the cost of the retry budget where bytes were sent.
  Retry,
  StreamAnswer,
  EndAnswer,
  /// Break the caller's stream off: the answer began and did not end.
  AbortAnswer,
  Replay,
  ReleaseClaim,
  SayNotRun,
  SayUnknown,
  SayHeld,
  SayMismatch,
  SayFailed,
  /// Tell nobody: the caller has left.
  Drop,
  /// The event is impossible in this state; nothing changes.
  Reject,
};

/// \brief Decides what becomes of one carried request. Pure: events in, actions out.
///
/// "Not run" is said only while no byte can have reached a target, or when every target that was
/// reached declared that it did not run the request.
///
/// \code
/// RequestMachine machine{RepeatPolicy::Once};
/// RequestAction action = machine.apply(RequestEvent::Admitted); // WriteClaim
/// \endcode
class RequestMachine
{
public:
  explicit RequestMachine(RepeatPolicy aPolicy)
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
  bool isCallerGone() const { return mCallerGone; }

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

  RepeatPolicy mPolicy;
  RequestState mState = RequestState::New;
  bool mMayHaveRun = false;
  bool mClaimed = false;
  bool mCallerGone = false;
};

} // namespace bulrushrun
