#include "bulrushrun/steering/tests/SteeredFleet.h"

#include <gtest/gtest.h>

namespace bulrushrun::testing_world {
namespace {

TEST_F(AFleet, IsReadyAndPutsANewConfigurationInForceEverywhere)
{
  mWorld.putPlan(7, "safe");
  mWorld.run(std::chrono::milliseconds(500));
  for (const std::string& name : mNames) {
    EXPECT_TRUE(mWorld.node(name).isReady()) << name;
    EXPECT_TRUE(knows(name, "plan-adopted version=7 ")) << name;
  }
}

TEST_F(AFleet, NeverGoesBackToAnOlderConfiguration)
{
  mWorld.putPlan(7, "safe");
  mWorld.run(std::chrono::milliseconds(500));
  mWorld.putPlan(6, "safe");
  mWorld.run(kBound);
  EXPECT_FALSE(knows("n1", "plan-adopted version=6 "));
}

TEST_F(AFleet, KeepsTheLastGoodConfigurationWhenABrokenOneIsWritten)
{
  mWorld.mStore.put("op", "config", R"({"version":"r9","routes":[{"name":5}]})");
  mWorld.mStore.put("servers", "bad", "\xff not json");
  mWorld.run(kBound);
  EXPECT_TRUE(knows("n1", "plan-refused"));
  EXPECT_TRUE(knows("n1", "target-entry-refused"));
  mWorld.call("n1", "id-1");
  EXPECT_EQ(mWorld.atTargets().size(), 1U);
}

TEST_F(AFleet, NamesATargetInAZoneThatNobodyKnowsAndUsesItAllTheSame)
{
  mWorld.mStore.remove("servers", "t1");
  mWorld.putTarget("t2", "ready", 4, 0, "nowhere");
  mWorld.run(kBound);
  EXPECT_TRUE(knows("n1", "target-zone-unknown target=t2 zone=nowhere"));
  mWorld.run(std::chrono::seconds(5));
  mWorld.call("n1", "id-1");
  EXPECT_EQ(mWorld.atTargets().size(), 1U);
}

TEST_F(AFleet, TellsAnInstanceThatTheStoreTurnsAway)
{
  for (const std::string& away : mNames) {
    mWorld.mTurnedAway = { away };
    mWorld.run(std::chrono::seconds(3));
    mWorld.putTarget("for-" + away);
    mWorld.run(kBound);
    EXPECT_TRUE(knows(away, "target-added target=for-" + away)) << away;
  }
}

TEST_F(AFleet, LearnsInTimeWhenAReaderVanishes)
{
  for (const char* gone : { "n2", "n4" }) {
    mWorld.kill(gone);
    mWorld.putTarget("after-" + std::string{ gone });
    mWorld.run(kBound);
    for (const char* name : { "n1", "n3", "n5" }) {
      EXPECT_TRUE(knows(name, "target-added target=after-" + std::string{ gone })) << name;
    }
  }
}

TEST_F(AFleet, ReadsTheTableAnewWhenTheHistoryIsGone)
{
  mWorld.mStore.setDown(503);
  mWorld.run(std::chrono::seconds(4));
  mWorld.putTarget("t2");
  mWorld.mStore.remove("servers", "t1");
  mWorld.mStore.compact();
  mWorld.mStore.setDown(std::nullopt);
  mWorld.run(kBound);
  for (const std::string& name : mNames) {
    EXPECT_TRUE(knows(name, "target-added target=t2")) << name;
    EXPECT_TRUE(knows(name, "target-vanished target=t1")) << name;
  }
}

TEST_F(AFleet, ServesOnWithTheLastKnownStateWhileTheStoreIsAway)
{
  mWorld.mStore.setDown(503);
  mWorld.run(std::chrono::seconds(20));
  mWorld.call("n3", "id-1");
  EXPECT_EQ(mWorld.atTargets().size(), 1U);
}

TEST_F(AFleet, AsksTheStoreSeldomWhenNothingChanges)
{
  mWorld.mStoreCalls = 0;
  mWorld.run(std::chrono::seconds(9));
  // Three readers of two tables, each call held for 0.9 s.
  EXPECT_LE(mWorld.mStoreCalls, 3U * 2U * 11U);
}

TEST_F(AFleet, StartsFromPeersWhenTheStoreIsAway)
{
  mWorld.mStore.setDown(503);
  mWorld.run(std::chrono::seconds(3));
  mWorld.add("n6", "zb").start();
  mWorld.run(std::chrono::seconds(2));
  EXPECT_TRUE(mWorld.node("n6").isReady());
}

class AColdTarget : public AFleet
{};

TEST_F(AColdTarget, GetsNoMoreFromTheFleetThanItsBound)
{
  mWorld.mStore.remove("servers", "t1");
  mWorld.putTarget("t9", "ready", 50, 3000);
  mWorld.run(std::chrono::seconds(2));
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i) {
    for (const std::string& name : mNames) {
      mWorld.call(name, name + std::to_string(i));
    }
  }
  sent = mWorld.atTargets().size();
  // coldPerS 2, factor 1, slack 0; the calls took 0.8 s.
  EXPECT_LE(sent, 2U);
}

/// All instances of a zone come back together with its targets, which are cold.
TEST_F(AColdTarget, GetsNoMoreThanItsBoundFromInstancesThatHaveJustStarted)
{
  mWorld.mStore.remove("servers", "t1");
  for (const std::string name : { "m1", "m2", "m3", "m4", "m5", "m6" }) {
    mWorld.add(name, "za");
    mWorld.mStore.put("bulrushrun-instances", name, "10.0.1.1:8005 za");
  }
  mWorld.putTarget("t9", "ready", 50, 3000);
  for (const char* name : { "m1", "m2", "m3", "m4", "m5", "m6" }) {
    mWorld.node(name).start();
  }
  const std::vector<std::string> started{ "m1", "m2", "m3", "m4", "m5", "m6" };
  std::vector<std::string> zone = started;
  zone.insert(zone.end(), { "n1", "n2", "n3" });
  const auto call = [&](const std::vector<std::string>& aInstances) {
    for (int i = 0; i < 10; ++i) {
      for (const std::string& name : aInstances) {
        mWorld.call(name, name + std::to_string(i));
      }
    }
  };
  mWorld.run(std::chrono::milliseconds(30));
  call(started);
  EXPECT_EQ(mWorld.atTargets().size(), 0U)
    << "earlier lives of the instances may have sent what the second allows";
  mWorld.run(std::chrono::milliseconds(1200));
  call(zone);
  EXPECT_LE(mWorld.atTargets().size(), 2U);
  EXPECT_GE(mWorld.atTargets().size(), 1U) << "nine instances share two requests a second";
}

class APlannedStop : public AFleet
{};

TEST_F(APlannedStop, ServesWhatArrivesAndThenRefusesTruly)
{
  mWorld.node("n1").stop();
  EXPECT_FALSE(mWorld.node("n1").isReady());
  const std::shared_ptr<KeptResponder> early = mWorld.call("n1", "early");
  ASSERT_EQ(mWorld.atTargets().size(), 1U);
  mWorld.answerWell(mWorld.atTargets().front());
  EXPECT_EQ(early->mHead.mStatus, 200);
  EXPECT_TRUE(early->mHead.mCloseAfter);
  mWorld.run(std::chrono::milliseconds(3100));
  const std::shared_ptr<KeptResponder> late = mWorld.call("n1", "late");
  EXPECT_EQ(late->mHead.mStatus, 503);
  EXPECT_TRUE(mWorld.atTargets().empty());
}

TEST_F(APlannedStop, TakesTheInstanceOutOfTheLookUps)
{
  mWorld.node("n1").stop();
  mWorld.run(std::chrono::seconds(1));
  HttpRequest lookup;
  lookup.mPath = "/-/resolve?name=shop&region=ra&zone=za";
  const std::shared_ptr<KeptResponder> caller = std::make_shared<KeptResponder>();
  mWorld.node("n4").handleLookup(lookup, caller);
  EXPECT_EQ(caller->mBody.find("10.0.0.1:"), std::string::npos) << caller->mBody;
  EXPECT_NE(caller->mBody.find("10.0.0.2:"), std::string::npos) << caller->mBody;
}

} // namespace
} // namespace bulrushrun::testing_world
