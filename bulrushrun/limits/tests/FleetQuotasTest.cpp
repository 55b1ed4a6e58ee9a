#include "bulrushrun/limits.h"

#include <gtest/gtest.h>

#include <vector>

namespace bulrushrun {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr std::uint64_t kTarget = mixBits(1);

/// \returns the hashes of some instances; more of them begin with the same ones.
std::vector<std::uint64_t> instances(std::size_t aCount)
{
  std::vector<std::uint64_t> hashes;
  for (std::size_t i = 0; i < aCount; ++i) {
    hashes.push_back(hashText("instance-" + std::to_string(i)));
  }
  return hashes;
}

/// Story: ten instances share bounds of which none knows the sum.
TEST(TheRetryBudget, HoldsForTheSumOfAllInstances)
{
  constexpr std::size_t kInstances = 10;
  const RetryBudgetPolicy bound{ 0.2, 60, std::chrono::seconds(10) };
  std::vector<RetryBudgetShare> shares(kInstances);
  TimePoint now{ std::chrono::seconds(50) };
  std::vector<TimePoint> fresh;
  std::vector<TimePoint> spent;
  for (int tick = 0; tick < 3000; ++tick) {
    now += kTick;
    RetryBudgetShare& quota = shares[static_cast<std::size_t>(tick) % kInstances];
    quota.onFirstAttempt(now);
    fresh.push_back(now);
    // Every request fails and wants to be repeated.
    if (quota.trySpend(bound, kInstances, now)) {
      spent.push_back(now);
    }
  }
  for (TimePoint from{ std::chrono::seconds(60) }; from + bound.mWindow < now; from += 10 * kTick) {
    const auto within = [&](TimePoint aTime) {
      return aTime >= from && aTime < from + bound.mWindow;
    };
    const double requests = static_cast<double>(std::count_if(fresh.begin(), fresh.end(), within));
    const double repeats = static_cast<double>(std::count_if(spent.begin(), spent.end(), within));
    EXPECT_LE(repeats, bound.mRatio * requests + bound.mFreeRetries);
    EXPECT_GE(repeats, 0.5 * (bound.mRatio * requests + bound.mFreeRetries))
      << "most of it is usable";
  }
}

TEST(TheRetryBudget, ForgetsWhatWasSpentLongAgo)
{
  const RetryBudgetPolicy bound{ 0, 10, std::chrono::seconds(10) };
  RetryBudgetShare quota;
  TimePoint now{ std::chrono::seconds(50) };
  while (quota.trySpend(bound, 1, now)) {
  }
  now += std::chrono::seconds(100);
  EXPECT_TRUE(quota.trySpend(bound, 1, now));
}

TEST(TheBoundOnAColdTarget, HoldsForTheSumOfTheInstancesOfItsZone)
{
  constexpr std::size_t kSharers = 3;
  constexpr double kBound = 10.4;
  std::vector<ColdTargetRateLimiter> shares(kSharers);
  const TargetId target{ "t" };
  const std::vector<std::uint64_t> all = instances(kSharers);
  std::vector<TimePoint> sent;
  TimePoint now{ std::chrono::seconds(50) };
  for (int tick = 0; tick < 1000; ++tick) {
    now += kTick;
    const std::size_t turn = static_cast<std::size_t>(tick) % kSharers;
    if (shares[turn].admit(target, kTarget, kBound, { all[turn], all }, now)) {
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
  ColdTargetRateLimiter quota;
  EXPECT_FALSE(
    quota.admit(TargetId{ "t" }, kTarget, 100, {}, TimePoint{ std::chrono::seconds(50) }));
}

/// Sum of the shares of all instances of a zone, each with its own view of the others.
std::size_t sumOfShares(const std::vector<std::uint64_t>& aAll,
                        double aBound,
                        std::uint64_t aTarget)
{
  std::size_t sum = 0;
  for (const std::uint64_t self : aAll) {
    sum += ColdTargetQuota{ self, aAll }.quota(aTarget, aBound);
  }
  return sum;
}

/// The pattern of a large fleet whose targets all came back cold: with a bound below the number of
/// instances of the zone, equal parts would be less than one request, and nothing would be sent.
TEST(TheBoundOnAColdTarget, IsUsedUpToItsLastWholeRequestByZonesOfAnySize)
{
  for (std::size_t size = 1; size <= 60; ++size) {
    const std::vector<std::uint64_t> all = instances(size);
    for (const double bound : { 1.0, 7.4, 13.5, 60.0, 200.9 }) {
      for (std::uint64_t target = 0; target < 20; ++target) {
        EXPECT_EQ(sumOfShares(all, bound, mixBits(target)), static_cast<std::size_t>(bound))
          << size << " instances, bound " << bound;
      }
    }
  }
}

/// Those that are gone stay in the views for long; that only leaves a part unused.
TEST(TheBoundOnAColdTarget, HoldsWhileInstancesAreLostAndOthersStillCountThem)
{
  Random random{ 7 };
  for (std::size_t size = 2; size <= 60; ++size) {
    const std::vector<std::uint64_t> all = instances(size);
    std::size_t sum = 0;
    for (const std::uint64_t self : all) {
      const bool lost = random.below(3) == 0;
      sum += lost ? 0 : ColdTargetQuota{ self, all }.quota(kTarget, 13.5);
    }
    EXPECT_LE(sum, 13U) << size;
  }
}

/// One that joins sends nothing until the others know it; then their views change one by one.
TEST(TheBoundOnAColdTarget, HoldsWhileTheViewsOfAJoinChangeOneByOne)
{
  for (std::size_t size = 1; size < 60; ++size) {
    const std::vector<std::uint64_t> before = instances(size);
    const std::vector<std::uint64_t> after = instances(size + 1);
    for (std::size_t informed = 0; informed <= size; ++informed) {
      std::size_t sum = 0;
      for (std::size_t i = 0; i < size; ++i) {
        sum += ColdTargetQuota{ before[i], i < informed ? after : before }.quota(kTarget, 13.5);
      }
      sum += informed == size ? ColdTargetQuota{ after.back(), after }.quota(kTarget, 13.5) : 0;
      EXPECT_LE(sum, 13U) << size << " instances, " << informed << " of them informed";
    }
  }
}

} // namespace
} // namespace bulrushrun
