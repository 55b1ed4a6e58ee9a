#include "bulrushrun/limits.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

constexpr int kSlots = 40;

/// Story: another region's traffic arrives.
struct AShift : testing::Test
{
  /// Takes in as much as is allowed. \returns how much that was.
  int fill(TimePoint aNow)
  {
    int taken = 0;
    while (mCap.tryAdmit(mRules, kSlots, aNow)) {
      ++taken;
    }
    return taken;
  }

  TrafficShiftLimiter::Rules mRules{ 0.5, 0.1 };
  TrafficShiftLimiter mCap;
  TimePoint mStart{ std::chrono::seconds(1000) };
};

TEST_F(AShift, BeginsWithWhatTheLastWindowNeededAndGrowsAtItsRate)
{
  ASSERT_TRUE(mCap.tryAdmit(mRules, kSlots, mStart));
  mCap.onFinished();
  // A quiet window takes back what had grown.
  mCap.tryAdmit(mRules, kSlots, mStart + std::chrono::seconds(11));
  int before = mCap.inUse() + fill(mStart + std::chrono::seconds(11));
  for (int second = 12; second < 16; ++second) {
    const int grown = fill(mStart + std::chrono::seconds(second));
    EXPECT_LE(grown, 4) << "10 % of 40 slots a second";
    before += grown;
  }
  EXPECT_LE(before, 20);
}

TEST_F(AShift, NeverPassesItsTotal)
{
  for (int second = 0; second < 60; ++second) {
    fill(mStart + std::chrono::seconds(second));
    ASSERT_LE(mCap.inUse(), 20);
  }
  EXPECT_EQ(mCap.inUse(), 20);
}

TEST_F(AShift, IsRefusedAltogetherWhenTheTotalIsZero)
{
  mRules.mTotal = 0;
  EXPECT_FALSE(mCap.tryAdmit(mRules, kSlots, mStart));
}

TEST_F(AShift, MayAlwaysUseOneSlotOfASmallPool)
{
  mRules.mTotal = 0.1;
  EXPECT_TRUE(mCap.tryAdmit(mRules, 3, mStart));
  EXPECT_FALSE(mCap.tryAdmit(mRules, 3, mStart + std::chrono::seconds(100)));
}

} // namespace
} // namespace bulrushrun
