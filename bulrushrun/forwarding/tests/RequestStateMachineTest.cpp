#include "bulrushrun/forwarding/RequestStateMachine.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <set>
#include <tuple>
#include <vector>

namespace bulrushrun {
namespace {

using E = RequestEvent;
using A = RequestAction;

constexpr std::array kEvents{
  E::Admitted,        E::ClaimAcquired,        E::ClaimReplayed,      E::ClaimHeld,
  E::ClaimMismatched, E::ClaimUnavailable,     E::Dispatched,         E::ConnectFailed,
  E::TargetDeclined,  E::ResponseHeadReceived, E::ResponseComplete,   E::ExchangeFailed,
  E::Refused,         E::DeadlinePassed,       E::CallerDisconnected, E::ClaimReleaseFinished
};

RequestStateMachine after(RetryPolicy aPolicy, std::initializer_list<E> aEvents)
{
  RequestStateMachine machine{ aPolicy };
  for (const E event : aEvents) {
    machine.apply(event);
  }
  return machine;
}

/// A request that must be executed at most once: sent only under a claim, never sent twice after a
/// target may have executed it.
struct AtMostOnce : testing::Test
{
  struct WhileClaiming;
  struct Queued;
  struct Sent;
};

TEST_F(AtMostOnce, IsClaimedBeforeItMayBeQueued)
{
  RequestStateMachine machine{ RetryPolicy::AtMostOnceClaimed };
  EXPECT_EQ(machine.apply(E::Admitted), A::WriteClaim);
  EXPECT_EQ(machine.apply(E::Dispatched), A::Reject);
  EXPECT_EQ(machine.apply(E::ClaimAcquired), A::Enqueue);
  EXPECT_TRUE(machine.isClaimed());
}

struct AtMostOnce::WhileClaiming : AtMostOnce
{};
using AtMostOnceWhileClaiming = AtMostOnce::WhileClaiming;

TEST_F(AtMostOnceWhileClaiming, AnUnresponsiveStoreMeansNotRun)
{
  RequestStateMachine machine = after(RetryPolicy::AtMostOnceClaimed, { E::Admitted });
  EXPECT_EQ(machine.apply(E::ClaimUnavailable), A::RespondNotRun);
}

TEST_F(AtMostOnceWhileClaiming, AClaimHeldByAnotherRequestPreventsSending)
{
  RequestStateMachine machine = after(RetryPolicy::AtMostOnceClaimed, { E::Admitted });
  EXPECT_EQ(machine.apply(E::ClaimHeld), A::RespondClaimHeld);
  EXPECT_EQ(machine.apply(E::Dispatched), A::Reject);
}

struct AtMostOnce::Queued : AtMostOnce
{};
using AtMostOnceQueued = AtMostOnce::Queued;

TEST_F(AtMostOnceQueued, ARefusalReleasesTheClaimBeforeTheResponse)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired });
  EXPECT_EQ(machine.apply(E::DeadlinePassed), A::ReleaseClaim);
  EXPECT_EQ(machine.apply(E::ClaimReleaseFinished), A::RespondNotRun);
}

struct AtMostOnce::Sent : AtMostOnce
{};
using AtMostOnceSent = AtMostOnce::Sent;

TEST_F(AtMostOnceSent, AFailedExchangeMeansUnknownAndNoRetry)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired, E::Dispatched });
  EXPECT_EQ(machine.apply(E::ExchangeFailed), A::RespondUnknown);
  EXPECT_EQ(machine.state(), RequestState::Ended);
}

TEST_F(AtMostOnceSent, ADeclinedRequestIsRetriedUnderTheSameClaim)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired, E::Dispatched });
  EXPECT_EQ(machine.apply(E::TargetDeclined), A::Retry);
  EXPECT_EQ(machine.apply(E::Dispatched), A::NoAction);
}

TEST_F(AtMostOnceSent, ContinuesForItsOutcomeWhenTheCallerDisconnects)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired, E::Dispatched });
  EXPECT_EQ(machine.apply(E::CallerDisconnected), A::NoAction);
  EXPECT_EQ(machine.apply(E::ResponseHeadReceived), A::StreamResponse);
}

/// A reachable state of the machine, with the true history of the request.
struct ReachableState
{
  RequestStateMachine mStateMachine;
  /// Bytes may have reached a target that did not decline the request.
  bool mMayHaveRun;
  int mDepth;
};

/// Explores every sequence of events up to a depth. Rejected events don't change the state and are
/// not followed.
void exploreTransitions(RetryPolicy aPolicy,
                        int aDepth,
                        const std::function<void(const ReachableState&, E, A)>& aCheck)
{
  std::vector<ReachableState> pending{ { RequestStateMachine{ aPolicy }, false, 0 } };
  while (!pending.empty()) {
    const ReachableState state = pending.back();
    pending.pop_back();
    for (const E event : kEvents) {
      ReachableState next = state;
      const RequestState previousState = next.mStateMachine.state();
      const A action = next.mStateMachine.apply(event);
      const bool inExchange =
        previousState == RequestState::Sending || previousState == RequestState::StreamingResponse;
      const bool failed = event == E::ExchangeFailed || event == E::DeadlinePassed;
      next.mMayHaveRun = state.mMayHaveRun || (inExchange && failed && action != A::Reject);
      next.mDepth = state.mDepth + 1;
      aCheck(next, event, action);
      if (action != A::Reject && next.mDepth < aDepth) {
        pending.push_back(next);
      }
    }
  }
}

