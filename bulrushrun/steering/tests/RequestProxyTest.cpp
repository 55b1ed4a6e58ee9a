#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// One instance with three targets.
class RequestProxyTest : public ::testing::Test
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

class ProxiedRequestTest : public RequestProxyTest
{};

TEST_F(ProxiedRequestTest, ResponseIsForwardedUnchanged)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U) << caller->mBody;
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
  EXPECT_EQ(caller->mBody, "body");
  EXPECT_EQ(caller->mComplete, true);
  ASSERT_NE(findHeader(caller->mHead.mHeaders, "X-Response-Signature"), nullptr);
}

TEST_F(ProxiedRequestTest, TargetGetsItsIdAndTheRemainingTimeout)
{
  start("safe");
  mSimulation.sendRequest("n1", "id-1");
  const Headers& headers =
    mSimulation.exchange(mSimulation.targetExchanges().front()).mRequest.mHeaders;
  ASSERT_NE(findHeader(headers, "X-Target-Instance"), nullptr);
  EXPECT_LE(std::stoi(*findHeader(headers, "X-Request-Timeout-Ms")), 2000)
    << "the route's timeout is the tighter bound";
}

TEST_F(ProxiedRequestTest, UnknownRouteAndOversizedHeadersAreRefused)
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

TEST_F(ProxiedRequestTest, RequestsWithOneAffinityKeyGoToOneTarget)
{
  start("safe");
  std::set<std::string> targets;
  for (int i = 0; i < 4; ++i) {
    mSimulation.sendRequest("n1", "id-" + std::to_string(i), "object-7");
    targets.insert(targetOf(mSimulation.targetExchanges().front()));
    mSimulation.respondOk(mSimulation.targetExchanges().front());
  }
  EXPECT_EQ(targets.size(), 1U);
}

class IdempotentRequestTest : public RequestProxyTest
{};

TEST_F(IdempotentRequestTest, IsRetriedAtAnotherTargetAfterAnInterruptedExchange)
{
  start("safe");
  for (int i = 0; i < 10; ++i) {
    mSimulation.sendRequest("n1", "warm-" + std::to_string(i));
    mSimulation.respondOk(mSimulation.targetExchanges().front());
  }
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  const std::string first = targetOf(mSimulation.targetExchanges().front());
  mSimulation.failExchange(mSimulation.targetExchanges().front());
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), first);
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

TEST_F(IdempotentRequestTest, UnsignedSuccessIsNotForwarded)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  mSimulation.respondTo(mSimulation.targetExchanges().front(), 200, {}, "forged");
  if (!mSimulation.targetExchanges().empty()) {
    mSimulation.respondTo(mSimulation.targetExchanges().front(), 200, {}, "forged");
  }
  EXPECT_EQ(caller->mHead.mStatus, 502);
}

/// Guards against a 502 in place of a target's own error when no other target is usable.
TEST_F(IdempotentRequestTest, GetsTheErrorOfItsTargetWhenThereIsNoOther)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  const ExchangeId exchange = mSimulation.targetExchanges().front();
  for (const char* target : { "t1", "t2", "t3" }) {
    mSimulation.putTarget(target, "draining");
  }
  mSimulation.run(std::chrono::milliseconds(100));
  mSimulation.respondTo(exchange, 500, { { "X-Response-Signature", "s" } }, "oops");
  EXPECT_EQ(caller->mHead.mStatus, 500);
  EXPECT_EQ(caller->mBody, "oops");
}

/// Guards against the same when the other target does not execute the request.
TEST_F(IdempotentRequestTest, GetsTheErrorOfItsTargetWhenTheOtherDeclines)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 500, { { "X-Response-Signature", "s" } }, "oops");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 503, { { "X-Not-Executed", "1" } }, "");
  EXPECT_EQ(caller->mHead.mStatus, 500);
  EXPECT_EQ(caller->mBody, "oops");
}

class NonIdempotentRequestTest : public RequestProxyTest
{};

TEST_F(NonIdempotentRequestTest, IsNotRetriedAfterAnInterruptedExchange)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  mSimulation.failExchange(mSimulation.targetExchanges().front());
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
  EXPECT_EQ(caller->mHead.mStatus, 502) << "it may have been executed, so it is not refused";
}

TEST_F(NonIdempotentRequestTest, IsRetriedWhenTheTargetDeclaresThatItWasNotExecuted)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 503, { { "X-Not-Executed", "1" } }, "");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 503, { { "X-Not-Executed", "1" } }, "");
  EXPECT_EQ(caller->mHead.mStatus, 503);
  EXPECT_NE(findHeader(caller->mHead.mHeaders, "Retry-After"), nullptr);
}

