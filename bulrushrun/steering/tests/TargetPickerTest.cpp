#include "bulrushrun/steering/tests/TargetPickerFixture.h"

#include <gtest/gtest.h>

#include <map>

namespace bulrushrun {
namespace {

class AffinityKeyTest : public TargetPickerTest
{};

TEST_F(AffinityKeyTest, WaitsAtASlightlyOverloadedPrimary)
{
  const TargetId primary = primaryOf(7);
  startAttempts(primary, 4);
  EXPECT_EQ(primaryOf(7), primary) << "a cold execution takes longer than a short wait";
}

/// Guards against cache thrashing when targets vanish under load. If their keys spread over all
/// remaining targets, every key must warm up at every target and the service never recovers.
TEST_F(AffinityKeyTest, UsesAtMostTwoTargetsWhenAllAreBusy)
{
  for (int i = 0; i < kTargets; ++i) {
    startAttempts(TargetId{ "t" + std::to_string(i) }, 2);
  }
  std::set<TargetId> used;
  for (int i = 0; i < 100; ++i) {
    const PickResult result = pickByKey(7);
    if (result.mTarget == nullptr) {
      EXPECT_EQ(result.mFailure, PickFailure::AllBusy);
      break;
    }
    used.insert(result.mTarget->mEntry.mId);
    startAttempts(result.mTarget->mEntry.mId);
  }
  EXPECT_LE(used.size(), 2U);
}

TEST_F(AffinityKeyTest, GoesToAnIdleTargetInsteadOfBeingRefused)
{
  const TargetId first = primaryOf(7);
  startAttempts(first, 9);
  const TargetId second = primaryOf(7);
  startAttempts(second, 9);
  const PickResult third = pickByKey(7);
  ASSERT_NE(third.mTarget, nullptr);
  EXPECT_NE(third.mTarget->mEntry.mId, first);
  EXPECT_NE(third.mTarget->mEntry.mId, second);
}

/// Guards against overload that outlasts its cause. A cold execution takes several times as long,
/// so keys that move from busy targets to other busy ones keep the whole service cold.
TEST_F(AffinityKeyTest, PrefersTheQueueOfItsPrimaryToOtherQueues)
{
  const TargetId primary = primaryOf(7);
  startAttempts(primary, 6);
  const TargetId secondary = primaryOf(7);
  ASSERT_NE(secondary, primary) << "the primary is overloaded and the secondary has free slots";
  startAttempts(secondary, 3);
  EXPECT_EQ(primaryOf(7), primary);
  startAttempts(primary, 3);
  const PickResult overflow = pickByKey(7);
  ASSERT_NE(overflow.mTarget, nullptr);
  EXPECT_NE(overflow.mTarget->mEntry.mId, primary) << "its queue is full";
  EXPECT_NE(overflow.mTarget->mEntry.mId, secondary);
}

/// Guards against overloading small regions. Regions of different sizes send equal load and prefer
/// their own targets, but no target may get more than the average load.
TEST_F(AffinityKeyTest, PrimaryIsInTheOwnRegionInProportionToItsTargets)
{
  constexpr int kKeys = 3000;
  const auto ownRegionFraction = [&] {
    int local = 0;
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      const ZoneName& zone = pickByKey(key).mTarget->mEntry.mZone;
      local += mContext.mZones.distance(zone) == Distance::OtherRegion ? 0 : 1;
    }
    return static_cast<double>(local) / kKeys;
  };
  EXPECT_NEAR(ownRegionFraction(), 0.6, 0.04)
    << "a third of the targets, with three times the weight";
  for (int i = 0; i < kTargets; ++i) {
    const TargetId id{ "t" + std::to_string(i) };
    if (i != 0 &&
        mContext.mZones.distance(mTable.find(id)->mEntry.mZone) != Distance::OtherRegion) {
      TargetEntry entry = mTable.find(id)->mEntry;
      entry.mDraining = true;
      mTable.update(entry, mNow);
    }
  }
  EXPECT_NEAR(ownRegionFraction(), 3.0 / 15, 0.04)
    << "one of thirteen targets: no more than the region's share of the load of three regions";
}

TEST_F(AffinityKeyTest, MovesOnlyWhenItsPrimaryIsLost)
{
  constexpr int kKeys = 2000;
  std::map<int, TargetId> before;
  for (int i = 0; i < kKeys; ++i) {
    before[i] = primaryOf(static_cast<std::uint64_t>(i));
  }
  const TargetId lost{ "t5" };
  TargetEntry entry = mTable.find(lost)->mEntry;
  entry.mDraining = true;
  mTable.update(entry, mNow);
  int moved = 0;
  int owned = 0;
  for (int i = 0; i < kKeys; ++i) {
    owned += before[i] == lost ? 1 : 0;
    moved += primaryOf(static_cast<std::uint64_t>(i)) != before[i] ? 1 : 0;
  }
  EXPECT_EQ(moved, owned);
  EXPECT_LE(owned, kKeys * 12 / (kTargets * 10) + 30);
}

class LargeResponseTest : public TargetPickerTest
{
protected:
  PickResult pickLarge(std::uint64_t aKey)
  {
    PickQuery query;
    query.mAffinity = Affinity::Key;
    query.mLargeResponse = true;
    query.mAffinityKey = mixBits(aKey);
    return pick(query);
  }
};

TEST_F(LargeResponseTest, ComesFromTheLocalReplicaWhileItHasAFreeSlot)
{
  for (std::uint64_t key = 0; key < 50; ++key) {
    EXPECT_EQ(pickLarge(key).mTarget->mEntry.mZone, ZoneName{ "z0" });
  }
}

/// Guards against overloading a zone with few targets. If each had to serve all keys of its zone,
/// it would be cold for most of them and its queue would be full.
TEST_F(LargeResponseTest, LocalReplicasAreLimitedByTheSlotsOfTheZone)
{
  for (const char* other : { "t6", "t12" }) {
    TargetEntry entry = mTable.find(TargetId{ other })->mEntry;
    entry.mDraining = true;
    mTable.update(entry, mNow);
  }
  constexpr int kKeys = 2000;
  double local = 0;
  for (std::uint64_t key = 0; key < kKeys; ++key) {
    const PickResult result = pickLarge(key);
    const bool primary = result.mTarget->mEntry.mId == primaryOf(key);
    local += result.mTarget->mEntry.mZone == ZoneName{ "z0" } && !primary ? 1.0 / kKeys : 0;
  }
  EXPECT_LE(local, 6.0 / 16) << "one of sixteen targets serves one of six zones";
  EXPECT_GE(local, 0.7 * 6.0 / 16);
}

/// The zone has too few targets for its callers.
TEST_F(LargeResponseTest, ComesFromThePrimaryWhenTheZoneHasNoFreeSlot)
{
  const std::uint64_t key = 4;
  const TargetId primary = primaryOf(key);
  ASSERT_NE(mTable.find(primary)->mEntry.mZone, ZoneName{ "z0" });
  startAttempts(pickLarge(key).mTarget->mEntry.mId, 3);
  EXPECT_EQ(pickLarge(key).mTarget->mEntry.mId, primary);
}

class FailingTargetTest : public TargetPickerTest
{
protected:
  void recordResults(const TargetId& aTarget, AttemptResult aResult, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mPicker.stats(aTarget).onAttemptStarted(mNow);
      mPicker.stats(aTarget).onEnd(aResult, mNow);
    }
  }
};

