#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

TEST_F(SteeringFleetTest, NewConfigurationIsAdoptedByAllInstances)
{
  mSimulation.putPlan(7, "safe");
  mSimulation.run(std::chrono::milliseconds(500));
  for (const std::string& name : mNames) {
    EXPECT_TRUE(mSimulation.node(name).isReady()) << name;
    EXPECT_TRUE(hasLogged(name, "plan-adopted version=7 ")) << name;
  }
}

TEST_F(SteeringFleetTest, OlderConfigurationIsIgnored)
{
  mSimulation.putPlan(7, "safe");
  mSimulation.run(std::chrono::milliseconds(500));
  mSimulation.putPlan(6, "safe");
  mSimulation.run(kBound);
  EXPECT_FALSE(hasLogged("n1", "plan-adopted version=6 "));
}

TEST_F(SteeringFleetTest, InvalidConfigurationDoesNotReplaceTheLastValidOne)
{
  mSimulation.mStore.put("op", "config", R"({"version":"r9","routes":[{"name":5}]})");
  mSimulation.mStore.put("servers", "bad", "\xff not json");
  mSimulation.run(kBound);
  EXPECT_TRUE(hasLogged("n1", "plan-refused"));
  EXPECT_TRUE(hasLogged("n1", "target-entry-refused"));
  mSimulation.sendRequest("n1", "id-1");
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U);
}

TEST_F(SteeringFleetTest, TargetInAnUnknownZoneIsLoggedAndUsed)
{
  mSimulation.mStore.remove("servers", "t1");
  mSimulation.putTarget("t2", "ready", 4, 0, "nowhere");
  mSimulation.run(kBound);
  EXPECT_TRUE(hasLogged("n1", "target-zone-unknown target=t2 zone=nowhere"));
  mSimulation.run(std::chrono::seconds(5));
  mSimulation.sendRequest("n1", "id-1");
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U);
}

TEST_F(SteeringFleetTest, InstanceRejectedByTheStoreLearnsChangesFromPeers)
{
  for (const std::string& rejected : mNames) {
    mSimulation.mStoreUnreachableFrom = { rejected };
    mSimulation.run(std::chrono::seconds(3));
    mSimulation.putTarget("for-" + rejected);
    mSimulation.run(kBound);
    EXPECT_TRUE(hasLogged(rejected, "target-added target=for-" + rejected)) << rejected;
  }
}

TEST_F(SteeringFleetTest, ChangesArriveInTimeWhenAStoreReaderFails)
{
  for (const char* failed : { "n2", "n4" }) {
    mSimulation.kill(failed);
    mSimulation.putTarget("after-" + std::string{ failed });
    mSimulation.run(kBound);
    for (const char* name : { "n1", "n3", "n5" }) {
      EXPECT_TRUE(hasLogged(name, "target-added target=after-" + std::string{ failed })) << name;
    }
  }
}

TEST_F(SteeringFleetTest, TableIsReadAgainWhenTheFeedHistoryWasCompacted)
{
  mSimulation.mStore.setErrorStatus(503);
  mSimulation.run(std::chrono::seconds(4));
  mSimulation.putTarget("t2");
  mSimulation.mStore.remove("servers", "t1");
  mSimulation.mStore.compact();
  mSimulation.mStore.setErrorStatus(std::nullopt);
  mSimulation.run(kBound);
  for (const std::string& name : mNames) {
    EXPECT_TRUE(hasLogged(name, "target-added target=t2")) << name;
    EXPECT_TRUE(hasLogged(name, "target-vanished target=t1")) << name;
  }
}

TEST_F(SteeringFleetTest, LastKnownStateIsUsedWhileTheStoreIsUnavailable)
{
  mSimulation.mStore.setErrorStatus(503);
  mSimulation.run(std::chrono::seconds(20));
  mSimulation.sendRequest("n3", "id-1");
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U);
}

TEST_F(SteeringFleetTest, FewStoreCallsWhenNothingChanges)
{
  mSimulation.mStoreCalls = 0;
  mSimulation.run(std::chrono::seconds(9));
  // Three store readers of two tables; each feed call stays pending for 0.9 s.
  EXPECT_LE(mSimulation.mStoreCalls, 3U * 2U * 11U);
}

