#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

namespace bulrushrun::steering_test {
namespace {

/// One instance with two targets of a sticky route; a target says in its answer that it leaves.
class LeavingAnswerTest : public ::testing::Test
{
protected:
  void start(const std::string& aKind = "safe")
  {
    mSimulation.putPlan(1, aKind);
    mSimulation.putTarget("t1");
    mSimulation.putTarget("t2");
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(5));
    mHome = sendAndReadTarget("first");
    mOther = mHome == "t1" ? "t2" : "t1";
  }
  std::string targetOf(ExchangeId aExchange) const
  {
    return *findHeader(mSimulation.exchange(aExchange).mRequest.mHeaders, "X-Target-Instance");
  }
  /// Sends a request for the one object; answers it, and returns the target that got it.
  std::string sendAndReadTarget(const std::string& aId, const Headers& aExtra = {})
  {
    mCaller = mSimulation.sendRequest("n1", aId, "object");
    if (mSimulation.targetExchanges().empty()) {
      return "none";
    }
    const ExchangeId exchange = mSimulation.targetExchanges().front();
    const std::string target = targetOf(exchange);
    Headers headers = aExtra;
    headers.push_back({ "X-Response-Signature", "sig" });
    mSimulation.respondTo(exchange, 200, headers, "body");
    return target;
  }
  bool hasLogged(const std::string& aLine)
  {
    const std::vector<std::string>& log = mSimulation.host("n1").mLog;
    return std::any_of(
      log.begin(), log.end(), [&](const std::string& aEntry) { return aEntry.starts_with(aLine); });
  }

  FleetSimulation mSimulation;
  std::string mHome;
  std::string mOther;
  std::shared_ptr<RecordingResponder> mCaller;
};

/// Guards against requests to a target that says it leaves while its row still says ready.
TEST_F(LeavingAnswerTest, NextRequestGoesElsewhereAtOnce)
{
  start();
  EXPECT_EQ(sendAndReadTarget("id-1", { { "Server-Leaving", "1" } }), mHome);
  EXPECT_EQ(mCaller->mHead.mStatus, 200) << "the answer itself is good";
  EXPECT_EQ(sendAndReadTarget("id-2"), mOther);
  EXPECT_TRUE(hasLogged("target-leaving target=" + mHome));
}

/// Guards against showing callers a header that concerns the hop between instance and target.
TEST_F(LeavingAnswerTest, CallerDoesNotGetTheHeader)
{
  start();
  sendAndReadTarget("id-1", { { "server-leaving", "1" }, { "X-Other", "kept" } });
  EXPECT_EQ(findHeader(mCaller->mHead.mHeaders, "Server-Leaving"), nullptr);
  EXPECT_NE(findHeader(mCaller->mHead.mHeaders, "X-Other"), nullptr);
}

/// Guards against a last resort that uses leaving targets when no other is left.
TEST_F(LeavingAnswerTest, RequestsAreRefusedWhenEveryTargetLeaves)
{
  start();
  sendAndReadTarget("id-1", { { "Server-Leaving", "1" } });
  sendAndReadTarget("id-2", { { "Server-Leaving", "1" } });
  EXPECT_EQ(sendAndReadTarget("id-3"), "none");
  EXPECT_EQ(mCaller->mHead.mStatus, 503);
}

/// The announcement holds for the incarnation that made it.
class LeavingIncarnationTest : public LeavingAnswerTest
{
protected:
  void startAndLeave()
  {
    start();
    sendAndReadTarget("id-1", { { "Server-Leaving", "1" } });
  }
};

/// Guards against a heartbeat of a target that registers 'ready' although its answers say leaving.
TEST_F(LeavingIncarnationTest, LaterReadyRowDoesNotUndoIt)
{
  startAndLeave();
  mSimulation.putTarget(mHome, "ready", 5);
  mSimulation.run(std::chrono::seconds(2));
  EXPECT_EQ(sendAndReadTarget("id-2"), mOther);
}

/// Guards against forgetting the announcement with the row: the store may lose a heartbeat.
TEST_F(LeavingIncarnationTest, RowThatIsRemovedAndWrittenAgainDoesNotUndoIt)
{
  startAndLeave();
  mSimulation.removeTarget(mHome);
  mSimulation.run(std::chrono::seconds(4));
  mSimulation.putTarget(mHome);
  mSimulation.run(std::chrono::seconds(4));
  EXPECT_EQ(sendAndReadTarget("id-2"), mOther);
}

/// Guards against an announcement that arrives while the target has no row.
TEST_F(LeavingIncarnationTest, AnswerThatArrivesAfterTheRowIsGoneCounts)
{
  start();
  mSimulation.sendRequest("n1", "id-1", "object");
  const ExchangeId exchange = mSimulation.targetExchanges().front();
  mSimulation.removeTarget(mHome);
  mSimulation.run(std::chrono::milliseconds(600));
  mSimulation.respondTo(
    exchange, 200, { { "X-Response-Signature", "sig" }, { "Server-Leaving", "1" } }, "body");
  mSimulation.run(std::chrono::seconds(4));
  mSimulation.putTarget(mHome);
  mSimulation.run(std::chrono::seconds(4));
  EXPECT_EQ(sendAndReadTarget("id-2"), mOther);
}

/// Guards against losing a target for good when it starts again under its id.
TEST_F(LeavingIncarnationTest, NewIncarnationIsUsed)
{
  startAndLeave();
  mSimulation.putTarget(mHome, "ready", 4, 0, "za", 2);
  mSimulation.putTarget(mOther, "draining");
  mSimulation.run(std::chrono::seconds(5));
  EXPECT_EQ(sendAndReadTarget("id-2"), mHome);
}

/// Guards against an answer of the process before that marks the one started since.
TEST_F(LeavingIncarnationTest, AnswerForAnEarlierIncarnationDoesNotMarkTheNewOne)
{
  start();
  mSimulation.sendRequest("n1", "id-1", "object");
  const ExchangeId exchange = mSimulation.targetExchanges().front();
  mSimulation.putTarget(mHome, "ready", 4, 0, "za", 2);
  mSimulation.putTarget(mOther, "draining");
  mSimulation.run(std::chrono::milliseconds(600));
  mSimulation.respondTo(
    exchange, 200, { { "X-Response-Signature", "sig" }, { "Server-Leaving", "1" } }, "body");
  mSimulation.run(std::chrono::seconds(4));
  EXPECT_EQ(sendAndReadTarget("id-2"), mHome);
}

/// Guards against believing only successes: errors and declined requests count, too.
class LeavingErrorTest : public LeavingAnswerTest
{};

TEST_F(LeavingErrorTest, ErrorAnswerCounts)
{
  start("non_idempotent");
  mSimulation.sendRequest("n1", "id-1", "object");
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 500, { { "Server-Leaving", "1" } }, "oops");
  EXPECT_EQ(sendAndReadTarget("id-2"), mOther);
}

