#include "bulrushrun/steering/tests/SteeringWorld.h"

#include <gtest/gtest.h>

namespace bulrushrun::testing_world {
namespace {

/// Story: five instances in two zones follow one store through its troubles.
class AFleet : public ::testing::Test
{
protected:
  static constexpr Duration kBound = std::chrono::milliseconds(2500);

  AFleet()
  {
    mWorld.putPlan(1, "safe");
    mWorld.putTarget("t1");
    for (const std::string& name : mNames) {
      mWorld.add(name, name < "n4" ? "za" : "zb").start();
    }
    mWorld.run(std::chrono::seconds(5));
  }
  bool knows(const std::string& aNode, const std::string& aLine)
  {
    const std::vector<std::string>& log = mWorld.host(aNode).mLog;
    return std::any_of(
      log.begin(), log.end(), [&](const std::string& aEntry) { return aEntry.starts_with(aLine); });
  }

  const std::vector<std::string> mNames{ "n1", "n2", "n3", "n4", "n5" };
  World mWorld;
};

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

/// The pattern of a fleet that lost its power: reading the table takes time, and what stands in it
/// has not just started.
TEST_F(AFleet, TakesNoTargetForColdThatWasThereBeforeItself)
{
  constexpr int kTargets = 8;
  for (int i = 1; i <= kTargets; ++i) {
    mWorld.putTarget("t" + std::to_string(i));
  }
  mWorld.mLogCost = std::chrono::milliseconds(1);
  mWorld.add("n6", "za").start();
  mWorld.run(std::chrono::seconds(1));
  constexpr std::size_t kSlots = 4;
  for (std::size_t i = 0; i < kTargets * kSlots; ++i) {
    mWorld.call("n6", "id-" + std::to_string(i));
  }
  EXPECT_EQ(mWorld.atTargets().size(), kTargets * kSlots) << "each has its slots filled";
}

/// The pattern of a fleet that lost its power: callers still know its addresses and have one
/// repeat.
TEST_F(AFleet, LetsRequestsWaitWhileItReadsTheTablesAtItsStart)
{
  Node& node = mWorld.add("n6", "za");
  const std::shared_ptr<KeptResponder> early = mWorld.call("n6", "id-early");
  EXPECT_EQ(mWorld.atTargets().size(), 0U);
  node.start();
  mWorld.run(std::chrono::milliseconds(100));
  ASSERT_EQ(mWorld.atTargets().size(), 1U);
  EXPECT_FALSE(early->mWhole);
}

TEST_F(AFleet, LetsLookUpsWaitLikewiseAndNamesItselfWhenItKnowsNoOther)
{
  Node& node = mWorld.add("n6", "za");
  const std::shared_ptr<KeptResponder> early = std::make_shared<KeptResponder>();
  HttpRequest lookup;
  lookup.mPath = "/-/resolve?name=shop&region=ra&zone=za";
  node.handleLookup(lookup, early);
  EXPECT_FALSE(early->mWhole);
  node.start();
  mWorld.run(std::chrono::milliseconds(100));
  ASSERT_TRUE(early->mWhole);
  EXPECT_EQ(early->mHead.mStatus, 200);
}

TEST_F(AFleet, RefusesThemWhenTheTablesAreNotToBeHad)
{
  mWorld.mStore.setDown(503);
  for (const std::string& name : mNames) {
    mWorld.kill(name);
  }
  mWorld.add("n6", "za").start();
  const std::shared_ptr<KeptResponder> early = mWorld.call("n6", "id-early");
  mWorld.run(std::chrono::milliseconds(500));
  ASSERT_TRUE(early->mWhole);
  EXPECT_EQ(early->mHead.mStatus, 503);
}

/// The pattern of a fleet that lost its power: every instance reads two tables and the list of
/// instances. Following the changes is left to the readers, and rows that still hold are not
/// written.
TEST_F(AFleet, CallsTheStoreThreeTimesAnInstanceWhenAllStartAgain)
{
  for (const std::string& name : mNames) {
    mWorld.kill(name);
  }
  mWorld.run(std::chrono::seconds(1));
  World again;
  again.mStore = mWorld.mStore;
  for (const std::string& name : mNames) {
    again.add(name, name < "n4" ? "za" : "zb").start();
  }
  again.run(std::chrono::milliseconds(900));
  for (const std::string& name : mNames) {
    EXPECT_TRUE(again.node(name).isReady()) << name;
  }
  EXPECT_EQ(again.mStoreCalls, 3 * mNames.size());
}

/// A table of more rows than one answer holds.
TEST_F(AFleet, FindsItsPeersInATableOfManyInstances)
{
  for (int i = 0; i < 1400; ++i) {
    mWorld.mStore.put("bulrushrun-instances", "a" + std::to_string(i), "10.9.9.9:8005 zz");
  }
  mWorld.kill("n1");
  mWorld.add("n6", "za").start();
  mWorld.run(std::chrono::seconds(1));
  EXPECT_TRUE(knows("n6", "member-joined member=n5")) << "its row stands behind all of them";
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