TEST_F(FailingTargetTest, IsEjectedAfterTwoInterruptedAttemptsAndReturnsOnProbation)
{
  const TargetId primary = primaryOf(7);
  recordResults(primary, AttemptResult::Broken, 2);
  EXPECT_NE(primaryOf(7), primary);
  mNow += std::chrono::milliseconds(1100);
  EXPECT_EQ(primaryOf(7), primary);
  startAttempts(primary);
  EXPECT_NE(primaryOf(7), primary) << "only one request at a time during probation";
}

TEST_F(FailingTargetTest, IsEjectedAtAHighFailureRate)
{
  const TargetId primary = primaryOf(7);
  for (int i = 0; i < 8; ++i) {
    recordResults(primary, AttemptResult::FailedAnswer, 1);
  }
  EXPECT_NE(primaryOf(7), primary);
}

TEST_F(FailingTargetTest, IsNotEjectedForDecliningWhenFull)
{
  const TargetId primary = primaryOf(7);
  recordResults(primary, AttemptResult::Full, 20);
  EXPECT_EQ(primaryOf(7), primary);
}

TEST_F(FailingTargetTest, IsEjectedForDecliningWithFreeSlots)
{
  const TargetId primary = primaryOf(7);
  recordResults(primary, AttemptResult::Declined, 8);
  EXPECT_NE(primaryOf(7), primary);
}

TEST_F(FailingTargetTest, IsStillUsedWhenMostTargetsFail)
{
  for (int i = 0; i < kTargets; ++i) {
    recordResults(TargetId{ "t" + std::to_string(i) }, AttemptResult::Broken, 2);
  }
  EXPECT_NE(pickByKey(7).mTarget, nullptr);
}

class EvacuatedZoneTest : public TargetPickerTest
{};

TEST_F(EvacuatedZoneTest, GetsNoRequests)
{
  mContext.mEvacuated = { ZoneName{ "z0" } };
  for (std::uint64_t key = 0; key < 200; ++key) {
    EXPECT_NE(pickByKey(key).mTarget->mEntry.mZone, ZoneName{ "z0" });
  }
}

class HomeRegionTest : public TargetPickerTest
{};

TEST_F(HomeRegionTest, RequestIsServedOnlyInItsHomeRegions)
{
  PickQuery query;
  query.mHomeRegions = { RegionName{ "r1" } };
  for (int i = 0; i < 12; ++i) {
    const PickResult result = pick(query);
    ASSERT_NE(result.mTarget, nullptr);
    EXPECT_EQ(mContext.mZones.regionOf(result.mTarget->mEntry.mZone), RegionName{ "r1" });
    startAttempts(result.mTarget->mEntry.mId);
  }
}

} // namespace
} // namespace bulrushrun
