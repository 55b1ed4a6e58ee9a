#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

namespace bulrushrun::steering_test {
namespace {

constexpr Duration kBound = std::chrono::milliseconds(2500);

/// The whole fleet restarts while rows change, and nobody follows the change feed yet.
class LostRowsTest : public ::testing::Test
{
protected:
  LostRowsTest()
  {
    mSimulation.putPlan(1, "safe");
    mSimulation.putTarget("t1");
    mSimulation.putTarget("t2");
    mSimulation.mStore.put("op", "evacuate/zb", "{}");
  }
  bool hasLogged(const std::string& aInstance, const std::string& aLine)
  {
    const std::vector<std::string>& log = mSimulation.host(aInstance).mLog;
    return std::any_of(
      log.begin(), log.end(), [&](const std::string& aEntry) { return aEntry.starts_with(aLine); });
  }
  void startOthers()
  {
    for (const char* name : { "n2", "n3", "n4", "n5" }) {
      mSimulation.add(name, "za").start();
    }
  }

  FleetSimulation mSimulation;
};

/// Guards against requests to a target that has gone, at an instance that read the targets before
/// the removal and learns changes from one that read them after it.
TEST_F(LostRowsTest, RemovalOfATargetIsLearnedByAnInstanceThatReadTheTableBefore)
{
  mSimulation.add("n1", "za").start();
  mSimulation.run(std::chrono::milliseconds(100));
  ASSERT_TRUE(hasLogged("n1", "instance-ready version=1 targets=2"));
  mSimulation.mStore.remove("servers", "t2");
  startOthers();
  mSimulation.run(kBound);
  EXPECT_TRUE(hasLogged("n1", "target-vanished target=t2"));
}

/// Guards against a zone that stays evacuated at one instance after the operator took it back.
TEST_F(LostRowsTest, EndOfAnEvacuationIsLearnedByAnInstanceThatReadTheTableBefore)
{
  mSimulation.add("n1", "za").start();
  mSimulation.run(std::chrono::milliseconds(100));
  ASSERT_TRUE(hasLogged("n1", "zone-evacuated zone=zb"));
  mSimulation.mStore.remove("op", "evacuate/zb");
  startOthers();
  mSimulation.run(kBound);
  EXPECT_TRUE(hasLogged("n1", "zone-restored zone=zb"));
}

/// Guards against the same loss while the store rejects the instance, so that only peers can tell.
TEST_F(LostRowsTest, RemovalIsLearnedFromPeersWhileTheStoreRejectsTheInstance)
{
  mSimulation.add("n1", "za").start();
  mSimulation.run(std::chrono::milliseconds(100));
  mSimulation.mStoreUnreachableFrom = { "n1" };
  mSimulation.mStore.remove("servers", "t2");
  startOthers();
  mSimulation.run(2 * kBound);
  EXPECT_TRUE(hasLogged("n1", "target-vanished target=t2"));
}

/// Instances start, fail and start anew while rows are added, changed and removed; responses are
/// slow, lost, or come in several pages.
class ReplicaConvergenceTest : public ::testing::TestWithParam<std::uint64_t>
{
protected:
  ReplicaConvergenceTest()
  {
    mSimulation.mStore.setMaxRowsPerRead(5);
    mSimulation.mMaxExtraLatency = std::chrono::milliseconds(120);
    mSimulation.mLostResponseShare = 0.05;
    mSimulation.putPlan(1, "safe");
    for (int i = 0; i < 20; ++i) {
      mSimulation.putTarget(randomTarget());
    }
  }
  std::string randomTarget() { return "t" + std::to_string(mRandom.below(30)); }
  void changeARow()
  {
    const std::uint64_t choice = mRandom.below(10);
    if (choice < 4) {
      mSimulation.mStore.remove("servers", randomTarget());
    } else if (choice < 9) {
      mSimulation.putTarget(randomTarget(), choice < 6 ? "draining" : "ready");
    } else if (mRandom.below(2) == 0) {
      mSimulation.mStore.put("op", "evacuate/zb", "{}");
    } else {
      mSimulation.mStore.remove("op", "evacuate/zb");
    }
  }
  void startAnInstance()
  {
    const std::string name = "n" + std::to_string(++mStarted);
    mSimulation.add(name, mStarted % 2 == 0 ? "za" : "zb").start();
    mRunning.push_back(name);
  }
  std::map<std::string, std::uint64_t> rowsOf(const std::string& aInstance, ReplicatedTable aTable)
  {
    std::map<std::string, std::uint64_t> rows;
    for (const StoreRow& row : mSimulation.node(aInstance).replica(aTable).changesSince({})) {
      if (!row.mRemoved) {
        rows[row.mKey] = row.mVersion.value();
      }
    }
    return rows;
  }

  Random mRandom{ GetParam() };
  FleetSimulation mSimulation{ GetParam() };
  std::vector<std::string> mRunning;
  int mStarted = 0;
};

/// Guards against rows that a replica never learns, whatever the order of reads, feeds and peers.
TEST_P(ReplicaConvergenceTest, EveryReplicaEqualsTheStoreOnceAllIsQuiet)
{
  constexpr int kSteps = 60;
  constexpr std::size_t kInstances = 8;
  for (int step = 0; step < kSteps; ++step) {
    if (mRunning.size() < kInstances) {
      startAnInstance();
    } else if (mRandom.below(10) == 0) {
      const std::size_t failed = mRandom.below(mRunning.size());
      mSimulation.kill(mRunning[failed]);
      mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(failed));
    } else if (mRandom.below(40) == 0) {
      mSimulation.mStore.compact();
    }
    changeARow();
    mSimulation.run(std::chrono::milliseconds(20 + mRandom.below(150)));
  }
  mSimulation.mLostResponseShare = 0;
  mSimulation.run(std::chrono::seconds(5));
  for (const std::string& name : mRunning) {
    EXPECT_EQ(rowsOf(name, ReplicatedTable::Targets), mSimulation.mStore.versions("servers"))
      << name;
    EXPECT_EQ(rowsOf(name, ReplicatedTable::Operator), mSimulation.mStore.versions("op")) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReplicaConvergenceTest, ::testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace bulrushrun::steering_test
