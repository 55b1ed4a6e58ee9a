#include "bulrushrun/steering/tests/TargetPickerFixture.h"

namespace bulrushrun {
namespace {

/// Story: targets whose registrations vanish.
class VanishedTargets : public TargetPickerTest
{
protected:
  void vanish(int aFirst, int aLast)
  {
    for (int i = aFirst; i < aLast; ++i) {
      mTable.remove(TargetId{ "t" + std::to_string(i) }, mNow);
    }
  }
  std::size_t usable() const { return mTable.usable(ServiceName{ "s" }, mNow).size(); }
};

TEST_F(VanishedTargets, GetNothingWhenFewAreGone)
{
  vanish(0, 4);
  EXPECT_EQ(usable(), 14U);
}

TEST_F(VanishedTargets, AreALastResortForAWhileWhenMostAreGone)
{
  vanish(0, 14);
  EXPECT_EQ(usable(), 18U) << "the store may have been away, and heartbeats lost";
  mNow += TargetTable::kVanishedGracePeriod;
  mTable.sweep(mNow);
  EXPECT_EQ(usable(), 4U);
}

TEST_F(VanishedTargets, ThatAnnouncedTheirDepartureGetNothingAtOnce)
{
  for (int i = 0; i < 14; ++i) {
    TargetEntry entry = mTable.find(TargetId{ "t" + std::to_string(i) })->mEntry;
    entry.mDraining = true;
    EXPECT_EQ(mTable.update(entry, mNow), TargetTable::Change::Draining);
    entry.mDraining = false;
    mTable.update(entry, mNow);
  }
  vanish(0, 14);
  EXPECT_EQ(usable(), 4U);
}

/// The pattern of a store that was away for long: registrations lapsed, and come back together.
TEST_F(VanishedTargets, AreNotNewWhenTheyRegisterAgainInTheSameLife)
{
  TargetEntry entry = mTable.find(TargetId{ "t1" })->mEntry;
  entry.mIncarnation = Incarnation{ 5 };
  mTable.update(entry, mNow);
  mNow += std::chrono::minutes(1);
  mTable.remove(entry.mId, mNow);
  mNow += TargetTable::kVanishedGracePeriod;
  mTable.sweep(mNow);
  ASSERT_EQ(mTable.find(entry.mId), nullptr);
  const TimePoint joined = mNow - std::chrono::minutes(1) - TargetTable::kVanishedGracePeriod;
  mTable.update(entry, mNow);
  EXPECT_EQ(mTable.find(entry.mId)->mRegisteredAt, joined);
  mTable.remove(entry.mId, mNow);
  mTable.sweep(mNow + TargetTable::kVanishedGracePeriod);
  entry.mIncarnation = Incarnation{ 6 };
  mTable.update(entry, mNow);
  EXPECT_EQ(mTable.find(entry.mId)->mRegisteredAt, mNow) << "a new life is cold";
}

TEST_F(VanishedTargets, AreAnotherLifeWhenTheyStartAnew)
{
  TargetEntry entry = mTable.find(TargetId{ "t1" })->mEntry;
  entry.mDraining = true;
  mTable.update(entry, mNow);
  entry.mDraining = false;
  entry.mIncarnation = Incarnation{ 5 };
  EXPECT_EQ(mTable.update(entry, mNow), TargetTable::Change::Restarted);
  EXPECT_EQ(usable(), 18U);
}

} // namespace
} // namespace bulrushrun
