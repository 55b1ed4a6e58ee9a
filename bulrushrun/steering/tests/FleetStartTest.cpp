#include "bulrushrun/steering/tests/SteeredFleet.h"

namespace bulrushrun::testing_world {
namespace {

/// Story: instances start, alone or all together.
class AFleetThatStarts : public AFleet
{};

/// The pattern of a fleet that lost its power: reading the table takes time, and what stands in it
/// has not just started.
TEST_F(AFleetThatStarts, TakesNoTargetForColdThatWasThereBeforeItself)
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
TEST_F(AFleetThatStarts, LetsRequestsWaitWhileItReadsTheTablesAtItsStart)
{
  Node& node = mWorld.add("n6", "za");
  const std::shared_ptr<KeptResponder> early = mWorld.call("n6", "id-early");
  EXPECT_EQ(mWorld.atTargets().size(), 0U);
  node.start();
  mWorld.run(std::chrono::milliseconds(100));
  ASSERT_EQ(mWorld.atTargets().size(), 1U);
  EXPECT_FALSE(early->mWhole);
}

TEST_F(AFleetThatStarts, LetsLookUpsWaitLikewiseAndNamesItselfWhenItKnowsNoOther)
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

TEST_F(AFleetThatStarts, RefusesThemWhenTheTablesAreNotToBeHad)
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
TEST_F(AFleetThatStarts, CallsTheStoreThreeTimesAnInstanceWhenAllStartAgain)
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

/// The pattern of 300 instances with 3,000 targets that start again together: each table is read
/// from the store, and no peer has to send it to a large part of the fleet as well.
TEST_F(AFleetThatStarts, AsksNoPeerForWholeTablesWhileTheStoreAnswers)
{
  for (int i = 0; i < 500; ++i) {
    mWorld.putTarget("more" + std::to_string(i));
  }
  mWorld.run(std::chrono::seconds(2));
  const std::size_t before = mWorld.mPeerBytes;
  for (int i = 0; i < 20; ++i) {
    mWorld.add("m" + std::to_string(i), "za").start();
  }
  mWorld.run(std::chrono::seconds(2));
  constexpr std::size_t kTableBytes = 50000;
  EXPECT_LT(mWorld.mPeerBytes - before, kTableBytes) << "twenty tables would have been told";
}

/// A table of more rows than one answer holds.
TEST_F(AFleetThatStarts, FindsItsPeersInATableOfManyInstances)
{
  for (int i = 0; i < 1400; ++i) {
    mWorld.mStore.put("bulrushrun-instances", "a" + std::to_string(i), "10.9.9.9:8005 zz");
  }
  mWorld.kill("n1");
  mWorld.add("n6", "za").start();
  mWorld.run(std::chrono::seconds(1));
  EXPECT_TRUE(knows("n6", "member-joined member=n5")) << "its row stands behind all of them";
}

} // namespace
} // namespace bulrushrun::testing_world
