#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bulrushrun::steering_test {
namespace {

/// Longer than the time after which a target counts as unresponsive.
constexpr Duration kLongSilence = std::chrono::milliseconds(1000);

/// One instance with three targets, and a request at a target that takes long. Guards against a
/// request that is broken off while its target works on it.
class SilentTargetTest : public ::testing::Test
{
protected:
  void start(const std::string& aKind = "safe", int aMaxAttempts = 2)
  {
    putPlan(1, aKind, aMaxAttempts);
    for (const char* target : { "t1", "t2", "t3" }) {
      mSimulation.putTarget(target);
    }
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(2));
  }
  void putPlan(int aVersion,
               const std::string& aKind,
               int aMaxAttempts,
               const std::string& aMembers = "")
  {
    const std::string version = std::to_string(aVersion);
    mSimulation.mStore.put(
      "op",
      "config",
      R"({"version":"r)" + version + R"(","routes":[{"name":"r1","host":"shop",)" +
        R"("pathPrefix":"/a/","kind":")" + aKind +
        R"(","timeoutMs":4000,"targetLatencyMs":300,"service":"s","maxAttempts":)" +
        std::to_string(aMaxAttempts) +
        R"(}],"services":[{"name":"s","coldStartS":0,"coldPerS":100}],"limits":{})" + aMembers +
        "}");
  }
  /// Answers enough requests for the retry budget to permit a retry, and for a usual latency.
  void warmUp()
  {
    for (int i = 0; i < 20; ++i) {
      mSimulation.sendRequest("n1", "warm-" + std::to_string(i), "object", mKey);
      mSimulation.respondOk(mSimulation.targetExchanges().front());
    }
  }
  /// Sends the request whose target stays silent.
  void send()
  {
    mCaller = mSimulation.sendRequest("n1", "id-1", "object", mKey);
    ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
    mFirst = mSimulation.targetExchanges().front();
    mFirstTarget = targetOf(mFirst);
  }
  /// Makes all targets but that of the request unusable for new requests.
  void drainOthers()
  {
    for (const char* target : { "t1", "t2", "t3" }) {
      if (target != mFirstTarget) {
        mSimulation.putTarget(target, "draining");
      }
    }
    mSimulation.run(std::chrono::milliseconds(100));
  }
  std::string targetOf(ExchangeId aExchange) const
  {
    return *findHeader(mSimulation.exchange(aExchange).mRequest.mHeaders, "X-Target-Instance");
  }
  bool isInProgress(ExchangeId aExchange) const
  {
    const std::vector<ExchangeId> pending = mSimulation.targetExchanges();
    return std::find(pending.begin(), pending.end(), aExchange) != pending.end();
  }
  ExchangeId newest() const { return mSimulation.targetExchanges().back(); }
  std::size_t logged(const std::string& aText)
  {
    const std::vector<std::string>& log = mSimulation.host("n1").mLog;
    return static_cast<std::size_t>(
      std::count_if(log.begin(), log.end(), [&](const std::string& aLine) {
        return aLine.find(aText) != std::string::npos;
      }));
  }
  void expectAnswer(const std::string& aBody) const
  {
    EXPECT_EQ(mCaller->mComplete, true);
    EXPECT_EQ(mCaller->mHead.mStatus, 200) << mCaller->mBody;
    EXPECT_EQ(mCaller->mBody, aBody);
    EXPECT_TRUE(mSimulation.targetExchanges().empty()) << "another target still works on it";
  }
  void respond(ExchangeId aExchange, const std::string& aBody)
  {
    mSimulation.respondTo(aExchange, 200, { { "X-Response-Signature", "sig" } }, aBody);
  }
  void decline(ExchangeId aExchange)
  {
    mSimulation.respondTo(aExchange, 503, { { "X-Not-Executed", "1" } }, "full");
  }
  void fail(ExchangeId aExchange)
  {
    mSimulation.respondTo(aExchange, 500, { { "X-Response-Signature", "sig" } }, "error");
  }

  FleetSimulation mSimulation;
  Headers mKey;
  std::shared_ptr<RecordingResponder> mCaller;
  ExchangeId mFirst;
  std::string mFirstTarget;
};

class NoOtherTargetTest : public SilentTargetTest
{};

/// Guards against a 502 in place of the answer when no other target is usable.
TEST_F(NoOtherTargetTest, TheRequestStaysAtItsTarget)
{
  start();
  warmUp();
  send();
  drainOthers();
  mSimulation.run(2 * kLongSilence);
  ASSERT_TRUE(isInProgress(mFirst)) << mCaller->mHead.mStatus << " " << mCaller->mBody;
  respond(mFirst, "late");
  expectAnswer("late");
}

