#include "bulrushrun/steering/tests/SteeringWorld.h"

#include <gtest/gtest.h>

namespace bulrushrun::testing_world {
namespace {

/// Story: one instance, two targets, requests that go well and badly.
class OneInstance : public ::testing::Test
{
protected:
  void start(const std::string& aKind)
  {
    mWorld.putPlan(1, aKind);
    mWorld.putTarget("t1");
    mWorld.putTarget("t2");
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
