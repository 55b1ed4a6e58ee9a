#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

namespace bulrushrun::steering_test {
namespace {

/// The store comes back from a copy that is some seconds old.
class OlderStoreTest : public SteeringFleetTest
{
protected:
  static constexpr Duration kSecond = std::chrono::seconds(1);

  /// Lets the store make its copy.
  void makeCopy() { mSimulation.run(2 * kSecond); }
  /// Lets the fleet learn of all writes since the copy, and then loses them.
  void loseWrites()
  {
    mSimulation.run(kBound);
    for (const std::string& name : mNames) {
      mSimulation.host(name).mLog.clear();
    }
    mSimulation.mStore.restore(kBound + kSecond);
  }
  bool allHaveLogged(const std::string& aLine)
  {
    return std::all_of(mNames.begin(), mNames.end(), [&](const std::string& aName) {
      return hasLogged(aName, aLine);
    });
  }
  bool anyHasLogged(const std::string& aLine)
  {
    return std::any_of(mNames.begin(), mNames.end(), [&](const std::string& aName) {
      return hasLogged(aName, aLine);
    });
  }
};

/// Guards against new plans that are not adopted since their rows have versions that were issued
/// before, and against a return to the plan of the copy.
TEST_F(OlderStoreTest, KeepsALostPlanAndAdoptsTheNextOneInTime)
{
  makeCopy();
  mSimulation.putPlan(2, "safe");
  for (int i = 0; i < 10; ++i) {
    mSimulation.putTarget("more" + std::to_string(i));
  }
  loseWrites();
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("store-epoch-raised epoch=1 before=0"));
  EXPECT_FALSE(anyHasLogged("plan-adopted"));
  mSimulation.putPlan(2, "safe");
  mSimulation.putPlan(3, "safe");
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("plan-adopted version=3"));
}

/// Guards against requests to a zone that was evacuated after the copy was made.
TEST_F(OlderStoreTest, KeepsALostEvacuationUntilTheOperatorEndsIt)
{
  makeCopy();
  mSimulation.mStore.put("op", "evacuate/zb", "{}");
  loseWrites();
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("row-not-followed table=operator key=evacuate/zb reason=lost"));
  EXPECT_FALSE(anyHasLogged("zone-restored"));
  mSimulation.mStore.remove("op", "evacuate/zb");
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("zone-restored zone=zb"));
}

/// Guards against losing a zone because the copy still has an evacuation that the operator ended,
/// and against ignoring the next evacuation of the zone.
TEST_F(OlderStoreTest, IgnoresAnEndedEvacuationUntilItIsWrittenAnew)
{
  mSimulation.mStore.put("op", "evacuate/zb", "{}");
  makeCopy();
  mSimulation.mStore.remove("op", "evacuate/zb");
  loseWrites();
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("row-not-followed table=operator key=evacuate/zb reason=returned"));
  EXPECT_FALSE(anyHasLogged("zone-evacuated"));
  mSimulation.mStore.put("op", "evacuate/zb", "{}");
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("zone-evacuated zone=zb"));
}

/// Guards against requests to a target that left, with or without announcing it, and against
/// ignoring it when it starts again.
TEST_F(OlderStoreTest, DoesNotUseTargetsThatLeftUntilTheyRegisterAgain)
{
  mSimulation.putTarget("t2");
  mSimulation.putTarget("t3");
  makeCopy();
  mSimulation.putTarget("t2", "draining");
  mSimulation.run(kSecond / 4);
  mSimulation.removeTarget("t2");
  mSimulation.removeTarget("t3");
  loseWrites();
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("row-not-followed table=targets key=t2 reason=returned"));
  EXPECT_FALSE(anyHasLogged("target-added"));
  mSimulation.putTarget("t2", "ready", 4, 0, "za", 2);
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("target-added target=t2"));
}

/// Guards against a target that stays unused after the copy lost its registration.
TEST_F(OlderStoreTest, UsesATargetAgainThatTheCopyLacksOnceItWritesItsRow)
{
  makeCopy();
  mSimulation.putTarget("t2");
  loseWrites();
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("target-vanished target=t2"));
  mSimulation.putTarget("t2");
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("target-added target=t2"));
}

/// Guards against an instance that stays at the older epoch, because it learns of the rise only
/// from peers, and receives the tables only from them.
TEST_F(OlderStoreTest, IsLearnedFromPeersByAnInstanceThatTheStoreRejects)
{
  makeCopy();
  mSimulation.putTarget("t2");
  mSimulation.run(kSecond / 4);
  mSimulation.mStoreUnreachableFrom = { "n2" };
  loseWrites();
  mSimulation.run(kBound);
  EXPECT_TRUE(hasLogged("n2", "target-vanished target=t2"));
  mSimulation.putPlan(2, "safe");
  mSimulation.run(kBound);
  EXPECT_TRUE(hasLogged("n2", "plan-adopted version=2"));
}