/// Guards against the same during a planned stop, where callers lose the request.
TEST_F(NoOtherTargetTest, TheRequestStaysAtItsTargetWhileTheInstanceStops)
{
  start();
  warmUp();
  send();
  drainOthers();
  mSimulation.node("n1").stop();
  mSimulation.run(2 * kLongSilence);
  ASSERT_TRUE(isInProgress(mFirst)) << mCaller->mHead.mStatus << " " << mCaller->mBody;
  respond(mFirst, "late");
  expectAnswer("late");
}

/// Guards against a check that is made once, before another target becomes usable.
TEST_F(NoOtherTargetTest, ATargetThatBecomesUsableLaterGetsTheRequest)
{
  start();
  warmUp();
  send();
  drainOthers();
  mSimulation.run(kLongSilence);
  mSimulation.putTarget("t4");
  mSimulation.run(kLongSilence);
  ASSERT_EQ(mSimulation.targetExchanges().size(), 2U);
  EXPECT_EQ(targetOf(newest()), "t4");
  respond(newest(), "elsewhere");
  expectAnswer("elsewhere");
}

/// Guards against retries that are counted but not made, which others then lack.
TEST_F(NoOtherTargetTest, TheRetryBudgetIsNotSpent)
{
  start();
  FleetBounds bounds;
  bounds.mRetryRatio = 0;
  bounds.mRetrySlack = 1.25; // One retry within the margin.
  mSimulation.node("n1").setBounds(bounds);
  warmUp();
  send();
  drainOthers();
  mSimulation.run(2 * kLongSilence);
  respond(mFirst, "late");
  mSimulation.putTarget("t4");
  mSimulation.run(std::chrono::milliseconds(100));
  send();
  mSimulation.failExchange(mFirst);
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U) << "the budget is spent";
  respond(newest(), "second");
  expectAnswer("second");
}

class SecondTargetTest : public SilentTargetTest
{
protected:
  void startSecond(int aMaxAttempts = 2)
  {
    start("safe", aMaxAttempts);
    warmUp();
    send();
    mSimulation.run(kLongSilence);
    ASSERT_EQ(mSimulation.targetExchanges().size(), 2U);
    mSecond = newest();
    ASSERT_NE(targetOf(mSecond), mFirstTarget);
  }

  ExchangeId mSecond;
};

TEST_F(SecondTargetTest, AnswersAndTheFirstAttemptEnds)
{
  startSecond();
  respond(mSecond, "second");
  expectAnswer("second");
}

/// Guards against the loss of an answer that comes while another target has the request, too.
TEST_F(SecondTargetTest, IsNotNeededWhenTheFirstAnswers)
{
  startSecond();
  respond(mFirst, "first");
  expectAnswer("first");
}

/// Guards against an end of both attempts by the refusal of one.
TEST_F(SecondTargetTest, DeclinesAndTheFirstAnswers)
{
  startSecond();
  decline(mSecond);
  ASSERT_TRUE(isInProgress(mFirst)) << mCaller->mBody;
  respond(mFirst, "first");
  expectAnswer("first");
}

/// Guards against an end of both attempts by the failure of one.
TEST_F(SecondTargetTest, BreaksOffAndTheFirstAnswers)
{
  startSecond();
  mSimulation.failExchange(mSecond);
  ASSERT_TRUE(isInProgress(mFirst)) << mCaller->mBody;
  respond(mFirst, "first");
  expectAnswer("first");
}

/// Guards against an error that is forwarded while another target works on the request.
TEST_F(SecondTargetTest, FailsAndTheFirstAnswers)
{
  startSecond();
  fail(mSecond);
  ASSERT_TRUE(isInProgress(mFirst)) << mCaller->mBody;
  respond(mFirst, "first");
  expectAnswer("first");
}

/// Guards against the same with the roles exchanged.
TEST_F(SecondTargetTest, AnswersAfterTheFirstHasFailed)
{
  startSecond();
  fail(mFirst);
  ASSERT_TRUE(isInProgress(mSecond)) << mCaller->mBody;
  respond(mSecond, "second");
  expectAnswer("second");
}

