#include "bulrushrun/forwarding/RequestMachine.h"

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

constexpr std::array kEvents{ E::Admitted,    E::ClaimWon,        E::ClaimReplayed,
                              E::ClaimHeld,   E::ClaimMismatched, E::ClaimUnavailable,
                              E::Dispatched,  E::ConnectFailed,   E::TargetDeclined,
                              E::HeadArrived, E::AnswerComplete,  E::ExchangeBroken,
                              E::Refused,     E::DeadlinePassed,  E::CallerLeft,
                              E::ReleaseEnded };

RequestMachine after(RepeatPolicy aPolicy, std::initializer_list<E> aEvents)
{
  RequestMachine machine{ aPolicy };
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
  RequestMachine machine{ RepeatPolicy::Once };
  EXPECT_EQ(machine.apply(E::Admitted), A::WriteClaim);
  EXPECT_EQ(machine.apply(E::Dispatched), A::Reject);
  EXPECT_EQ(machine.apply(E::ClaimWon), A::Enqueue);
  EXPECT_TRUE(machine.isClaimed());
}

struct AtMostOnce::WhileClaiming : AtMostOnce
{};
using AtMostOnceWhileClaiming = AtMostOnce::WhileClaiming;

TEST_F(AtMostOnceWhileClaiming, AStoreThatGivesNoAnswerMeansNotRun)
{
  RequestMachine machine = after(RepeatPolicy::Once, { E::Admitted });
  EXPECT_EQ(machine.apply(E::ClaimUnavailable), A::SayNotRun);
}

TEST_F(AtMostOnceWhileClaiming, AnotherHolderMeansHeldAndNothingIsSent)
{
  RequestMachine machine = after(RepeatPolicy::Once, { E::Admitted });
  EXPECT_EQ(machine.apply(E::ClaimHeld), A::SayHeld);
  EXPECT_EQ(machine.apply(E::Dispatched), A::Reject);
}

struct AtMostOnce::Queued : AtMostOnce
{};
using AtMostOnceQueued = AtMostOnce::Queued;

TEST_F(AtMostOnceQueued, ARefusalGivesTheClaimBackBeforeItIsSaid)
{
  RequestMachine machine = after(RepeatPolicy::Once, { E::Admitted, E::ClaimWon });
  EXPECT_EQ(machine.apply(E::DeadlinePassed), A::ReleaseClaim);
  EXPECT_EQ(machine.apply(E::ReleaseEnded), A::SayNotRun);
}

struct AtMostOnce::Sent : AtMostOnce
{};
using AtMostOnceSent = AtMostOnce::Sent;

TEST_F(AtMostOnceSent, ABrokenExchangeMeansUnknownAndNoSecondRun)
{
  RequestMachine machine = after(RepeatPolicy::Once, { E::Admitted, E::ClaimWon, E::Dispatched });
  EXPECT_EQ(machine.apply(E::ExchangeBroken), A::SayUnknown);
  EXPECT_EQ(machine.state(), RequestState::Ended);
}

TEST_F(AtMostOnceSent, ATargetThatDeclinedLetsTheSameClaimGoToAnother)
{
  RequestMachine machine = after(RepeatPolicy::Once, { E::Admitted, E::ClaimWon, E::Dispatched });
  EXPECT_EQ(machine.apply(E::TargetDeclined), A::Retry);
  EXPECT_EQ(machine.apply(E::Dispatched), A::Wait);
}

TEST_F(AtMostOnceSent, GoesOnForItsOutcomeWhenTheCallerLeaves)
{
  RequestMachine machine = after(RepeatPolicy::Once, { E::Admitted, E::ClaimWon, E::Dispatched });
  EXPECT_EQ(machine.apply(E::CallerLeft), A::Wait);
  EXPECT_EQ(machine.apply(E::HeadArrived), A::StreamAnswer);
}

/// One state of the machine as it can be reached, with what really happened on the way.
struct Reached
{
  RequestMachine mMachine;
  /// Bytes may have reached a target that did not decline.
  bool mMayHaveRun;
  int mDepth;
};

/// Walks every sequence of events up to a depth; rejected events change nothing and are not
/// followed.
void walk(RepeatPolicy aPolicy, int aDepth, const std::function<void(const Reached&, E, A)>& aCheck)
{
  std::vector<Reached> open{ { RequestMachine{ aPolicy }, false, 0 } };
  while (!open.empty()) {
    const Reached reached = open.back();
    open.pop_back();
    for (const E event : kEvents) {
      Reached next = reached;
      const RequestState before = next.mMachine.state();
      const A action = next.mMachine.apply(event);
      const bool exchange = before == RequestState::Sending || before == RequestState::Answering;
      const bool lost = event == E::ExchangeBroken || event == E::DeadlinePassed;
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
  for (const RepeatPolicy policy :
       { RepeatPolicy::Free, RepeatPolicy::Keyed, RepeatPolicy::Once }) {
    std::uint64_t said = 0;
    walk(policy, kDepth, [&](const Reached& aReached, E, A aAction) {
      if (aAction == A::SayNotRun) {
        ++said;
        EXPECT_FALSE(aReached.mMayHaveRun);
      }
    });
    EXPECT_GT(said, 0U);
  }
}

TEST(EveryTransition, SendsAnAtMostOnceRequestAgainOnlyAfterItWasDeclinedOrNeverSent)
{
  walk(RepeatPolicy::Once, kDepth, [](const Reached& aReached, E aEvent, A aAction) {
    if (aAction == A::Retry || aEvent == E::Dispatched) {
      EXPECT_TRUE(aAction == A::Reject || !aReached.mMayHaveRun);
    }
  });
}

TEST(EveryTransition, TakesNothingAfterTheEnd)
{
  for (const E event : kEvents) {
    RequestMachine machine = after(RepeatPolicy::Free, { E::Refused });
    ASSERT_EQ(machine.state(), RequestState::Ended);
    EXPECT_EQ(machine.apply(event), A::Reject);
  }
}

TEST(EveryTransition, EndsEveryAtMostOnceRequestWithAWordOrItsAnswer)
{
  const std::set<A> endings{ A::SayNotRun, A::SayUnknown, A::SayHeld,     A::SayMismatch,
                             A::Replay,    A::EndAnswer,  A::AbortAnswer, A::Drop };
  walk(RepeatPolicy::Once, kDepth, [&](const Reached& aReached, E, A aAction) {
    if (aAction != A::Reject && aReached.mMachine.state() == RequestState::Ended) {
      EXPECT_TRUE(endings.contains(aAction));
      EXPECT_EQ(aAction == A::Drop, aReached.mMachine.isCallerGone());
    }
  });
}

/// Story: a request that reaches one instance only and may run at most once.
TEST(ARequestWithoutAClaim, IsSentAtOnceAndNeverAgainAfterABrokenExchange)
{
  RequestMachine machine{ RepeatPolicy::Single };
  EXPECT_EQ(machine.apply(E::Admitted), A::Enqueue);
  machine.apply(E::Dispatched);
  EXPECT_EQ(machine.apply(E::TargetDeclined), A::Retry);
  machine.apply(E::Dispatched);
  EXPECT_EQ(machine.apply(E::ExchangeBroken), A::SayUnknown);
}

} // namespace
} // namespace bulrushrun
