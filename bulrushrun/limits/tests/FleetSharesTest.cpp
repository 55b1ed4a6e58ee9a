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

TEST(TheBoundOnAColdTarget, HoldsForTheSumOfTheInstancesOfItsZone)
{
  constexpr std::size_t kSharers = 3;
  constexpr double kBound = 10.4;
  std::vector<ColdAdmission> shares(kSharers);
  const TargetId target{ "t" };
  std::vector<TimePoint> sent;
  TimePoint now{ std::chrono::seconds(50) };
  for (int tick = 0; tick < 1000; ++tick) {
    now += kTick;
    if (shares[static_cast<std::size_t>(tick) % kSharers].admit(target, kBound, kSharers, now)) {
      sent.push_back(now);
    }
  }
  for (const TimePoint from : sent) {
    const auto count = std::count_if(sent.begin(), sent.end(), [&](TimePoint aTime) {
      return aTime >= from && aTime < from + std::chrono::seconds(1);
    });
    EXPECT_LE(static_cast<double>(count), kBound);
  }
  EXPECT_GT(sent.size(), 20U) << "it warms up on some";
}

TEST(TheBoundOnAColdTarget, GivesNothingToAnInstanceThatDoesNotKnowTheOthers)
{
  ColdAdmission share;
  EXPECT_FALSE(share.admit(TargetId{ "t" }, 100, 0, TimePoint{ std::chrono::seconds(50) }));
}

} // namespace
} // namespace bulrushrun