TEST_F(LeavingErrorTest, DeclinedRequestIsTriedElsewhereAndTheTargetGetsNoMore)
{
  start("non_idempotent");
  mSimulation.sendRequest("n1", "id-1", "object");
  mSimulation.respondTo(mSimulation.targetExchanges().front(),
                        503,
                        { { "X-Not-Executed", "1" }, { "Server-Leaving", "1" } },
                        "");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_EQ(targetOf(mSimulation.targetExchanges().front()), mOther);
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(sendAndReadTarget("id-2"), mOther);
}

/// Guards against announcements of others: 421 comes from another target at the address, and an
/// unsigned success from an intermediary.
TEST_F(LeavingErrorTest, AnswerOfAnotherSpeakerDoesNotCount)
{
  start();
  mSimulation.sendRequest("n1", "id-1", "object");
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 200, { { "Server-Leaving", "1" } }, "forged");
  EXPECT_FALSE(hasLogged("target-leaving")) << "not signed";
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 421, { { "Server-Leaving", "1" } }, "");
  EXPECT_FALSE(hasLogged("target-leaving")) << "misdirected";
}

/// Guards against deciding on a header that no target sends like this.
TEST_F(LeavingAnswerTest, InvalidHeadersAreIgnoredAndLogged)
{
  start();
  const std::vector<Headers> invalid{ { { "Server-Leaving", "" } },
                                      { { "Server-Leaving", "0" } },
                                      { { "Server-Leaving", "yes" } },
                                      { { "Server-Leaving", std::string(60'000, '1') } },
                                      { { "Server-Leaving", "1" }, { "Server-Leaving", "1" } } };
  for (const Headers& headers : invalid) {
    mSimulation.host("n1").mLog.clear();
    EXPECT_EQ(sendAndReadTarget("id-1", headers), mHome);
    EXPECT_TRUE(hasLogged("target-header-ignored target=" + mHome));
    EXPECT_FALSE(hasLogged("target-leaving"));
    EXPECT_EQ(findHeader(mCaller->mHead.mHeaders, "Server-Leaving"), nullptr);
    for (const std::string& line : mSimulation.host("n1").mLog) {
      EXPECT_LT(line.size(), 1000U) << "the log line is bounded";
    }
  }
  EXPECT_EQ(sendAndReadTarget("id-2"), mHome);
}

/// The other instances hear of it by gossip, whether they reach the store or not.
class LeavingNoticeTest : public SteeringFleetTest
{
protected:
  /// Lets one instance get an answer of the target that says it leaves.
  void leave()
  {
    mSimulation.sendRequest("n1", "id-1");
    mSimulation.respondTo(mSimulation.targetExchanges().front(),
                          200,
                          { { "X-Response-Signature", "sig" }, { "Server-Leaving", "1" } },
                          "body");
  }
  /// Returns whether an instance sends requests to the only target.
  bool uses(const std::string& aNode)
  {
    mSimulation.sendRequest(aNode, "probe-" + aNode);
    const bool used = !mSimulation.targetExchanges().empty();
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      mSimulation.respondOk(exchange);
    }
    return used;
  }
};

/// Guards against zones that are cut off from the store and send to the target until they are told.
TEST_F(LeavingNoticeTest, EveryInstanceStopsWithinTheBoundWithoutTheStore)
{
  for (const std::string& name : mNames) {
    mSimulation.mStoreUnreachableFrom.insert(name);
  }
  leave();
  mSimulation.run(kBound);
  for (const std::string& name : mNames) {
    EXPECT_FALSE(uses(name)) << name;
    EXPECT_TRUE(hasLogged(name, "target-leaving target=t1")) << name;
  }
}

/// Guards against notices that reach instances before the row of a new incarnation, or long after.
TEST_F(LeavingNoticeTest, NewIncarnationIsUsedByAllAlthoughNoticesStillCirculate)
{
  leave();
  mSimulation.run(std::chrono::milliseconds(200));
  mSimulation.putTarget("t1", "ready", 4, 0, "za", 2);
  mSimulation.putTarget("t2", "ready", 4, 0, "zb");
  mSimulation.run(std::chrono::seconds(10));
  for (const std::string& name : mNames) {
    EXPECT_TRUE(uses(name)) << name;
    EXPECT_EQ(
      std::count_if(mSimulation.host(name).mLog.begin(),
                    mSimulation.host(name).mLog.end(),
                    [](const std::string& aLine) { return aLine.starts_with("target-leaving"); }),
      1)
      << name;
  }
}

} // namespace
} // namespace bulrushrun::steering_test
