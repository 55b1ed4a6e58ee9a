#include "bulrushrun/store/StoreClock.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

/// The store's clock is 5,000 ms behind the local one.
class StoreClockTest : public ::testing::Test
{
protected:
  TimePoint at(int aMillis) const
  {
    return TimePoint{ 100'000 * kMillisecond + aMillis * kMillisecond };
  }
  std::optional<Duration> storeTime(int aMillis) const
  {
    return at(aMillis).time_since_epoch() - 5'000 * kMillisecond;
  }

  StoreClock mClock;
};

/// Guards against a response that counts as fresh although it was under way for long.
TEST_F(StoreClockTest, ALateResponseCountsFromWhenItWasMade)
{
  EXPECT_EQ(mClock.madeAt(storeTime(2), at(0), at(4)), at(4)) << "the first one sets the offset";
  EXPECT_EQ(mClock.madeAt(storeTime(100), at(50), at(1100)), at(102));
}

TEST_F(StoreClockTest, AQuickerResponseImprovesTheEstimate)
{
  mClock.madeAt(storeTime(2), at(0), at(40));
  EXPECT_EQ(mClock.madeAt(storeTime(102), at(100), at(104)), at(104));
  EXPECT_EQ(mClock.madeAt(storeTime(200), at(150), at(900)), at(202));
}

/// Guards against estimates that stay wrong after the store was replaced.
TEST_F(StoreClockTest, AClockThatStartedAnewIsFollowed)
{
  mClock.madeAt(storeTime(2), at(0), at(4));
  EXPECT_EQ(mClock.madeAt(Duration{ 0 }, at(1000), at(1010)), at(1000))
    << "never before its request";
  EXPECT_EQ(mClock.madeAt(10 * kMillisecond, at(1012), at(1200)), at(1020));
}

TEST_F(StoreClockTest, WithoutAStatedTimeTheArrivalCounts)
{
  EXPECT_EQ(mClock.madeAt(std::nullopt, at(0), at(700)), at(700));
}

} // namespace
} // namespace bulrushrun
