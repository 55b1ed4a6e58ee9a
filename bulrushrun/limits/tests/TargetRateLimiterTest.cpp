#include "bulrushrun/limits/TargetRateLimiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace bulrushrun {
namespace {

const TargetId kTarget{ "t" };
constexpr std::uint64_t kHash = 77;
constexpr Incarnation kIncarnation{ 1 };

/// Random numbers of instances, rates and demands; all instances know the rate from the start.
class TargetRateLimiterTest : public ::testing::TestWithParam<std::uint64_t>
{
protected:
  TargetRateLimiterTest()
    : mRandom(GetParam())
    , mLimiters(1 + mRandom.below(200))
    , mRate(mRandom.chance(0.1) ? 0 : mRandom.exponential(5))
  {
    std::vector<std::uint64_t> hashes;
    for (std::size_t i = 0; i < mLimiters.size(); ++i) {
      hashes.push_back(mixBits(GetParam() * 1000 + i));
    }
    for (const std::uint64_t hash : hashes) {
      mQuotas.emplace_back(hash, hashes);
    }
    nameRate();
  }
  void nameRate()
  {
    for (TargetRateLimiter& limiter : mLimiters) {
      limiter.setLimit(kTarget, kIncarnation, mRate, mRandom.unit(), mNow);
    }
  }
  /// Each instance that wants to send asks; the sum over a window of 4 s at the target is checked.
  void demand(double aShare)
  {
    for (std::size_t i = 0; i < mLimiters.size(); ++i) {
      if (mRandom.chance(aShare) &&
          mLimiters[i].admit(kTarget, kHash, kIncarnation, mQuotas[i], mNow)) {
        mArrivals.push_back(mNow);
      }
    }
    while (!mArrivals.empty() && mNow - mArrivals.front() >= std::chrono::seconds(4)) {
      mArrivals.pop_front();
    }
    mMost = std::max(mMost, mArrivals.size());
  }

  Random mRandom;
  TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<TargetRateLimiter> mLimiters;
  std::vector<TargetQuota> mQuotas;
  double mRate;
  std::deque<TimePoint> mArrivals;
  std::size_t mMost = 0;
};

/// Guards against a sum over all instances that exceeds the rate, also after a time without demand
/// in which each instance has something left.
TEST_P(TargetRateLimiterTest, SumStaysWithinTheRateUnderAnyDemand)
{
  constexpr int kSteps = 3000;
  double share = 0;
  for (int step = 0; step < kSteps; ++step) {
    if (mRandom.chance(0.02)) {
      share = mRandom.chance(0.3) ? 0 : mRandom.unit();
    }
    demand(share);
    mNow += std::chrono::milliseconds(50);
  }
  EXPECT_LE(static_cast<double>(mMost), 1.5 * mRate * 4 + 5)
    << mLimiters.size() << " instances, rate " << mRate;
}

INSTANTIATE_TEST_SUITE_P(Seeds, TargetRateLimiterTest, ::testing::Range<std::uint64_t>(1, 41));

/// Guards against an end that an older response announces, and against one that is missed.
TEST(TargetRateLimiterEndTest, OnlyAResponseToALaterRequestEndsTheLimit)
{
  const TimePoint now{ std::chrono::seconds(10) };
  TargetRateLimiter limiter;
  EXPECT_TRUE(limiter.setLimit(kTarget, kIncarnation, 4, 0, now));
  EXPECT_FALSE(limiter.setLimit(kTarget, kIncarnation, 4.5, 0, now)) << "a small change";
  EXPECT_TRUE(limiter.setLimit(kTarget, kIncarnation, 9, 0, now)) << "a large change";
  EXPECT_FALSE(limiter.onNoLimit(kTarget, now - std::chrono::milliseconds(1)));
  EXPECT_TRUE(limiter.onNoLimit(kTarget, now + std::chrono::milliseconds(1)));
  EXPECT_FALSE(limiter.onNoLimit(kTarget, now + std::chrono::milliseconds(2)));
  EXPECT_TRUE(limiter.admit(kTarget, kHash, kIncarnation, {}, now));
}

/// Guards against sending without a quota: an instance that does not know the others sends nothing
/// to a target that named a rate.
TEST(TargetRateLimiterEndTest, InstanceThatKnowsNoOtherSendsNothing)
{
  TargetRateLimiter limiter;
  const TimePoint now{ std::chrono::seconds(10) };
  limiter.setLimit(kTarget, kIncarnation, 4, 0, now);
  EXPECT_FALSE(limiter.admit(kTarget, kHash, kIncarnation, {}, now));
  EXPECT_TRUE(limiter.admit(kTarget, kHash, Incarnation{ 2 }, {}, now)) << "another incarnation";
}

} // namespace
} // namespace bulrushrun
