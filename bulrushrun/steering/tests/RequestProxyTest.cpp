#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// Story: one instance, three targets, requests that go well and badly.
class OneInstance : public ::testing::Test
{
protected:
  void start(const std::string& aKind, const std::string& aExtra = "")
  {
    mSimulation.putPlan(1, aKind, aExtra);
    mSimulation.putTarget("t1");
    mSimulation.putTarget("t2");
    mSimulation.putTarget("t3");
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(2));
  }
  std::string targetOf(ExchangeId aExchange) const
  {
    return *findHeader(mSimulation.exchange(aExchange).mRequest.mHeaders, "X-Target-Instance");
  }

  FleetSimulation mSimulation;
};

class CarryingRequests : public OneInstance
{};

TEST_F(CarryingRequests, PassesTheAnswerOnUnchanged)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U) << caller->mBody;
  mSimulation.answerOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
  EXPECT_EQ(caller->mBody, "body");
  EXPECT_EQ(caller->mComplete, true);
  ASSERT_NE(findHeader(caller->mHead.mHeaders, "X-Response-Signature"), nullptr);
}

TEST_F(CarryingRequests, TellsTheTargetWhoItIsMeantForAndHowLongItMayTake)
{
  start("safe");
  mSimulation.call("n1", "id-1");
  const Headers& headers =
    mSimulation.exchange(mSimulation.targetExchanges().front()).mRequest.mHeaders;
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
  std::shared_ptr<RecordingResponder> caller = std::make_shared<RecordingResponder>();
  mSimulation.node("n1").handleCaller(request, caller);
  EXPECT_EQ(caller->mHead.mStatus, 404);
  request.mAuthority = "shop";
  request.mHeaders = { { "Big", std::string(2000, 'x') } };
  caller = std::make_shared<RecordingResponder>();
  mSimulation.node("n1").handleCaller(request, caller);
  EXPECT_EQ(caller->mHead.mStatus, 431);
}

TEST_F(CarryingRequests, SendsOneObjectToOneTarget)
{
  start("safe");
  std::set<std::string> targets;
  for (int i = 0; i < 4; ++i) {
    mSimulation.call("n1", "id-" + std::to_string(i), "object-7");
    targets.insert(targetOf(mSimulation.targetExchanges().front()));
    mSimulation.answerOk(mSimulation.targetExchanges().front());
  }
  EXPECT_EQ(targets.size(), 1U);
}

class AnIdempotentRequest : public OneInstance
{};

TEST_F(AnIdempotentRequest, IsSentToAnotherTargetAfterABrokenAnswer)
{
  start("safe");
  for (int i = 0; i < 10; ++i) {
    mSimulation.call("n1", "warm-" + std::to_string(i));
    mSimulation.answerOk(mSimulation.targetExchanges().front());
  }
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  const std::string first = targetOf(mSimulation.targetExchanges().front());
  mSimulation.failExchange(mSimulation.targetExchanges().front());
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), first);
  mSimulation.answerOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

TEST_F(AnIdempotentRequest, DoesNotGetASuccessThatNoTargetSigned)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  mSimulation.answer(mSimulation.targetExchanges().front(), 200, {}, "forged");
  if (!mSimulation.targetExchanges().empty()) {
    mSimulation.answer(mSimulation.targetExchanges().front(), 200, {}, "forged");
  }
  EXPECT_EQ(caller->mHead.mStatus, 502);
}

class ARequestThatMayRunOnce : public OneInstance
{};

TEST_F(ARequestThatMayRunOnce, IsNeverSentAgainAfterABrokenAnswer)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  mSimulation.failExchange(mSimulation.targetExchanges().front());
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
  EXPECT_EQ(caller->mHead.mStatus, 502) << "it may have run, so it is not refused";
}

TEST_F(ARequestThatMayRunOnce, IsSentAgainWhenTheTargetDeclaredThatItDidNotRun)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  mSimulation.answer(mSimulation.targetExchanges().front(), 503, { { "X-Not-Executed", "1" } }, "");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.answer(mSimulation.targetExchanges().front(), 503, { { "X-Not-Executed", "1" } }, "");
  EXPECT_EQ(caller->mHead.mStatus, 503);
  EXPECT_NE(findHeader(caller->mHead.mHeaders, "Retry-After"), nullptr);
}

