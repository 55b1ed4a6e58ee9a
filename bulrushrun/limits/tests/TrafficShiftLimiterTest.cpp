#include "bulrushrun/limits.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

constexpr int kSlots = 40;

struct TrafficShiftLimiterTest : testing::Test
{
  /// Admits as many requests as allowed. \returns their number.
  int fill(TimePoint aNow)
  {
    int admitted = 0;
    while (mLimiter.tryAdmit(mRules, kSlots, aNow)) {
      ++admitted;
    }
    return admitted;
  }

  TrafficShiftLimiter::Rules mRules{ 0.5, 0.1 };
  TrafficShiftLimiter mLimiter;
  TimePoint mStart{ std::chrono::seconds(1000) };
};

TEST_F(TrafficShiftLimiterTest, StartsAtTheUseOfTheLastWindowAndGrowsAtTheConfiguredRate)
{
  ASSERT_TRUE(mLimiter.tryAdmit(mRules, kSlots, mStart));
  mLimiter.onFinished();
  // An unused window withdraws the allowance that had grown.
  mLimiter.tryAdmit(mRules, kSlots, mStart + std::chrono::seconds(11));
  int before = mLimiter.inUse() + fill(mStart + std::chrono::seconds(11));
  for (int second = 12; second < 16; ++second) {
    const int grown = fill(mStart + std::chrono::seconds(second));
    EXPECT_LE(grown, 4) << "10 % of 40 slots a second";
    before += grown;
  }
  EXPECT_LE(before, 20);
}

TEST_F(TrafficShiftLimiterTest, NeverExceedsTheTotal)
{
  for (int second = 0; second < 60; ++second) {
    fill(mStart + std::chrono::seconds(second));
    ASSERT_LE(mLimiter.inUse(), 20);
  }
  EXPECT_EQ(mLimiter.inUse(), 20);
}

TEST_F(TrafficShiftLimiterTest, AdmitsNothingWhenTheTotalIsZero)
{
  mRules.mTotal = 0;
  EXPECT_FALSE(mLimiter.tryAdmit(mRules, kSlots, mStart));
}

TEST_F(TrafficShiftLimiterTest, AdmitsOneRequestInASmallPool)
{
  mRules.mTotal = 0.1;
  EXPECT_TRUE(mLimiter.tryAdmit(mRules, 3, mStart));
  EXPECT_FALSE(mLimiter.tryAdmit(mRules, 3, mStart + std::chrono::seconds(100)));
}

} // namespace
} // namespace bulrushrun