/// Guards against a fleet that gives up its tables because the store fails while they are read, and
/// against peers that ask each other without a pause for tables that none of them has.
TEST_F(OlderStoreTest, KeepsTheTablesWhileTheStoreFailsDuringTheReading)
{
  makeCopy();
  mSimulation.mStore.restore(kSecond);
  mSimulation.run(std::chrono::milliseconds(3));
  mSimulation.mStore.setErrorStatus(503);
  const std::size_t bytesBefore = mSimulation.mPeerReplicationBytes;
  mSimulation.run(2 * kBound);
  EXPECT_LT(mSimulation.mPeerReplicationBytes - bytesBefore, 14000U);
  const std::shared_ptr<RecordingResponder> responder = mSimulation.sendRequest("n1", "id-1");
  EXPECT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.mStore.setErrorStatus(std::nullopt);
  mSimulation.run(kBound);
  EXPECT_TRUE(allHaveLogged("table-replaced table=operator"));
  EXPECT_TRUE(allHaveLogged("table-replaced table=targets"));
}

/// Guards against the loss of registrations that were written after the copy was made, and against
/// peers that ignore a restarted instance because its incarnation is lower than before.
TEST_F(OlderStoreTest, RegistrationsAreWrittenAgainAndARestartedInstanceIsAccepted)
{
  mSimulation.run(10 * kSecond);
  mSimulation.add("n6", "za").start();
  mSimulation.run(kSecond);
  for (int i = 0; i < 20; ++i) {
    mSimulation.putTarget("t1");
  }
  mSimulation.add("n7", "za").start();
  loseWrites();
  mSimulation.mStore.restore(kBound + 4 * kSecond);
  ASSERT_FALSE(mSimulation.mStore.versions("bulrushrun-instances").contains("n6"));
  mSimulation.run(kBound);
  const std::map<std::string, std::uint64_t> registered =
    mSimulation.mStore.versions("bulrushrun-instances");
  EXPECT_TRUE(registered.contains("n6"));
  EXPECT_TRUE(registered.contains("n7"));
  mSimulation.kill("n7");
  mSimulation.run(15 * kSecond);
  mSimulation.host("n1").mLog.clear();
  mSimulation.mStoreUnreachableFrom.clear();
  mSimulation.add("n7", "za").start();
  mSimulation.run(kBound);
  EXPECT_TRUE(hasLogged("n1", "member-joined member=n7"));
}

/// Instances start, and the store comes back older, while rows change and responses are slow, lost,
/// or come in several pages.
class EpochConvergenceTest : public ::testing::TestWithParam<std::uint64_t>
{};

/// Guards against rows of an older epoch that stay, late responses of an older epoch that are
/// applied, and peers that mix epochs, also when two rises follow one another.
TEST_P(EpochConvergenceTest, EveryReplicaEqualsTheStoreOnceAllIsQuiet)
{
  Random random{ GetParam() };
  FleetSimulation simulation{ GetParam() };
  simulation.mStore.setMaxRowsPerRead(5);
  simulation.mMaxExtraLatency = std::chrono::milliseconds(120);
  simulation.mLostResponseShare = 0.05;
  simulation.putPlan(1, "safe");
  std::vector<std::string> names;
  std::uint64_t epoch = 0;
  for (int step = 0; step < 80; ++step) {
    if (names.size() < 6) {
      names.push_back("n" + std::to_string(names.size() + 1));
      simulation.add(names.back(), names.size() % 2 == 0 ? "za" : "zb").start();
    } else if (random.below(12) == 0) {
      simulation.mStore.restore(std::chrono::milliseconds(random.below(3000)));
      ++epoch;
    } else if (random.below(12) == 0) {
      simulation.mStoreUnreachableFrom = { names[random.below(names.size())] };
    }
    const std::string target = "t" + std::to_string(random.below(20));
    if (random.below(3) == 0) {
      simulation.mStore.remove("servers", target);
    } else {
      simulation.putTarget(target);
    }
    simulation.run(std::chrono::milliseconds(20 + random.below(150)));
  }
  simulation.mLostResponseShare = 0;
  simulation.run(std::chrono::seconds(6));
  for (const std::string& name : names) {
    const TableReplica& replica = simulation.node(name).replica(ReplicatedTable::Targets);
    std::map<std::string, std::uint64_t> rows;
    for (const StoreRow& row : replica.changesSince({})) {
      if (!row.mRemoved) {
        rows[row.mKey] = row.mVersion.value();
      }
    }
    EXPECT_EQ(replica.epoch(), StoreEpoch{ epoch }) << name;
    EXPECT_EQ(rows, simulation.mStore.versions("servers")) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, EpochConvergenceTest, ::testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace bulrushrun::steering_test
