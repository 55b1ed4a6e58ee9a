#include "bulrushrun/limits.h"

#include <gtest/gtest.h>

#include <vector>

namespace bulrushrun {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);

/// Story: ten instances share bounds of which none knows the sum.
TEST(TheRetryBudget, HoldsForTheSumOfAllInstances)
{
  constexpr std::size_t kInstances = 10;
  const RetryBound bound{ 0.2, 60, std::chrono::seconds(10) };
  std::vector<RetryShare> shares(kInstances);
  TimePoint now{ std::chrono::seconds(50) };
  std::vector<TimePoint> fresh;
  std::vector<TimePoint> spent;
  for (int tick = 0; tick < 3000; ++tick) {
    now += kTick;
    RetryShare& share = shares[static_cast<std::size_t>(tick) % kInstances];
    share.onFresh(now);
    fresh.push_back(now);
    // Every request fails and wants to be repeated.
    if (share.spend(bound, kInstances, now)) {
      spent.push_back(now);
    }
  }
  for (TimePoint from{ std::chrono::seconds(60) }; from + bound.mWindow < now; from += 10 * kTick) {
    const auto within = [&](TimePoint aTime) {
      return aTime >= from && aTime < from + bound.mWindow;
    };
    const double requests = static_cast<double>(std::count_if(fresh.begin(), fresh.end(), within));
    const double repeats = static_cast<double>(std::count_if(spent.begin(), spent.end(), within));
    EXPECT_LE(repeats, bound.mRatio * requests + bound.mSlack);
    EXPECT_GE(repeats, 0.5 * (bound.mRatio * requests + bound.mSlack)) << "most of it is usable";
  }
}

TEST(TheRetryBudget, ForgetsWhatWasSpentLongAgo)
{
  const RetryBound bound{ 0, 10, std::chrono::seconds(10) };
  RetryShare share;
  TimePoint now{ std::chrono::seconds(50) };
  while (share.spend(bound, 1, now)) {
  }
  now += std::chrono::seconds(100);
  EXPECT_TRUE(share.spend(bound, 1, now));
}

/// Story: a target is cold, and every instance has more for it than it can take.
class TheBoundOnAColdTarget : public ::testing::TestWithParam<std::size_t>
{
protected:
  static constexpr double kBound = 10.4;

  /// Lets all instances send for ten seconds, each with the given view of the others.
  void sendAll(std::vector<ColdAdmission>& aShares)
  {
    for (int tick = 0; tick < 10000; ++tick) {
      mNow += std::chrono::milliseconds(1);
      if (aShares[static_cast<std::size_t>(tick) % aShares.size()].admit(mTarget, kBound, mNow)) {
        mSent.push_back(mNow);
      }
    }
  }
  void expectBound() const
  {
    for (const TimePoint from : mSent) {
      const std::ptrdiff_t count = std::count_if(mSent.begin(), mSent.end(), [&](TimePoint aTime) {
        return aTime >= from && aTime < from + std::chrono::seconds(1);
      });
      EXPECT_LE(static_cast<double>(count), kBound);
    }
  }

  const TargetId mTarget{ "t" };
  std::vector<TimePoint> mSent;
  TimePoint mNow{ std::chrono::seconds(50) };
};

TEST_P(TheBoundOnAColdTarget, HoldsForTheSumOfAllInstances)
{
  std::vector<std::uint64_t> all;
  for (std::uint64_t i = 0; i < GetParam(); ++i) {
    all.push_back(mixBits(i));
  }
  std::vector<ColdAdmission> shares(GetParam());
  for (std::size_t i = 0; i < shares.size(); ++i) {
    shares[i].setInstances(all, all[i]);
  }
  sendAll(shares);
  expectBound();
  EXPECT_GT(mSent.size(), 40U) << "it warms up on some";
}

TEST_P(TheBoundOnAColdTarget, HoldsWhileOneInstanceIsNotKnownToTheOthers)
{
  std::vector<std::uint64_t> all;
  for (std::uint64_t i = 0; i < GetParam() + 1; ++i) {
    all.push_back(mixBits(i));
  }
  const std::vector<std::uint64_t> old{ all.begin(), all.end() - 1 };
  std::vector<ColdAdmission> shares(all.size());
  for (std::size_t i = 0; i < shares.size(); ++i) {
    shares[i].setInstances(i + 1 == shares.size() ? all : old, all[i]);
  }
  sendAll(shares);
  expectBound();
}

INSTANTIATE_TEST_SUITE_P(FleetsOf, TheBoundOnAColdTarget, ::testing::Values(3, 10, 68, 300));

TEST(AnInstanceThatDoesNotKnowTheOthers, SendsNothingToColdTargets)
{
  ColdAdmission share;
  EXPECT_FALSE(share.admit(TargetId{ "t" }, 100, TimePoint{ std::chrono::seconds(50) }));
}

} // namespace
} // namespace bulrushrun