TEST_F(NonIdempotentRequestTest, ErrorOfTheTargetIsForwarded)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 500, { { "X-Response-Signature", "s" } }, "oops");
  EXPECT_EQ(caller->mHead.mStatus, 500);
  EXPECT_EQ(caller->mBody, "oops");
}

TEST_F(NonIdempotentRequestTest, GetsAResponseAtTheTimeoutOfItsRoute)
{
  start("non_idempotent");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  mSimulation.run(std::chrono::milliseconds(2100));
  EXPECT_EQ(caller->mHead.mStatus, 504);
  EXPECT_TRUE(mSimulation.targetExchanges().empty()) << "the exchange with the target was aborted";
}

/// Guards against attempts at a target that failed without notice: its connections stay open, and
/// its registration expires only seconds later.
class UnresponsiveTargetTest : public RequestProxyTest
{
protected:
  /// Sends enough requests for the retry budget to permit a retry.
  void fillRetryBudget()
  {
    for (int i = 0; i < 20; ++i) {
      mSimulation.sendRequest("n1", "warm-" + std::to_string(i), "object");
      mSimulation.respondOk(mSimulation.targetExchanges().front());
    }
  }
};

TEST_F(UnresponsiveTargetTest, IdempotentRequestsAreRetriedElsewhere)
{
  start("safe", R"(,"targetLatencyMs":300)");
  fillRetryBudget();
  const std::shared_ptr<RecordingResponder> caller =
    mSimulation.sendRequest("n1", "id-1", "object");
  const std::string unresponsive = targetOf(mSimulation.targetExchanges().front());
  mSimulation.run(std::chrono::milliseconds(900));
  ASSERT_EQ(mSimulation.targetExchanges().size(), 2U) << "the first target may be at work on it";
  EXPECT_EQ(targetOf(mSimulation.targetExchanges().front()), unresponsive);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().back()), unresponsive);
  mSimulation.respondOk(mSimulation.targetExchanges().back());
  EXPECT_EQ(caller->mHead.mStatus, 200);
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

TEST_F(UnresponsiveTargetTest, GetsNoMoreRequests)
{
  start("non_idempotent", R"(,"targetLatencyMs":300)");
  fillRetryBudget();
  mSimulation.sendRequest("n1", "id-1", "object");
  const std::string unresponsive = targetOf(mSimulation.targetExchanges().front());
  mSimulation.run(std::chrono::milliseconds(900));
  mSimulation.sendRequest("n1", "id-2", "object");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 2U) << "the first request may not be retried";
  EXPECT_NE(targetOf(mSimulation.targetExchanges().back()), unresponsive);
}

TEST_F(UnresponsiveTargetTest, TargetThatRespondsToOthersIsResponsive)
{
  start("safe", R"(,"targetLatencyMs":300)");
  fillRetryBudget();
  mSimulation.sendRequest("n1", "id-1", "object");
  mSimulation.run(std::chrono::milliseconds(500));
  mSimulation.sendRequest("n1", "id-2", "object");
  mSimulation.respondOk(mSimulation.targetExchanges().back());
  mSimulation.run(std::chrono::milliseconds(500));
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U)
    << "one slow request, like a cold execution, is no evidence";
}

TEST_F(UnresponsiveTargetTest, AttemptsStayWithinTheLimitOfTheRoute)
{
  start("safe", R"(,"targetLatencyMs":300)");
  fillRetryBudget();
  mSimulation.sendRequest("n1", "id-1", "object");
  std::set<std::string> targets;
  for (int i = 0; i < 18; ++i) {
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      targets.insert(targetOf(exchange));
    }
    mSimulation.run(std::chrono::milliseconds(100));
  }
  EXPECT_LE(targets.size(), 2U) << "three targets, but at most two attempts";
}

class CallerDisconnectTest : public RequestProxyTest
{};

TEST_F(CallerDisconnectTest, AbortsTheExchangeWithTheTarget)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  caller->mDisconnected = true;
  mSimulation.run(std::chrono::milliseconds(300));
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

class ReusedTargetAddressTest : public RequestProxyTest
{};

TEST_F(ReusedTargetAddressTest, ReplacedTargetGetsNoMoreRequests)
{
  start("non_idempotent");
  mSimulation.sendRequest("n1", "id-1", "object");
  const std::string replaced = targetOf(mSimulation.targetExchanges().front());
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 421, { { "X-Instance-Id", "other" } }, "");
  for (int i = 0; i < 3; ++i) {
    EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), replaced);
    mSimulation.respondOk(mSimulation.targetExchanges().front());
    mSimulation.sendRequest("n1", "more-" + std::to_string(i), "object");
  }
}

} // namespace
} // namespace bulrushrun::steering_test