TEST_F(ARequestThatMayRunOnce, PassesAFailureOfTheTargetOn)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  mSimulation.answer(
    mSimulation.targetExchanges().front(), 500, { { "X-Response-Signature", "s" } }, "oops");
  EXPECT_EQ(caller->mHead.mStatus, 500);
  EXPECT_EQ(caller->mBody, "oops");
}

TEST_F(ARequestThatMayRunOnce, IsAnsweredAtTheTimeoutOfItsRoute)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  mSimulation.run(std::chrono::milliseconds(2100));
  EXPECT_EQ(caller->mHead.mStatus, 504);
  EXPECT_TRUE(mSimulation.targetExchanges().empty())
    << "the target is told by the closed connection";
}

/// The pattern of a target that is gone without a word: its registration lapses only seconds later.
class ASilentTarget : public OneInstance
{
protected:
  /// Requests pass often enough for the retry budget to allow a repeat.
  void warm()
  {
    for (int i = 0; i < 20; ++i) {
      mSimulation.call("n1", "warm-" + std::to_string(i), "object");
      mSimulation.answerOk(mSimulation.targetExchanges().front());
    }
  }
};

TEST_F(ASilentTarget, LosesTheRequestsThatMayBeRepeated)
{
  start("safe", R"(,"targetLatencyMs":300)");
  warm();
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1", "object");
  const std::string silent = targetOf(mSimulation.targetExchanges().front());
  mSimulation.run(std::chrono::milliseconds(900));
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), silent);
  mSimulation.answerOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

TEST_F(ASilentTarget, GetsNothingMoreWhileItIsSilent)
{
  start("non_idempotent", R"(,"targetLatencyMs":300)");
  warm();
  mSimulation.call("n1", "id-1", "object");
  const std::string silent = targetOf(mSimulation.targetExchanges().front());
  mSimulation.run(std::chrono::milliseconds(900));
  mSimulation.call("n1", "id-2", "object");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 2U) << "the first one may not be repeated";
  EXPECT_NE(targetOf(mSimulation.targetExchanges().back()), silent);
}

TEST_F(ASilentTarget, IsNotOneThatAnswersOthers)
{
  start("safe", R"(,"targetLatencyMs":300)");
  warm();
  mSimulation.call("n1", "id-1", "object");
  mSimulation.run(std::chrono::milliseconds(500));
  mSimulation.call("n1", "id-2", "object");
  mSimulation.answerOk(mSimulation.targetExchanges().back());
  mSimulation.run(std::chrono::milliseconds(500));
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U)
    << "it is slow with one of them, as a cold run is";
}

TEST_F(ASilentTarget, CostsNoMoreSendsThanTheRouteAllows)
{
  start("safe", R"(,"targetLatencyMs":300)");
  warm();
  mSimulation.call("n1", "id-1", "object");
  std::set<std::string> targets;
  for (int i = 0; i < 18; ++i) {
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      targets.insert(targetOf(exchange));
    }
    mSimulation.run(std::chrono::milliseconds(100));
  }
  EXPECT_LE(targets.size(), 2U) << "three targets, and two attempts at the most";
}

class ACallerThatLeaves : public OneInstance
{};

TEST_F(ACallerThatLeaves, FreesTheTarget)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.call("n1", "id-1");
  caller->mGone = true;
  mSimulation.run(std::chrono::milliseconds(300));
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

class ATargetWhoseAddressWasTakenOver : public OneInstance
{};

TEST_F(ATargetWhoseAddressWasTakenOver, GetsNothingMore)
{
  start("non_idempotent");
  mSimulation.call("n1", "id-1", "object");
  const std::string gone = targetOf(mSimulation.targetExchanges().front());
  mSimulation.answer(
    mSimulation.targetExchanges().front(), 421, { { "X-Instance-Id", "other" } }, "");
  for (int i = 0; i < 3; ++i) {
    EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), gone);
    mSimulation.answerOk(mSimulation.targetExchanges().front());
    mSimulation.call("n1", "more-" + std::to_string(i), "object");
  }
}

} // namespace
} // namespace bulrushrun::testing_world
