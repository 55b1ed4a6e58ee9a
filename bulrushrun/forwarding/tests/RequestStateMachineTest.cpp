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

/// Story: a request that may run at most once.
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

TEST_F(AtMostOnceWhileClaiming, AStoreThatGivesNoAnswerMeansNotRun)
{
  RequestStateMachine machine = after(RetryPolicy::AtMostOnceClaimed, { E::Admitted });
  EXPECT_EQ(machine.apply(E::ClaimUnavailable), A::RespondNotRun);
}

TEST_F(AtMostOnceWhileClaiming, AnotherHolderMeansHeldAndNothingIsSent)
{
  RequestStateMachine machine = after(RetryPolicy::AtMostOnceClaimed, { E::Admitted });
  EXPECT_EQ(machine.apply(E::ClaimHeld), A::RespondClaimHeld);
  EXPECT_EQ(machine.apply(E::Dispatched), A::Reject);
}

struct AtMostOnce::Queued : AtMostOnce
{};
using AtMostOnceQueued = AtMostOnce::Queued;

TEST_F(AtMostOnceQueued, ARefusalGivesTheClaimBackBeforeItIsSaid)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired });
  EXPECT_EQ(machine.apply(E::DeadlinePassed), A::ReleaseClaim);
  EXPECT_EQ(machine.apply(E::ClaimReleaseFinished), A::RespondNotRun);
}

struct AtMostOnce::Sent : AtMostOnce
{};
using AtMostOnceSent = AtMostOnce::Sent;

TEST_F(AtMostOnceSent, ABrokenExchangeMeansUnknownAndNoSecondRun)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired, E::Dispatched });
  EXPECT_EQ(machine.apply(E::ExchangeFailed), A::RespondUnknown);
  EXPECT_EQ(machine.state(), RequestState::Ended);
}

TEST_F(AtMostOnceSent, ATargetThatDeclinedLetsTheSameClaimGoToAnother)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired, E::Dispatched });
  EXPECT_EQ(machine.apply(E::TargetDeclined), A::Retry);
  EXPECT_EQ(machine.apply(E::Dispatched), A::NoAction);
}

TEST_F(AtMostOnceSent, GoesOnForItsOutcomeWhenTheCallerLeaves)
{
  RequestStateMachine machine =
    after(RetryPolicy::AtMostOnceClaimed, { E::Admitted, E::ClaimAcquired, E::Dispatched });
  EXPECT_EQ(machine.apply(E::CallerDisconnected), A::NoAction);
  EXPECT_EQ(machine.apply(E::ResponseHeadReceived), A::StreamResponse);
}

/// One state of the machine as it can be reached, with what really happened on the way.
struct Reached
{
  RequestStateMachine mStateMachine;
  /// Bytes may have reached a target that did not decline.
  bool mMayHaveRun;
  int mDepth;
};

/// Walks every sequence of events up to a depth; rejected events change nothing and are not
/// followed.
void walk(RetryPolicy aPolicy, int aDepth, const std::function<void(const Reached&, E, A)>& aCheck)
{
  std::vector<Reached> open{ { RequestStateMachine{ aPolicy }, false, 0 } };
  while (!open.empty()) {
    const Reached reached = open.back();
    open.pop_back();
    for (const E event : kEvents) {
      Reached next = reached;
      const RequestState before = next.mStateMachine.state();
      const A action = next.mStateMachine.apply(event);
      const bool exchange =
        before == RequestState::Sending || before == RequestState::StreamingResponse;
      const bool lost = event == E::ExchangeFailed || event == E::DeadlinePassed;
      next.mMayHaveRun = reached.mMayHaveRun || (exchange && lost && action != A::Reject);
      next.mDepth = reached.mDepth + 1;
      aCheck(next, event, action);
      if (action != A::Reject && next.mDepth < aDepth) {
        open.push_back(next);
      }
    }
  }
}

constexpr int kDepth = 9;

TEST(EveryTransition, NeverSaysNotRunOnceARequestMayHaveRun)
{
  for (const RetryPolicy policy :
       { RetryPolicy::Unrestricted, RetryPolicy::KeyProtected, RetryPolicy::AtMostOnceClaimed }) {
    std::uint64_t said = 0;
    walk(policy, kDepth, [&](const Reached& aReached, E, A aAction) {
      if (aAction == A::RespondNotRun) {
        ++said;
        EXPECT_FALSE(aReached.mMayHaveRun);
      }
    });
    EXPECT_GT(said, 0U);
  }
}

TEST(EveryTransition, SendsAnAtMostOnceRequestAgainOnlyAfterItWasDeclinedOrNeverSent)
{
  walk(RetryPolicy::AtMostOnceClaimed, kDepth, [](const Reached& aReached, E aEvent, A aAction) {
    if (aAction == A::Retry || aEvent == E::Dispatched) {
      EXPECT_TRUE(aAction == A::Reject || !aReached.mMayHaveRun);
    }
  });
}

TEST(EveryTransition, TakesNothingAfterTheEnd)
{
  for (const E event : kEvents) {
    RequestStateMachine machine = after(RetryPolicy::Unrestricted, { E::Refused });
    ASSERT_EQ(machine.state(), RequestState::Ended);
    EXPECT_EQ(machine.apply(event), A::Reject);
  }
}

TEST(EveryTransition, EndsEveryAtMostOnceRequestWithAWordOrItsAnswer)
{
  const std::set<A> endings{ A::RespondNotRun,    A::RespondUnknown, A::RespondClaimHeld,
                             A::RespondKeyReused, A::Replay,         A::FinishResponse,
                             A::AbortResponse,    A::DropSilently };
  walk(RetryPolicy::AtMostOnceClaimed, kDepth, [&](const Reached& aReached, E, A aAction) {
    if (aAction != A::Reject && aReached.mStateMachine.state() == RequestState::Ended) {
      EXPECT_TRUE(endings.contains(aAction));
      EXPECT_EQ(aAction == A::DropSilently, aReached.mStateMachine.isCallerDisconnected());
    }
  });
}

/// Story: a request that reaches one instance only and may run at most once.
TEST(ARequestWithoutAClaim, IsSentAtOnceAndNeverAgainAfterABrokenExchange)
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
