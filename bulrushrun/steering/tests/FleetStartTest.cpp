#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

namespace bulrushrun::steering_test {
namespace {

/// Instances start, one at a time or all together.
class FleetStartTest : public SteeringFleetTest
{};

/// Guards against treating all targets as cold after a power failure of the fleet. Reading the
/// target table takes time, and the targets found in the first reading have not just started.
TEST_F(FleetStartTest, TargetsRegisteredBeforeTheStartAreNotCold)
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
    mSimulation.sendRequest("n6", "id-" + std::to_string(i));
  }
  EXPECT_EQ(mSimulation.targetExchanges().size(), kTargets * kSlots)
    << "all slots of all targets are filled";
}

/// Guards against refusing requests during a restart of the whole fleet. Callers still have the
/// addresses of the instances, and only one retry.
TEST_F(FleetStartTest, RequestsWaitWhileTheTablesAreRead)
{
  SimulatedInstance& node = mSimulation.add("n6", "za");
  const std::shared_ptr<RecordingResponder> responder = mSimulation.sendRequest("n6", "id-early");
  EXPECT_EQ(mSimulation.targetExchanges().size(), 0U);
  node.start();
  mSimulation.run(std::chrono::milliseconds(100));
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_FALSE(responder->mComplete);
}

TEST_F(FleetStartTest, LookupsWaitAndReturnTheInstanceItselfWhenItKnowsNoOther)
{
  SimulatedInstance& node = mSimulation.add("n6", "za");
  const std::shared_ptr<RecordingResponder> responder = std::make_shared<RecordingResponder>();
  HttpRequest lookup;
  lookup.mPath = "/-/resolve?name=shop&region=ra&zone=za";
  node.handleLookup(lookup, responder);
  EXPECT_FALSE(responder->mComplete);
  node.start();
  mSimulation.run(std::chrono::milliseconds(100));
  ASSERT_TRUE(responder->mComplete);
  EXPECT_EQ(responder->mHead.mStatus, 200);
}

TEST_F(FleetStartTest, RequestsAreRefusedWhenTheTablesAreUnavailable)
{
  mSimulation.mStore.setErrorStatus(503);
  for (const std::string& name : mNames) {
    mSimulation.kill(name);
  }
  mSimulation.add("n6", "za").start();
  const std::shared_ptr<RecordingResponder> responder = mSimulation.sendRequest("n6", "id-early");
  mSimulation.run(std::chrono::milliseconds(500));
  ASSERT_TRUE(responder->mComplete);
  EXPECT_EQ(responder->mHead.mStatus, 503);
}

/// Guards against overloading the store when the whole fleet restarts. Each instance reads two
/// tables and the list of instances. Only store readers read the change feeds, and registrations
/// that are still correct are not written again.
TEST_F(FleetStartTest, RestartOfAllInstancesTakesThreeStoreCallsEach)
{
  for (const std::string& name : mNames) {
    mSimulation.kill(name);
  }
  mSimulation.run(std::chrono::seconds(1));
  FleetSimulation restarted;
  restarted.mStore = mSimulation.mStore;
  for (const std::string& name : mNames) {
    restarted.add(name, name < "n4" ? "za" : "zb").start();
  }
  restarted.run(std::chrono::milliseconds(900));
  for (const std::string& name : mNames) {
    EXPECT_TRUE(restarted.node(name).isReady()) << name;
  }
  EXPECT_EQ(restarted.mStoreCalls, 3 * mNames.size());
}

/// Guards against peers that send complete tables to a large part of the fleet when 300 instances
/// with 3,000 targets restart together. Tables are read from the store while it is available.
TEST_F(FleetStartTest, NoPeerSendsCompleteTablesWhileTheStoreIsAvailable)
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
    << "twenty complete tables would exceed this";
}

/// The table has more rows than one response holds.
TEST_F(FleetStartTest, PeersAreFoundInATableOfSeveralPages)
{
  for (int i = 0; i < 1400; ++i) {
    mSimulation.mStore.put("bulrushrun-instances", "a" + std::to_string(i), "10.9.9.9:8005 zz");
  }
  mSimulation.kill("n1");
  mSimulation.add("n6", "za").start();
  mSimulation.run(std::chrono::seconds(1));
  EXPECT_TRUE(hasLogged("n6", "member-joined member=n5")) << "its row is on the last page";
}

} // namespace
} // namespace bulrushrun::steering_test
