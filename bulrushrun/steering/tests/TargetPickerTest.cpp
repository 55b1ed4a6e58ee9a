#include "bulrushrun/steering/tests/TargetPickerFixture.h"

#include <gtest/gtest.h>

#include <map>

namespace bulrushrun {
namespace {

class AWarmObject : public TargetPickerTest
{};

TEST_F(AWarmObject, WaitsAtItsTargetWhileThatIsALittleOverFull)
{
  const TargetId home = primaryOf(7);
  send(home, 4);
  EXPECT_EQ(primaryOf(7), home) << "a cold target takes longer than a short wait";
}

/// The pattern of the heaviest days: some targets vanish under load. Their objects must not spread
/// over all that are left, or each has to warm up everywhere and the service never recovers.
TEST_F(AWarmObject, SpreadsOverTwoTargetsAtMostWhenAllAreBusy)
{
  for (int i = 0; i < kTargets; ++i) {
    send(TargetId{ "t" + std::to_string(i) }, 2);
  }
  std::set<TargetId> used;
  for (int i = 0; i < 100; ++i) {
    const PickResult choice = pickObject(7);
    if (choice.mTarget == nullptr) {
      EXPECT_EQ(choice.mFailure, PickFailure::AllBusy);
      break;
    }
    used.insert(choice.mTarget->mEntry.mId);
    send(choice.mTarget->mEntry.mId);
  }
  EXPECT_LE(used.size(), 2U);
}

TEST_F(AWarmObject, GoesToAnIdleTargetRatherThanBeRefused)
{
  const TargetId first = primaryOf(7);
  send(first, 9);
  const TargetId second = primaryOf(7);
  send(second, 9);
  const PickResult third = pickObject(7);
  ASSERT_NE(third.mTarget, nullptr);
  EXPECT_NE(third.mTarget->mEntry.mId, first);
  EXPECT_NE(third.mTarget->mEntry.mId, second);
}

/// The pattern of overload that outlasts its cause: a cold run takes several times as long, so that
/// objects which leave busy targets for other busy ones keep the whole service cold.
TEST_F(AWarmObject, WaitsLongerAtItsTargetRatherThanInAnotherTargetsQueue)
{
  const TargetId home = primaryOf(7);
  send(home, 5);
  const TargetId spare = primaryOf(7);
  ASSERT_NE(spare, home) << "over full, and the next one is free";
  send(spare, 3);
  EXPECT_EQ(primaryOf(7), home);
  send(home, 4);
  const PickResult beyond = pickObject(7);
  ASSERT_NE(beyond.mTarget, nullptr);
  EXPECT_NE(beyond.mTarget->mEntry.mId, home) << "its queue is full";
  EXPECT_NE(beyond.mTarget->mEntry.mId, spare);
}

/// The pattern of regions of different sizes that ask alike: each prefers its own targets, and none
/// gets more than the average load.
TEST_F(AWarmObject, IsMostlyAtHomeInTheOwnRegionAsFarAsThatHasTargets)
{
  constexpr int kObjects = 3000;
  const auto shareOfOwnRegion = [&] {
    int near = 0;
    for (std::uint64_t object = 0; object < kObjects; ++object) {
      const ZoneName& zone = pickObject(object).mTarget->mEntry.mZone;
      near += mContext.mZones.distance(zone) == Distance::OtherRegion ? 0 : 1;
    }
    return static_cast<double>(near) / kObjects;
  };
  EXPECT_NEAR(shareOfOwnRegion(), 0.6, 0.04) << "a third of the targets, weighing three times";
  for (int i = 0; i < kTargets; ++i) {
    const TargetId id{ "t" + std::to_string(i) };
    if (i != 0 &&
        mContext.mZones.distance(mTable.find(id)->mEntry.mZone) != Distance::OtherRegion) {
      TargetEntry entry = mTable.find(id)->mEntry;
      entry.mDraining = true;
      mTable.update(entry, mNow);
    }
  }
  EXPECT_NEAR(shareOfOwnRegion(), 3.0 / 15, 0.04)
    << "one of thirteen targets: no more than the region's part of the load over three regions";
}

TEST_F(AWarmObject, MovesOnlyIfItsOwnTargetIsLost)
{
  constexpr int kObjects = 2000;
  std::map<int, TargetId> before;
  for (int i = 0; i < kObjects; ++i) {
    before[i] = primaryOf(static_cast<std::uint64_t>(i));
  }
  const TargetId lost{ "t5" };
  TargetEntry entry = mTable.find(lost)->mEntry;
  entry.mDraining = true;
  mTable.update(entry, mNow);
  int moved = 0;
  int owned = 0;
  for (int i = 0; i < kObjects; ++i) {
    owned += before[i] == lost ? 1 : 0;
    moved += primaryOf(static_cast<std::uint64_t>(i)) != before[i] ? 1 : 0;
  }
  EXPECT_EQ(moved, owned);
  EXPECT_LE(owned, kObjects * 12 / (kTargets * 10) + 30);
}

class ALargeAnswer : public TargetPickerTest
{
protected:
  PickResult pickLarge(std::uint64_t aObject)
  {
    PickQuery query;
    query.mAffinity = Affinity::Key;
    query.mLargeResponse = true;
    query.mAffinityKey = mixBits(aObject);
    return pick(query);
  }
};

TEST_F(ALargeAnswer, ComesFromTheOwnZoneWhileTheObjectsTargetThereHasASlot)
{
  for (std::uint64_t object = 0; object < 50; ++object) {
    EXPECT_EQ(pickLarge(object).mTarget->mEntry.mZone, ZoneName{ "z0" });
  }
}

/// The pattern of a region with few targets, each of which would have to keep all objects of its
/// zone: it would be cold for most of them, and its queue full.
TEST_F(ALargeAnswer, ComesFromTheOwnZoneOnlyForAsManyObjectsAsItsTargetsCanCarry)
{
  for (const char* other : { "t6", "t12" }) {
    TargetEntry entry = mTable.find(TargetId{ other })->mEntry;
    entry.mDraining = true;
    mTable.update(entry, mNow);
  }
  constexpr int kObjects = 2000;
  double near = 0;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    const PickResult choice = pickLarge(object);
    const bool home = choice.mTarget->mEntry.mId == primaryOf(object);
    near += choice.mTarget->mEntry.mZone == ZoneName{ "z0" } && !home ? 1.0 / kObjects : 0;
  }
  EXPECT_LE(near, 6.0 / 16) << "one of sixteen targets, for one of six zones";
  EXPECT_GE(near, 0.7 * 6.0 / 16);
}

/// The pattern of a zone with too few targets for its callers.
TEST_F(ALargeAnswer, ComesFromTheObjectsHomeWhenTheZoneHasNoSlot)
{
  const std::uint64_t object = 4;
  const TargetId home = primaryOf(object);
  ASSERT_NE(mTable.find(home)->mEntry.mZone, ZoneName{ "z0" });
  send(pickLarge(object).mTarget->mEntry.mId, 3);
  EXPECT_EQ(pickLarge(object).mTarget->mEntry.mId, home);
}

class AFailingTarget : public TargetPickerTest
{
protected:
  void fail(const TargetId& aTarget, AttemptResult aResult, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mPicker.stats(aTarget).onSent(mNow);
      mPicker.stats(aTarget).onEnd(aResult, mNow);
    }
  }
};

