#include "bulrushrun/limits.h"

#include <gtest/gtest.h>

#include <vector>

namespace bulrushrun {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr std::uint64_t kTarget = mixBits(1);

/// \returns identity hashes of the first \a aCount instances; a longer list starts with the
/// shorter one.
std::vector<std::uint64_t> instances(std::size_t aCount)
{
  std::vector<std::uint64_t> hashes;
  for (std::size_t i = 0; i < aCount; ++i) {
    hashes.push_back(hashText("instance-" + std::to_string(i)));
  }
  return hashes;
}

/// Guards against exceeding the fleet-wide retry budget: ten instances each spend their own share,
/// and none of them knows the sum.
TEST(RetryBudgetShareTest, HoldsForTheSumOfAllInstances)
{
  constexpr std::size_t kInstances = 10;
  const RetryBudgetPolicy policy{ 0.2, 60, std::chrono::seconds(10) };
  std::vector<RetryBudgetShare> shares(kInstances);
  TimePoint now{ std::chrono::seconds(50) };
  std::vector<TimePoint> firstAttempts;
  std::vector<TimePoint> retries;
  for (int tick = 0; tick < 3000; ++tick) {
    now += kTick;
    RetryBudgetShare& share = shares[static_cast<std::size_t>(tick) % kInstances];
    share.onFirstAttempt(now);
    firstAttempts.push_back(now);
    // Every request fails and attempts a retry.
    if (share.trySpend(policy, kInstances, now)) {
      retries.push_back(now);
    }
  }
  for (TimePoint from{ std::chrono::seconds(60) }; from + policy.mWindow < now;
       from += 10 * kTick) {
    const auto within = [&](TimePoint aTime) {
      return aTime >= from && aTime < from + policy.mWindow;
    };
    const double requests =
      static_cast<double>(std::count_if(firstAttempts.begin(), firstAttempts.end(), within));
    const double retryCount =
      static_cast<double>(std::count_if(retries.begin(), retries.end(), within));
    EXPECT_LE(retryCount, policy.mRatio * requests + policy.mFreeRetries);
    EXPECT_GE(retryCount, 0.5 * (policy.mRatio * requests + policy.mFreeRetries))
      << "at least half of the budget is usable";
  }
}

TEST(RetryBudgetShareTest, AllowsRetriesAgainAfterTheWindow)
{
  const RetryBudgetPolicy policy{ 0, 10, std::chrono::seconds(10) };
  RetryBudgetShare share;
  TimePoint now{ std::chrono::seconds(50) };
  while (share.trySpend(policy, 1, now)) {
  }
  now += std::chrono::seconds(100);
  EXPECT_TRUE(share.trySpend(policy, 1, now));
}

/// Guards against retries that a question about the budget uses up.
TEST(RetryBudgetShareTest, IsNotSpentByAQuestion)
{
  const RetryBudgetPolicy policy{ 0, 1.25, std::chrono::seconds(10) };
  RetryBudgetShare share;
  const TimePoint now{ std::chrono::seconds(50) };
  EXPECT_TRUE(share.maySpend(policy, 1, now));
  EXPECT_TRUE(share.maySpend(policy, 1, now));
  EXPECT_TRUE(share.trySpend(policy, 1, now));
  EXPECT_FALSE(share.maySpend(policy, 1, now));
}

TEST(ColdTargetRateLimit, HoldsForTheSumOfTheInstancesOfAZone)
{
  constexpr std::size_t kZoneInstances = 3;
  constexpr double kLimit = 10.4;
  std::vector<ColdTargetRateLimiter> limiters(kZoneInstances);
  const TargetId target{ "t" };
  const std::vector<std::uint64_t> all = instances(kZoneInstances);
  std::vector<TimePoint> sent;
  TimePoint now{ std::chrono::seconds(50) };
  for (int tick = 0; tick < 1000; ++tick) {
    now += kTick;
    const std::size_t turn = static_cast<std::size_t>(tick) % kZoneInstances;
    if (limiters[turn].admit(target, kTarget, kLimit, { all[turn], all }, now)) {
      sent.push_back(now);
    }
  }
  for (const TimePoint from : sent) {
    const auto count = std::count_if(sent.begin(), sent.end(), [&](TimePoint aTime) {
      return aTime >= from && aTime < from + std::chrono::seconds(1);
    });
    EXPECT_LE(static_cast<double>(count), kLimit);
  }
  EXPECT_GT(sent.size(), 20U) << "some requests reach the cold target";
}

TEST(ColdTargetRateLimit, IsZeroForAnInstanceThatDoesNotKnowTheOthers)
{
  ColdTargetRateLimiter limiter;
  EXPECT_FALSE(
    limiter.admit(TargetId{ "t" }, kTarget, 100, {}, TimePoint{ std::chrono::seconds(50) }));
}

/// \returns the sum of the quotas of all instances of a zone.
std::size_t sumOfQuotas(const std::vector<std::uint64_t>& aInstances,
                        double aLimit,
                        std::uint64_t aTarget)
{
  std::size_t sum = 0;
  for (const std::uint64_t self : aInstances) {
    sum += TargetQuota{ self, aInstances }.quota(aTarget, aLimit);
  }
  return sum;
}

/// Guards against a large fleet that sends nothing to its targets after all of them restart cold:
/// with a limit below the number of instances of the zone, equal quotas would be less than one
/// request.
TEST(ColdTargetRateLimit, IsFullyDividedIntoWholeRequestsForZonesOfAnySize)
{
  for (std::size_t size = 1; size <= 60; ++size) {
    const std::vector<std::uint64_t> all = instances(size);
    for (const double limit : { 1.0, 7.4, 13.5, 60.0, 200.9 }) {
      for (std::uint64_t target = 0; target < 20; ++target) {
        EXPECT_EQ(sumOfQuotas(all, limit, mixBits(target)), static_cast<std::size_t>(limit))
          << size << " instances, limit " << limit;
      }
    }
  }
}

/// Lost instances remain in the membership views of the others for a long time; this must only
/// leave part of the limit unused.
TEST(ColdTargetRateLimit, HoldsWhileLostInstancesAreStillCounted)
{
  Random random{ 7 };
  for (std::size_t size = 2; size <= 60; ++size) {
    const std::vector<std::uint64_t> all = instances(size);
    std::size_t sum = 0;
    for (const std::uint64_t self : all) {
      const bool lost = random.below(3) == 0;
      sum += lost ? 0 : TargetQuota{ self, all }.quota(kTarget, 13.5);
    }
    EXPECT_LE(sum, 13U) << size;
  }
}

/// A joining instance sends nothing until all others know it; until then their views change one by
/// one, and the sum of the quotas must stay within the limit.
TEST(ColdTargetRateLimit, HoldsWhileInstancesLearnOfAJoinOneByOne)
{
  for (std::size_t size = 1; size < 60; ++size) {
    const std::vector<std::uint64_t> before = instances(size);
    const std::vector<std::uint64_t> after = instances(size + 1);
    for (std::size_t informed = 0; informed <= size; ++informed) {
      std::size_t sum = 0;
      for (std::size_t i = 0; i < size; ++i) {
        sum += TargetQuota{ before[i], i < informed ? after : before }.quota(kTarget, 13.5);
      }
      sum += informed == size ? TargetQuota{ after.back(), after }.quota(kTarget, 13.5) : 0;
      EXPECT_LE(sum, 13U) << size << " instances, " << informed << " of them informed";
    }
  }
}

} // namespace
} // namespace bulrushrun
