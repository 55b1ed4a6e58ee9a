#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

namespace bulrushrun::steering_test {
namespace {

/// Two targets of four slots; n1 to n3 are in one region, n4 and n5 in another.
class LoadReportExchangeTest : public SteeringFleetTest
{
protected:
  LoadReportExchangeTest()
  {
    mSimulation.putTarget("t2");
    mSimulation.run(std::chrono::seconds(5));
  }
  /// Sends a request and answers it with a load report. \returns the target's address
  Endpoint ask(const std::string& aNode, const std::string& aLoad = "0,0,4")
  {
    mSimulation.sendRequest(aNode, "id", "object");
    const ExchangeId exchange = mSimulation.targetExchanges().front();
    const Endpoint target = mSimulation.exchange(exchange).mTo;
    mSimulation.respondTo(
      exchange, 200, { { "X-Response-Signature", "sig" }, { "X-Server-Load", aLoad } }, "body");
    return target;
  }
};

/// Load pattern: a burst fills the queue of a target. Each instance sends it few requests, so by
/// its own responses alone it would learn of the queue too late.
TEST_F(LoadReportExchangeTest, InstancesOfTheRegionAvoidAFullQueueThatOneOfThemSaw)
{
  const Endpoint home = ask("n1");
  mSimulation.run(std::chrono::seconds(2));
  ASSERT_EQ(ask("n2"), home);
  mSimulation.run(std::chrono::seconds(2));
  ask("n1", "4,6,4");
  mSimulation.run(std::chrono::milliseconds(100));
  EXPECT_NE(ask("n2"), home);
  EXPECT_NE(ask("n3"), home);
  EXPECT_EQ(ask("n4"), home) << "another region is not told";
}

TEST_F(LoadReportExchangeTest, TheEndOfAQueueIsReportedToo)
{
  const Endpoint home = ask("n1", "4,6,4");
  mSimulation.run(std::chrono::milliseconds(100));
  ASSERT_NE(ask("n2"), home);
  mSimulation.run(std::chrono::milliseconds(700));
  ASSERT_EQ(ask("n1", "1,0,4"), home) << "the report has lost most of its weight";
  mSimulation.run(std::chrono::milliseconds(100));
  EXPECT_EQ(ask("n2"), home);
}

/// Keeps messages few while there is no queue.
TEST_F(LoadReportExchangeTest, TargetsWithFreeSlotsAreNotReported)
{
  const std::size_t before = mSimulation.mPeerMessages;
  for (int i = 0; i < 50; ++i) {
    ask("n1", "2,0,4");
  }
  const std::size_t quiet = mSimulation.mPeerMessages - before;
  mSimulation.run(std::chrono::milliseconds(100));
  for (int i = 0; i < 50; ++i) {
    ask("n1", "4,0,4");
  }
  EXPECT_GT(mSimulation.mPeerMessages - before - quiet, quiet);
}

class LoadReportMessageTest : public ::testing::Test
{};

TEST_F(LoadReportMessageTest, RejectsEveryTruncationAndLoadsOutOfRange)
{
  const LoadReportMessage message{ true, { { TargetId{ "t1" }, 12 } } };
  const std::string bytes = encodeLoadReports(message);
  ASSERT_TRUE(decodeLoadReports(bytes));
  EXPECT_EQ(decodeLoadReports(bytes)->mLoads.front().mRequests, 12);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodeLoadReports(bytes.substr(0, length))) << length;
  }
  for (const int requests : { -1, 2'000'000'000 }) {
    EXPECT_FALSE(
      decodeLoadReports(encodeLoadReports({ false, { { TargetId{ "t1" }, requests } } })));
  }
  EXPECT_FALSE(decodeLoadReports(encodeLoadReports({ false, { { TargetId{}, 1 } } })));
}

/// Guards against speeds out of range, and against older instances that take a message for loads.
TEST_F(LoadReportMessageTest, SlowdownsAreAKindOfTheirOwn)
{
  const std::string bytes = encodeSlowdowns({ true, { { TargetId{ "t1" }, 2.5 } } });
  ASSERT_TRUE(decodeSlowdowns(bytes));
  EXPECT_EQ(decodeSlowdowns(bytes)->mSlowdowns.front().mSlowdown, 2.5);
  EXPECT_FALSE(decodeLoadReports(bytes));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodeSlowdowns(bytes.substr(0, length))) << length;
  }
  EXPECT_FALSE(decodeSlowdowns(encodeSlowdowns({ false, { { TargetId{ "t1" }, 0 } } })));
  EXPECT_FALSE(decodeSlowdowns(encodeSlowdowns({ false, { { TargetId{}, 2 } } })));
}

} // namespace
} // namespace bulrushrun::steering_test
