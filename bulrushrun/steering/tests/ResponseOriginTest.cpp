#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// Guards against taking a response of an earlier request on a kept connection for the response to
/// the request in progress. One instance with three targets; the fault is a refusal that a target
/// writes once more.
class ResponseOriginTest : public ::testing::Test
{
protected:
  void start(const std::string& aKind)
  {
    mSimulation.putPlan(1, aKind);
    mSimulation.putTarget("t1");
    mSimulation.putTarget("t2");
    mSimulation.putTarget("t3");
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(2));
    // Fills the retry budget.
    for (int i = 0; i < 20; ++i) {
      mSimulation.sendRequest("n1", "warm-" + std::to_string(i));
      mSimulation.respondOk(mSimulation.targetExchanges().front());
    }
  }
  ExchangeId onlyExchange() { return mSimulation.targetExchanges().at(0); }
  std::string targetOf(ExchangeId aExchange)
  {
    return *findHeader(mSimulation.exchange(aExchange).mRequest.mHeaders, "X-Target-Instance");
  }
  std::vector<std::string> loggedStrayResponses()
  {
    std::vector<std::string> lines = mSimulation.host("n1").mLog;
    std::erase_if(lines,
                  [](const std::string& aLine) { return !aLine.starts_with("answer-crossed "); });
    return lines;
  }

  FleetSimulation mSimulation;
};

class AtMostOnceOriginTest : public ResponseOriginTest
{
protected:
  /// Sends a request; the target writes a refusal that need not belong to it.
  void sendAndRefuse(int aStatus, const Headers& aHeaders)
  {
    mCaller = mSimulation.sendRequest("n1", "id-1");
    mExchange = onlyExchange();
    mSimulation.writeResponse(mExchange, aStatus, aHeaders, "declined");
  }
  void expectStillWaiting()
  {
    const std::vector<ExchangeId> exchanges = mSimulation.targetExchanges();
    ASSERT_EQ(exchanges.size(), 1U);
    ASSERT_EQ(exchanges.front().value(), mExchange.value()) << "it must not be sent again";
    EXPECT_FALSE(mCaller->mComplete) << "responded with status " << mCaller->mHead.mStatus;
  }

  std::shared_ptr<RecordingResponder> mCaller;
  ExchangeId mExchange;
};

// A refusal without an id may be an earlier one: believing it runs the request at a second target.
TEST_F(AtMostOnceOriginTest, RefusalWithoutAnIdIsNotBelieved)
{
  start("non_idempotent");
  for (const int status : { 503, 429, 421, 400 }) {
    SCOPED_TRACE(status);
    sendAndRefuse(status, { { "X-Not-Executed", "1" } });
    expectStillWaiting();
    mSimulation.respondOk(onlyExchange());
    EXPECT_EQ(mCaller->mHead.mStatus, 200) << "the target's own response counts";
  }
}

// An earlier 421 needs no other mark to be taken as a refusal.
TEST_F(AtMostOnceOriginTest, MisdirectionWithoutAnIdIsNotBelieved)
{
  start("non_idempotent");
  sendAndRefuse(421, {});
  expectStillWaiting();
}

// An earlier refusal with its own id is recognised, and the log names both ids.
TEST_F(AtMostOnceOriginTest, RefusalOfAnEarlierRequestIsSkippedAndLogged)
{
  start("non_idempotent");
  sendAndRefuse(503, { { "X-Request-Id", "warm-3" }, { "X-Not-Executed", "1" } });
  expectStillWaiting();
  const std::vector<std::string> lines = loggedStrayResponses();
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_NE(lines.front().find("id=id-1 "), std::string::npos) << lines.front();
  EXPECT_NE(lines.front().find("warm-3"), std::string::npos) << lines.front();
}

// Two ids that differ prove nothing, whichever comes first.
TEST_F(AtMostOnceOriginTest, RefusalWithTwoIdsIsNotBelieved)
{
  start("non_idempotent");
  sendAndRefuse(
    503, { { "X-Request-Id", "id-1" }, { "X-Request-Id", "warm-3" }, { "X-Not-Executed", "1" } });
  expectStillWaiting();
  mSimulation.writeResponse(
    onlyExchange(),
    503,
    { { "X-Request-Id", "warm-3" }, { "X-Request-Id", "id-1" }, { "X-Not-Executed", "1" } },
    "");
  expectStillWaiting();
}

// A response without an id and then the end of the connection leave the outcome unknown.
TEST_F(AtMostOnceOriginTest, OutcomeIsUnknownWhenNothingElseArrives)
{
  start("non_idempotent");
  sendAndRefuse(503, { { "X-Not-Executed", "1" } });
  expectStillWaiting();
  mSimulation.failExchange(onlyExchange());
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
  EXPECT_EQ(mCaller->mHead.mStatus, 502);
}

// An idle timeout page is no response to a request; passed on, status 408 says "not run".
TEST_F(AtMostOnceOriginTest, IdleTimeoutPageIsNotForwarded)
{
  start("non_idempotent");
  sendAndRefuse(408, {});
  expectStillWaiting();
  mSimulation.failExchange(onlyExchange());
  EXPECT_EQ(mCaller->mHead.mStatus, 502);
}

