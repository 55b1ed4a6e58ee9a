#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

namespace bulrushrun::steering_test {
namespace {

/// Story: instances start, alone or all together.
class AFleetThatStarts : public SteeringFleetTest
{};

/// The pattern of a fleet that lost its power: reading the table takes time, and what stands in it
/// has not just started.
TEST_F(AFleetThatStarts, TakesNoTargetForColdThatWasThereBeforeItself)
{
  constexpr int kTargets = 8;
  for (int i = 1; i <= kTargets; ++i) {
    mSimulation.putTarget("t" + std::to_string(i));
  }
  mSimulation.mLogDuration = std::chrono::milliseconds(1);
  mSimulation.add("n6", "za").start();
  mSimulation.run(std::chrono::seconds(1));
  constexpr std::size_t kSlots = 4;
  for (std::size_t i = 0; i < kTargets * kSlots; ++i) {
    mSimulation.call("n6", "id-" + std::to_string(i));
  }
  EXPECT_EQ(mSimulation.targetExchanges().size(), kTargets * kSlots) << "each has its slots filled";
}

/// The pattern of a fleet that lost its power: callers still know its addresses and have one
/// repeat.
TEST_F(AFleetThatStarts, LetsRequestsWaitWhileItReadsTheTablesAtItsStart)
{
  SimulatedInstance& node = mSimulation.add("n6", "za");
  const std::shared_ptr<RecordingResponder> early = mSimulation.call("n6", "id-early");
  EXPECT_EQ(mSimulation.targetExchanges().size(), 0U);
  node.start();
  mSimulation.run(std::chrono::milliseconds(100));
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_FALSE(early->mComplete);
}

TEST_F(AFleetThatStarts, LetsLookUpsWaitLikewiseAndNamesItselfWhenItKnowsNoOther)
{
  SimulatedInstance& node = mSimulation.add("n6", "za");
  const std::shared_ptr<RecordingResponder> early = std::make_shared<RecordingResponder>();
  HttpRequest lookup;
  lookup.mPath = "/-/resolve?name=shop&region=ra&zone=za";
  node.handleLookup(lookup, early);
  EXPECT_FALSE(early->mComplete);
  node.start();
  mSimulation.run(std::chrono::milliseconds(100));
  ASSERT_TRUE(early->mComplete);
  EXPECT_EQ(early->mHead.mStatus, 200);
}

TEST_F(AFleetThatStarts, RefusesThemWhenTheTablesAreNotToBeHad)
{
  mSimulation.mStore.setErrorStatus(503);
  for (const std::string& name : mNames) {
    mSimulation.kill(name);
  }
  mSimulation.add("n6", "za").start();
  const std::shared_ptr<RecordingResponder> early = mSimulation.call("n6", "id-early");
  mSimulation.run(std::chrono::milliseconds(500));
  ASSERT_TRUE(early->mComplete);
  EXPECT_EQ(early->mHead.mStatus, 503);
}

/// The pattern of a fleet that lost its power: every instance reads two tables and the list of
/// instances. Following the changes is left to the readers, and rows that still hold are not
/// written.
TEST_F(AFleetThatStarts, CallsTheStoreThreeTimesAnInstanceWhenAllStartAgain)
{
  for (const std::string& name : mNames) {
    mSimulation.kill(name);
  }
  mSimulation.run(std::chrono::seconds(1));
  FleetSimulation again;
  again.mStore = mSimulation.mStore;
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
    mSimulation.putTarget("more" + std::to_string(i));
  }
  mSimulation.run(std::chrono::seconds(2));
  const std::size_t before = mSimulation.mPeerReplicationBytes;
  for (int i = 0; i < 20; ++i) {
    mSimulation.add("m" + std::to_string(i), "za").start();
  }
  mSimulation.run(std::chrono::seconds(2));
  constexpr std::size_t kTableBytes = 50000;
  EXPECT_LT(mSimulation.mPeerReplicationBytes - before, kTableBytes)
    << "twenty tables would have been told";
}

/// A table of more rows than one answer holds.
TEST_F(AFleetThatStarts, FindsItsPeersInATableOfManyInstances)
{
  for (int i = 0; i < 1400; ++i) {
    mSimulation.mStore.put("bulrushrun-instances", "a" + std::to_string(i), "10.9.9.9:8005 zz");
  }
  mSimulation.kill("n1");
  mSimulation.add("n6", "za").start();
  mSimulation.run(std::chrono::seconds(1));
  EXPECT_TRUE(hasLogged("n6", "member-joined member=n5")) << "its row stands behind all of them";
}

} // namespace
} // namespace bulrushrun::testing_world