constexpr int kMaxDepth = 9;

TEST(EveryTransition, NeverReportsNotRunAfterAPossibleExecution)
{
  for (const RetryPolicy policy :
       { RetryPolicy::Unrestricted, RetryPolicy::KeyProtected, RetryPolicy::AtMostOnceClaimed }) {
    std::uint64_t notRunCount = 0;
    exploreTransitions(policy, kMaxDepth, [&](const ReachableState& aState, E, A aAction) {
      if (aAction == A::RespondNotRun) {
        ++notRunCount;
        EXPECT_FALSE(aState.mMayHaveRun);
      }
    });
    EXPECT_GT(notRunCount, 0U);
  }
}

TEST(EveryTransition, RetriesAnAtMostOnceRequestOnlyIfNeverSentOrDeclined)
{
  exploreTransitions(RetryPolicy::AtMostOnceClaimed,
                     kMaxDepth,
                     [](const ReachableState& aState, E aEvent, A aAction) {
                       if (aAction == A::Retry || aEvent == E::Dispatched) {
                         EXPECT_TRUE(aAction == A::Reject || !aState.mMayHaveRun);
                       }
                     });
}

TEST(EveryTransition, RejectsEventsInTheEndedState)
{
  for (const E event : kEvents) {
    RequestStateMachine machine = after(RetryPolicy::Unrestricted, { E::Refused });
    ASSERT_EQ(machine.state(), RequestState::Ended);
    EXPECT_EQ(machine.apply(event), A::Reject);
  }
}

TEST(EveryTransition, EndsEveryAtMostOnceRequestWithAResponseOrADrop)
{
  const std::set<A> finalActions{ A::RespondNotRun,    A::RespondUnknown, A::RespondClaimHeld,
                                  A::RespondKeyReused, A::Replay,         A::FinishResponse,
                                  A::AbortResponse,    A::DropSilently };
  exploreTransitions(
    RetryPolicy::AtMostOnceClaimed, kMaxDepth, [&](const ReachableState& aState, E, A aAction) {
      if (aAction != A::Reject && aState.mStateMachine.state() == RequestState::Ended) {
        EXPECT_TRUE(finalActions.contains(aAction));
        EXPECT_EQ(aAction == A::DropSilently, aState.mStateMachine.isCallerDisconnected());
      }
    });
}

/// Guards against an end of a request, or a promise that it has not run, while a target has it.
TEST(ParallelAttempts, OneThatFailsLeavesTheOthersInProgress)
{
  RequestStateMachine machine =
    after(RetryPolicy::Unrestricted, { E::Admitted, E::Dispatched, E::Dispatched, E::Dispatched });
  EXPECT_EQ(machine.apply(E::TargetDeclined), A::Retry);
  EXPECT_EQ(machine.state(), RequestState::Sending);
  EXPECT_EQ(machine.apply(E::Refused), A::Reject) << "two targets may be at work";
  EXPECT_EQ(machine.apply(E::ExchangeFailed), A::Retry);
  EXPECT_EQ(machine.apply(E::Refused), A::Reject);
  EXPECT_EQ(machine.apply(E::TargetDeclined), A::Retry);
  EXPECT_EQ(machine.state(), RequestState::Queued);
  EXPECT_EQ(machine.apply(E::Refused), A::RespondFailed) << "one of them may have run it";
}

/// Guards against a second execution of a request that may run once only.
TEST(ParallelAttempts, AreRejectedUnlessTheRequestMayRunAgain)
{
  for (const RetryPolicy policy : { RetryPolicy::KeyProtected,
                                    RetryPolicy::AtMostOnceClaimed,
                                    RetryPolicy::AtMostOnceUnclaimed }) {
    RequestStateMachine machine = after(policy, { E::Admitted, E::ClaimAcquired, E::Dispatched });
    ASSERT_EQ(machine.state(), RequestState::Sending);
    EXPECT_EQ(machine.apply(E::Dispatched), A::Reject);
  }
}

/// A request that only one instance receives and that must be executed at most once.
TEST(AnUnclaimedRequest, IsSentWithoutAClaimAndNotRetriedAfterAFailedExchange)
{
  RequestStateMachine machine{ RetryPolicy::AtMostOnceUnclaimed };
  EXPECT_EQ(machine.apply(E::Admitted), A::Enqueue);
  machine.apply(E::Dispatched);
  EXPECT_EQ(machine.apply(E::TargetDeclined), A::Retry);
  machine.apply(E::Dispatched);
  EXPECT_EQ(machine.apply(E::ExchangeFailed), A::RespondUnknown);
}

} // namespace
} // namespace bulrushrun
