#include "bulrushrun/steering/tests/SteeringWorld.h"

#include <gtest/gtest.h>

namespace bulrushrun::testing_world {
namespace {

/// Story: one instance, three targets, requests that go well and badly.
class OneInstance : public ::testing::Test
{
protected:
  void start(const std::string& aKind, const std::string& aExtra = "")
  {
    mWorld.putPlan(1, aKind, aExtra);
    mWorld.putTarget("t1");
    mWorld.putTarget("t2");
    mWorld.putTarget("t3");
    mWorld.add("n1", "za").start();
    mWorld.run(std::chrono::seconds(2));
  }
  std::string targetOf(ExchangeId aExchange) const
  {
    return *findHeader(mWorld.exchange(aExchange).mRequest.mHeaders, "X-Target-Instance");
  }

  World mWorld;
};

class CarryingRequests : public OneInstance
{};

TEST_F(CarryingRequests, PassesTheAnswerOnUnchanged)
{
  start("safe");
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  ASSERT_EQ(mWorld.atTargets().size(), 1U) << caller->mBody;
  mWorld.answerWell(mWorld.atTargets().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
  EXPECT_EQ(caller->mBody, "body");
  EXPECT_EQ(caller->mWhole, true);
  ASSERT_NE(findHeader(caller->mHead.mHeaders, "X-Response-Signature"), nullptr);
}

TEST_F(CarryingRequests, TellsTheTargetWhoItIsMeantForAndHowLongItMayTake)
{
  start("safe");
  mWorld.call("n1", "id-1");
  const Headers& headers = mWorld.exchange(mWorld.atTargets().front()).mRequest.mHeaders;
  ASSERT_NE(findHeader(headers, "X-Target-Instance"), nullptr);
  EXPECT_LE(std::stoi(*findHeader(headers, "X-Request-Timeout-Ms")), 2000)
    << "the route's timeout is the tighter bound";
}

TEST_F(CarryingRequests, RefusesAnUnknownRouteAndOversizeHeaders)
{
  start("safe");
  HttpRequest request;
  request.mMethod = "GET";
  request.mAuthority = "elsewhere";
  request.mPath = "/a/x";
  std::shared_ptr<KeptResponder> caller = std::make_shared<KeptResponder>();
  mWorld.node("n1").handleCaller(request, caller);
  EXPECT_EQ(caller->mHead.mStatus, 404);
  request.mAuthority = "shop";
  request.mHeaders = { { "Big", std::string(2000, 'x') } };
  caller = std::make_shared<KeptResponder>();
  mWorld.node("n1").handleCaller(request, caller);
  EXPECT_EQ(caller->mHead.mStatus, 431);
}

TEST_F(CarryingRequests, SendsOneObjectToOneTarget)
{
  start("safe");
  std::set<std::string> targets;
  for (int i = 0; i < 4; ++i) {
    mWorld.call("n1", "id-" + std::to_string(i), "object-7");
    targets.insert(targetOf(mWorld.atTargets().front()));
    mWorld.answerWell(mWorld.atTargets().front());
  }
  EXPECT_EQ(targets.size(), 1U);
}

class AnIdempotentRequest : public OneInstance
{};

TEST_F(AnIdempotentRequest, IsSentToAnotherTargetAfterABrokenAnswer)
{
  start("safe");
  for (int i = 0; i < 10; ++i) {
    mWorld.call("n1", "warm-" + std::to_string(i));
    mWorld.answerWell(mWorld.atTargets().front());
  }
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  const std::string first = targetOf(mWorld.atTargets().front());
  mWorld.breakOff(mWorld.atTargets().front());
  ASSERT_EQ(mWorld.atTargets().size(), 1U);
  EXPECT_NE(targetOf(mWorld.atTargets().front()), first);
  mWorld.answerWell(mWorld.atTargets().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

TEST_F(AnIdempotentRequest, DoesNotGetASuccessThatNoTargetSigned)
{
  start("safe");
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  mWorld.answer(mWorld.atTargets().front(), 200, {}, "forged");
  if (!mWorld.atTargets().empty()) {
    mWorld.answer(mWorld.atTargets().front(), 200, {}, "forged");
  }
  EXPECT_EQ(caller->mHead.mStatus, 502);
}

class ARequestThatMayRunOnce : public OneInstance
{};

TEST_F(ARequestThatMayRunOnce, IsNeverSentAgainAfterABrokenAnswer)
{
  start("non_idempotent");
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  mWorld.breakOff(mWorld.atTargets().front());
  EXPECT_TRUE(mWorld.atTargets().empty());
  EXPECT_EQ(caller->mHead.mStatus, 502) << "it may have run, so it is not refused";
}

TEST_F(ARequestThatMayRunOnce, IsSentAgainWhenTheTargetDeclaredThatItDidNotRun)
{
  start("non_idempotent");
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  mWorld.answer(mWorld.atTargets().front(), 503, { { "X-Not-Executed", "1" } }, "");
  ASSERT_EQ(mWorld.atTargets().size(), 1U);
  mWorld.answer(mWorld.atTargets().front(), 503, { { "X-Not-Executed", "1" } }, "");
  EXPECT_EQ(caller->mHead.mStatus, 503);
  EXPECT_NE(findHeader(caller->mHead.mHeaders, "Retry-After"), nullptr);
}

TEST_F(ARequestThatMayRunOnce, PassesAFailureOfTheTargetOn)
{
  start("non_idempotent");
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  mWorld.answer(mWorld.atTargets().front(), 500, { { "X-Response-Signature", "s" } }, "oops");
  EXPECT_EQ(caller->mHead.mStatus, 500);
  EXPECT_EQ(caller->mBody, "oops");
}

TEST_F(ARequestThatMayRunOnce, IsAnsweredAtTheTimeoutOfItsRoute)
{
  start("non_idempotent");
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  mWorld.run(std::chrono::milliseconds(2100));
  EXPECT_EQ(caller->mHead.mStatus, 504);
  EXPECT_TRUE(mWorld.atTargets().empty()) << "the target is told by the closed connection";
}

/// The pattern of a target that is gone without a word: its registration lapses only seconds later.
class ASilentTarget : public OneInstance
{
protected:
  /// Requests pass often enough for the retry budget to allow a repeat.
  void warm()
  {
    for (int i = 0; i < 20; ++i) {
      mWorld.call("n1", "warm-" + std::to_string(i), "object");
      mWorld.answerWell(mWorld.atTargets().front());
    }
  }
};

TEST_F(ASilentTarget, LosesTheRequestsThatMayBeRepeated)
{
  start("safe", R"(,"targetLatencyMs":300)");
  warm();
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1", "object");
  const std::string silent = targetOf(mWorld.atTargets().front());
  mWorld.run(std::chrono::milliseconds(900));
  ASSERT_EQ(mWorld.atTargets().size(), 1U);
  EXPECT_NE(targetOf(mWorld.atTargets().front()), silent);
  mWorld.answerWell(mWorld.atTargets().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

TEST_F(ASilentTarget, GetsNothingMoreWhileItIsSilent)
{
  start("non_idempotent", R"(,"targetLatencyMs":300)");
  warm();
  mWorld.call("n1", "id-1", "object");
  const std::string silent = targetOf(mWorld.atTargets().front());
  mWorld.run(std::chrono::milliseconds(900));
  mWorld.call("n1", "id-2", "object");
  ASSERT_EQ(mWorld.atTargets().size(), 2U) << "the first one may not be repeated";
  EXPECT_NE(targetOf(mWorld.atTargets().back()), silent);
}

TEST_F(ASilentTarget, IsNotOneThatAnswersOthers)
{
  start("safe", R"(,"targetLatencyMs":300)");
  warm();
  mWorld.call("n1", "id-1", "object");
  mWorld.run(std::chrono::milliseconds(500));
  mWorld.call("n1", "id-2", "object");
  mWorld.answerWell(mWorld.atTargets().back());
  mWorld.run(std::chrono::milliseconds(500));
  EXPECT_EQ(mWorld.atTargets().size(), 1U) << "it is slow with one of them, as a cold run is";
}

TEST_F(ASilentTarget, CostsNoMoreSendsThanTheRouteAllows)
{
  start("safe", R"(,"targetLatencyMs":300)");
  warm();
  mWorld.call("n1", "id-1", "object");
  std::set<std::string> targets;
  for (int i = 0; i < 18; ++i) {
    for (const ExchangeId exchange : mWorld.atTargets()) {
      targets.insert(targetOf(exchange));
    }
    mWorld.run(std::chrono::milliseconds(100));
  }
  EXPECT_LE(targets.size(), 2U) << "three targets, and two attempts at the most";
}

class ACallerThatLeaves : public OneInstance
{};

TEST_F(ACallerThatLeaves, FreesTheTarget)
{
  start("safe");
  const std::shared_ptr<KeptResponder> caller = mWorld.call("n1", "id-1");
  caller->mGone = true;
  mWorld.run(std::chrono::milliseconds(300));
  EXPECT_TRUE(mWorld.atTargets().empty());
}

class ATargetWhoseAddressWasTakenOver : public OneInstance
{};

TEST_F(ATargetWhoseAddressWasTakenOver, GetsNothingMore)
{
  start("non_idempotent");
  mWorld.call("n1", "id-1", "object");
  const std::string gone = targetOf(mWorld.atTargets().front());
  mWorld.answer(mWorld.atTargets().front(), 421, { { "X-Instance-Id", "other" } }, "");
  for (int i = 0; i < 3; ++i) {
    EXPECT_NE(targetOf(mWorld.atTargets().front()), gone);
    mWorld.answerWell(mWorld.atTargets().front());
    mWorld.call("n1", "more-" + std::to_string(i), "object");
  }
}

} // namespace
} // namespace bulrushrun::testing_world