/// Guards against a promise that the request has not run, made while a target works on it.
TEST_F(SecondTargetTest, DeclinesAsTheFirstDoes)
{
  startSecond();
  decline(mSecond);
  decline(mFirst);
  EXPECT_EQ(mCaller->mHead.mStatus, 503);
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

TEST_F(SecondTargetTest, IsFollowedByAThirdWithinTheAttemptsOfTheRoute)
{
  startSecond(3);
  decline(mSecond);
  mSimulation.run(kLongSilence);
  EXPECT_EQ(mSimulation.targetExchanges().size(), 2U);
  EXPECT_TRUE(isInProgress(mFirst));
  respond(newest(), "third");
  expectAnswer("third");
}

/// Guards against more targets than the route permits, however long all are silent.
TEST_F(SecondTargetTest, IsTheLastWhenTheRoutePermitsTwo)
{
  startSecond();
  mSimulation.run(kLongSilence);
  EXPECT_EQ(mSimulation.targetExchanges().size(), 2U);
}

/// Guards against targets that work on for a caller that has left.
TEST_F(SecondTargetTest, EndsWithTheFirstWhenTheCallerLeaves)
{
  startSecond();
  mCaller->mDisconnected = true;
  mSimulation.run(std::chrono::milliseconds(300));
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

/// Guards against a request that is held, or worked on, after its time.
TEST_F(SecondTargetTest, EndsWithTheFirstAtTheDeadline)
{
  startSecond();
  mSimulation.run(std::chrono::seconds(4));
  EXPECT_EQ(mCaller->mHead.mStatus, 504);
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

/// Guards against two targets whose bodies reach the caller together.
TEST_F(SecondTargetTest, EndsWhenALongAnswerOfTheFirstIsForwarded)
{
  startSecond();
  const ExchangeListener first = mSimulation.exchange(mFirst).mListener;
  first.mOnHead(
    { 200, { { "X-Request-Id", "id-1" }, { "X-Response-Signature", "s" } }, std::nullopt });
  const ExchangeListener second = mSimulation.exchange(mSecond).mListener;
  second.mOnHead(
    { 200, { { "X-Request-Id", "id-1" }, { "X-Response-Signature", "s" } }, std::nullopt });
  second.mOnBody(std::string(1000, 'b'));
  const std::string part(std::size_t{ 64 } * 1024, 'a');
  for (int i = 0; i < 5; ++i) {
    first.mOnBody(part);
  }
  EXPECT_FALSE(isInProgress(mSecond));
  first.mOnEnd(ExchangeResult::Complete, "");
  EXPECT_EQ(mCaller->mComplete, true);
  EXPECT_EQ(mCaller->mBody, std::string(5 * part.size(), 'a'));
}

/// Guards against further attempts at a target that is busy, as other instances know.
TEST_F(SilentTargetTest, RespondsToAnotherInstanceAndGetsTheRequestAlone)
{
  start();
  mSimulation.add("n2", "za").start();
  mSimulation.run(std::chrono::seconds(2));
  warmUp();
  send();
  mSimulation.run(std::chrono::milliseconds(500));
  mSimulation.sendRequest("n2", "id-2", "object");
  const ExchangeId other = newest();
  ASSERT_EQ(targetOf(other), mFirstTarget);
  mSimulation.respondTo(
    other, 200, { { "X-Response-Signature", "sig" }, { "X-Server-Load", "4,1,4" } }, "body");
  mSimulation.run(std::chrono::milliseconds(600));
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.run(std::chrono::milliseconds(500));
  EXPECT_EQ(mSimulation.targetExchanges().size(), 2U) << "silent to all since";
}

/// An order may run once only.
TEST_F(SilentTargetTest, OrdersAreSentOnce)
{
  start("non_idempotent");
  warmUp();
  send();
  mSimulation.run(2 * kLongSilence);
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U);
  respond(mFirst, "late");
  expectAnswer("late");
}

/// Guards against a request that is ended because its customer lost the key meanwhile.
TEST_F(SilentTargetTest, ARemovedKeyLeavesTheRequestAtItsTarget)
{
  mKey = { { "Authorization", "Bearer key-a" } };
  putPlan(1, "safe", 2, R"(,"tenants":[{"name":"acme","apiKeys":["key-a"]}])");
  for (const char* target : { "t1", "t2", "t3" }) {
    mSimulation.putTarget(target);
  }
  mSimulation.add("n1", "za").start();
  mSimulation.run(std::chrono::seconds(2));
  warmUp();
  send();
  putPlan(2, "safe", 2, R"(,"tenants":[{"name":"acme","apiKeys":["key-b"]}])");
  mSimulation.run(2 * kLongSilence);
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U) << mCaller->mBody;
  respond(mFirst, "late");
  expectAnswer("late");
}

/// Guards against targets that an instance avoids after its start, when it can't tell yet whether
/// their work takes unusually long.
TEST_F(SilentTargetTest, CountsAgainstTheTargetOnlyOnceAUsualLatencyIsKnown)
{
  start();
  for (int i = 0; i < 3; ++i) {
    const std::shared_ptr<RecordingResponder> caller =
      mSimulation.sendRequest("n1", "early-" + std::to_string(i), "object");
    mSimulation.run(2 * kLongSilence);
    caller->mDisconnected = true;
    mSimulation.run(std::chrono::milliseconds(300));
  }
  EXPECT_EQ(logged("target-ejected"), 0U);
}

} // namespace
} // namespace bulrushrun::steering_test