TEST_F(SteeringFleetTest, InstanceStartsFromPeersWhileTheStoreIsUnavailable)
{
  mSimulation.mStore.setErrorStatus(503);
  mSimulation.run(std::chrono::seconds(3));
  mSimulation.add("n6", "zb").start();
  mSimulation.run(std::chrono::seconds(2));
  EXPECT_TRUE(mSimulation.node("n6").isReady());
}

class ColdTargetTest : public SteeringFleetTest
{};

TEST_F(ColdTargetTest, GetsNoMoreThanTheRateLimitFromTheFleet)
{
  mSimulation.mStore.remove("servers", "t1");
  mSimulation.putTarget("t9", "ready", 50, 3000);
  mSimulation.run(std::chrono::seconds(2));
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i) {
    for (const std::string& name : mNames) {
      mSimulation.sendRequest(name, name + std::to_string(i));
    }
  }
  sent = mSimulation.targetExchanges().size();
  // coldPerS 2, factor 1, slack 0; the requests took 0.8 s.
  EXPECT_LE(sent, 2U);
}

/// Guards against exceeding the rate limit on cold targets when all instances of a zone restart
/// together with its targets.
TEST_F(ColdTargetTest, GetsNoMoreThanTheRateLimitFromRestartedInstances)
{
  mSimulation.mStore.remove("servers", "t1");
  for (const std::string name : { "m1", "m2", "m3", "m4", "m5", "m6" }) {
    mSimulation.add(name, "za");
    mSimulation.mStore.put("bulrushrun-instances", name, "10.0.1.1:8005 za");
  }
  mSimulation.putTarget("t9", "ready", 50, 3000);
  for (const char* name : { "m1", "m2", "m3", "m4", "m5", "m6" }) {
    mSimulation.node(name).start();
  }
  const std::vector<std::string> started{ "m1", "m2", "m3", "m4", "m5", "m6" };
  std::vector<std::string> allInZone = started;
  allInZone.insert(allInZone.end(), { "n1", "n2", "n3" });
  const auto callAll = [&](const std::vector<std::string>& aInstances) {
    for (int i = 0; i < 10; ++i) {
      for (const std::string& name : aInstances) {
        mSimulation.sendRequest(name, name + std::to_string(i));
      }
    }
  };
  mSimulation.run(std::chrono::milliseconds(30));
  callAll(started);
  EXPECT_EQ(mSimulation.targetExchanges().size(), 0U)
    << "previous incarnations may have used the quota of this second";
  mSimulation.run(std::chrono::milliseconds(1200));
  callAll(allInZone);
  EXPECT_LE(mSimulation.targetExchanges().size(), 2U);
  EXPECT_GE(mSimulation.targetExchanges().size(), 1U)
    << "the limit of two requests per second is divided among nine instances";
}

class GracefulShutdownTest : public SteeringFleetTest
{};

TEST_F(GracefulShutdownTest, RequestsAreServedAtFirstAndThenRefused)
{
  mSimulation.node("n1").stop();
  EXPECT_FALSE(mSimulation.node("n1").isReady());
  const std::shared_ptr<RecordingResponder> served = mSimulation.sendRequest("n1", "early");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(served->mHead.mStatus, 200);
  EXPECT_TRUE(served->mHead.mCloseAfter);
  mSimulation.run(std::chrono::milliseconds(3100));
  const std::shared_ptr<RecordingResponder> refused = mSimulation.sendRequest("n1", "late");
  EXPECT_EQ(refused->mHead.mStatus, 503);
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

TEST_F(GracefulShutdownTest, DrainingInstanceIsNotReturnedByLookups)
{
  mSimulation.node("n1").stop();
  mSimulation.run(std::chrono::seconds(1));
  HttpRequest lookup;
  lookup.mPath = "/-/resolve?name=shop&region=ra&zone=za";
  const std::shared_ptr<RecordingResponder> caller = std::make_shared<RecordingResponder>();
  mSimulation.node("n4").handleLookup(lookup, caller);
  EXPECT_EQ(caller->mBody.find("10.0.0.1:"), std::string::npos) << caller->mBody;
  EXPECT_NE(caller->mBody.find("10.0.0.2:"), std::string::npos) << caller->mBody;
}

} // namespace
} // namespace bulrushrun::steering_test