TEST_F(AFailingTarget, IsEjectedAfterTwoSilentFailuresAndComesBackOnProbation)
{
  const TargetId home = primaryOf(7);
  fail(home, AttemptResult::Broken, 2);
  EXPECT_NE(primaryOf(7), home);
  mNow += std::chrono::milliseconds(1100);
  EXPECT_EQ(primaryOf(7), home);
  send(home);
  EXPECT_NE(primaryOf(7), home) << "one request at a time proves it";
}

TEST_F(AFailingTarget, IsEjectedWhenItFailsALargePartOfItsRequests)
{
  const TargetId home = primaryOf(7);
  for (int i = 0; i < 8; ++i) {
    fail(home, AttemptResult::FailedAnswer, 1);
  }
  EXPECT_NE(primaryOf(7), home);
}

TEST_F(AFailingTarget, IsNotEjectedForDecliningWhatItHasNoRoomFor)
{
  const TargetId home = primaryOf(7);
  fail(home, AttemptResult::Full, 20);
  EXPECT_EQ(primaryOf(7), home);
}

TEST_F(AFailingTarget, IsEjectedWhenItDeclinesThoughItHasRoom)
{
  const TargetId home = primaryOf(7);
  fail(home, AttemptResult::Declined, 8);
  EXPECT_NE(primaryOf(7), home);
}

TEST_F(AFailingTarget, IsStillUsedWhenMostOfThemFail)
{
  for (int i = 0; i < kTargets; ++i) {
    fail(TargetId{ "t" + std::to_string(i) }, AttemptResult::Broken, 2);
  }
  EXPECT_NE(pickObject(7).mTarget, nullptr);
}

class AnEvacuatedZone : public TargetPickerTest
{};

TEST_F(AnEvacuatedZone, GetsNothing)
{
  mContext.mEvacuated = { ZoneName{ "z0" } };
  for (std::uint64_t object = 0; object < 200; ++object) {
    EXPECT_NE(pickObject(object).mTarget->mEntry.mZone, ZoneName{ "z0" });
  }
}

class ARouteWithHomes : public TargetPickerTest
{};

TEST_F(ARouteWithHomes, IsServedThereOnly)
{
  PickQuery query;
  query.mHomeRegions = { RegionName{ "r1" } };
  for (int i = 0; i < 12; ++i) {
    const PickResult choice = pick(query);
    ASSERT_NE(choice.mTarget, nullptr);
    EXPECT_EQ(mContext.mZones.regionOf(choice.mTarget->mEntry.mZone), RegionName{ "r1" });
    send(choice.mTarget->mEntry.mId);
  }
}

} // namespace
} // namespace bulrushrun