// A status that tells callers "not run" must not be passed on when the target didn't state that.
TEST_F(AtMostOnceOriginTest, RefusalStatusWithoutAStatementIsUnknown)
{
  start("non_idempotent");
  for (const int status : { 408, 429, 503 }) {
    SCOPED_TRACE(status);
    sendAndRefuse(status, { { "X-Request-Id", "id-1" }, { "X-Response-Signature", "s" } });
    EXPECT_TRUE(mSimulation.targetExchanges().empty()) << "it must not be sent again";
    EXPECT_EQ(mCaller->mHead.mStatus, 502);
    EXPECT_EQ(findHeader(mCaller->mHead.mHeaders, "X-Response-Signature"), nullptr);
  }
}

// A success that claims not to have run is neither a success nor a refusal.
TEST_F(AtMostOnceOriginTest, ContradictoryResponseIsUnknown)
{
  start("non_idempotent");
  sendAndRefuse(
    200,
    { { "X-Request-Id", "id-1" }, { "X-Not-Executed", "1" }, { "X-Response-Signature", "s" } });
  EXPECT_TRUE(mSimulation.targetExchanges().empty()) << "it must not be sent again";
  EXPECT_EQ(mCaller->mHead.mStatus, 502);
}

// A refusal of a request without an id can't be told from an earlier one.
TEST_F(AtMostOnceOriginTest, RequestWithoutAnIdIsNotRetried)
{
  start("non_idempotent");
  mCaller = mSimulation.sendRequest("n1", "");
  mSimulation.writeResponse(onlyExchange(), 503, { { "X-Not-Executed", "1" } }, "declined");
  EXPECT_TRUE(mSimulation.targetExchanges().empty()) << "it must not be sent again";
  EXPECT_EQ(mCaller->mHead.mStatus, 502);
}

// The target's own refusal must keep being believed: the request is served elsewhere.
TEST_F(AtMostOnceOriginTest, OwnRefusalIsBelieved)
{
  start("non_idempotent");
  mCaller = mSimulation.sendRequest("n1", "id-1");
  const std::string first = targetOf(onlyExchange());
  mSimulation.respondTo(onlyExchange(), 503, { { "X-Not-Executed", "1" } }, "declined");
  EXPECT_NE(targetOf(onlyExchange()), first);
  mSimulation.respondOk(onlyExchange());
  EXPECT_EQ(mCaller->mHead.mStatus, 200);
}

// A kept connection on which this request was refused may deliver that refusal, with its id, again.
TEST_F(AtMostOnceOriginTest, SecondAttemptAtAnAddressUsesANewConnection)
{
  mSimulation.putPlan(1, "non_idempotent");
  for (const char* id : { "t1", "t2" }) {
    mSimulation.mStore.put(
      "servers",
      id,
      R"({"address":"10.128.0.0:9000","born":1,"info":{"service":"s","version":"v1","zone":"za",)"
      R"("slots":4},"status":{"state":"ready","sequence":1,"coldRemainingMs":0}})");
  }
  mSimulation.add("n1", "za").start();
  mSimulation.run(std::chrono::seconds(2));
  mSimulation.sendRequest("n1", "id-1");
  EXPECT_EQ(mSimulation.exchange(onlyExchange()).mUse, ConnectionUse::Pooled);
  mSimulation.respondTo(onlyExchange(), 421, { { "X-Not-Executed", "1" } }, "");
  EXPECT_EQ(mSimulation.exchange(onlyExchange()).mUse, ConnectionUse::New);
}

class IdempotentOriginTest : public ResponseOriginTest
{};

// The stricter rule must not delay requests that may run twice: they are retried elsewhere at once.
TEST_F(IdempotentOriginTest, RefusalWithoutAnIdIsRetriedElsewhereAtOnce)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  const std::string first = targetOf(onlyExchange());
  mSimulation.writeResponse(onlyExchange(), 503, { { "X-Not-Executed", "1" } }, "declined");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(onlyExchange()), first);
  mSimulation.respondOk(onlyExchange());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

// The request may have run where the refusal without an id came from, so "not run" would be wrong.
TEST_F(IdempotentOriginTest, IsNotRefusedAfterARefusalWithoutAnId)
{
  start("safe");
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
  mSimulation.writeResponse(onlyExchange(), 503, { { "X-Not-Executed", "1" } }, "declined");
  mSimulation.respondTo(onlyExchange(), 503, { { "X-Not-Executed", "1" } }, "declined");
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
  EXPECT_EQ(caller->mHead.mStatus, 502);
}

// A failure without an id may be that of another request, and must not reach this caller.
TEST_F(IdempotentOriginTest, FailureWithoutAnIdIsRetriedElsewhere)
{
  start("safe");
  for (const int status : { 404, 408, 500 }) {
    SCOPED_TRACE(status);
    const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n1", "id-1");
    mSimulation.writeResponse(onlyExchange(), status, { { "X-Response-Signature", "s" } }, "");
    ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
    mSimulation.respondOk(onlyExchange());
    EXPECT_EQ(caller->mHead.mStatus, 200);
  }
}

// An earlier 421 must not take a target that still owns its address out of use.
TEST_F(IdempotentOriginTest, MisdirectionWithoutAnIdDoesNotReplaceTheTarget)
{
  start("safe");
  mSimulation.sendRequest("n1", "id-1", "object");
  const std::string target = targetOf(onlyExchange());
  mSimulation.writeResponse(onlyExchange(), 421, {}, "");
  mSimulation.respondOk(onlyExchange());
  mSimulation.sendRequest("n1", "id-2", "object");
  EXPECT_EQ(targetOf(onlyExchange()), target);
}

} // namespace
} // namespace bulrushrun::steering_test
