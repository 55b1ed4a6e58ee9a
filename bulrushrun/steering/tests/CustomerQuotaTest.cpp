#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bulrushrun::steering_test {
namespace {

/// Two instances; customers `acme` with 5 requests per second and `bolt` without a quota.
class CustomerQuotaTest : public ::testing::Test
{
protected:
  CustomerQuotaTest()
  {
    mSimulation.putTarget("t1", "ready", 400);
    mSimulation.putTarget("t2", "ready", 400, 0, "zb");
    mSimulation.putPlan(1,
                        "safe",
                        R"(,"targetLatencyMs":800)",
                        R"(,"tenants":[{"name":"acme","apiKeys":["key-a"],"ratePerS":5,"burst":5},)"
                        R"({"name":"bolt","apiKeys":["key-b"]}])");
    mSimulation.add("n1", "za").start();
    mSimulation.add("n2", "zb").start();
    mSimulation.run(std::chrono::seconds(15));
  }
  std::shared_ptr<RecordingResponder> send(const std::string& aNode, const std::string& aKey)
  {
    return mSimulation.sendRequest(
      aNode, "id-" + std::to_string(++mRequests), "", { { "Authorization", "Bearer " + aKey } });
  }
  /// Sends requests of acme until one finds no token and waits. \returns its responder
  std::shared_ptr<RecordingResponder> sendUntilOneWaits()
  {
    for (int i = 0; i < 60; ++i) {
      const std::size_t before = mSimulation.targetExchanges().size();
      const std::shared_ptr<RecordingResponder> caller = send(i % 2 == 0 ? "n1" : "n2", "key-a");
      if (!caller->mComplete && mSimulation.targetExchanges().size() == before) {
        mWaitingAt = i % 2 == 0 ? "n1" : "n2";
        return caller;
      }
    }
    return nullptr;
  }

  void respondToAll()
  {
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      mSimulation.respondOk(exchange);
      ++mExecuted;
    }
  }

  FleetSimulation mSimulation;
  std::size_t mExecuted = 0;
  std::string mWaitingAt;
  int mRequests = 0;
};

/// Guards against quotas that are not applied to requests, or to those of other customers.
TEST_F(CustomerQuotaTest, RequestsBeyondTheQuotaGet429)
{
  std::vector<std::shared_ptr<RecordingResponder>> callers;
  const TimePoint begin = mSimulation.now();
  for (int i = 0; i < 100; ++i) {
    callers.push_back(send(i % 2 == 0 ? "n1" : "n2", "key-a"));
    mSimulation.run(std::chrono::milliseconds(40));
    respondToAll();
  }
  mSimulation.run(std::chrono::milliseconds(400));
  respondToAll();
  const std::size_t executed = mExecuted;
  const double seconds = toSeconds(mSimulation.now() - begin);
  EXPECT_LE(static_cast<double>(executed), (5 * seconds + 5) * 1.1 + 20);
  EXPECT_GE(static_cast<double>(executed), 5 * seconds * 0.8);
  std::size_t refused = 0;
  for (const std::shared_ptr<RecordingResponder>& caller : callers) {
    if (caller->mHead.mStatus == 429) {
      ++refused;
      EXPECT_NE(findHeader(caller->mHead.mHeaders, "Retry-After"), nullptr);
    }
  }
  EXPECT_EQ(refused, callers.size() - executed);
  send("n1", "key-b");
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U);
}

/// Guards against requests that are sent to a target after their caller has left.
TEST_F(CustomerQuotaTest, AWaitingRequestEndsWhenItsCallerLeaves)
{
  const std::shared_ptr<RecordingResponder> caller = sendUntilOneWaits();
  ASSERT_TRUE(caller);
  const std::size_t before = mSimulation.targetExchanges().size();
  caller->mDisconnected = true;
  mSimulation.run(std::chrono::seconds(1));
  EXPECT_EQ(mSimulation.targetExchanges().size(), before);
  EXPECT_EQ(caller->mHead.mStatus, ResponseHead{}.mStatus) << "nobody reads the response";
}

/// Guards against a wait that outlives the instance's acceptance of requests.
TEST_F(CustomerQuotaTest, WaitingRequestsAreAnsweredInAPlannedStop)
{
  const std::shared_ptr<RecordingResponder> caller = sendUntilOneWaits();
  ASSERT_TRUE(caller);
  mSimulation.node(mWaitingAt).stop();
  mSimulation.run(std::chrono::seconds(6));
  EXPECT_EQ(caller->mComplete, true);
}

} // namespace
} // namespace bulrushrun::steering_test
