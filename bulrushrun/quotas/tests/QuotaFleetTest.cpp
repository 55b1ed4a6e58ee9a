#include "bulrushrun/quotas/tests/QuotaFleet.h"

#include <gtest/gtest.h>

#include <cmath>

namespace bulrushrun::tests {
namespace {

Customer customer(const std::string& aName, double aRate, double aBurst)
{
  return { CustomerName{ aName }, std::nullopt, { aRate, aBurst }, {} };
}

std::function<double(double)> constant(double aRate)
{
  return [aRate](double) { return aRate; };
}

auto anywhere(std::size_t aInstances)
{
  return [aInstances](double, Random& aRandom) { return aRandom.below(aInstances); };
}

/// Demand of one customer "a" with 100 requests per second.
QuotaFleet fleetOf(std::size_t aInstances, std::uint64_t aSeed, std::function<double(double)> aRate)
{
  QuotaFleet fleet(aInstances, { customer("a", 100, 100) }, aSeed);
  fleet.mCallers.push_back({ CustomerName{ "a" }, std::move(aRate), anywhere(aInstances) });
  return fleet;
}

void expectBound(QuotaFleet& aFleet, const std::string& aName, double aRate, double aBurst)
{
  const double highest = static_cast<double>(aFleet.highestWindow(aName));
  EXPECT_LE(highest, QuotaFleet::allowed(aRate, aBurst));
}

class QuotaFleetSize : public testing::TestWithParam<std::size_t>
{};

// Guards against a fleet that passes more than the quota, or less, whatever its size.
TEST_P(QuotaFleetSize, HoldsTheLimitAndServesWhatIsWithin)
{
  QuotaFleet over = fleetOf(GetParam(), 1, constant(300));
  over.run(25);
  expectBound(over, "a", 100, 100);
  EXPECT_GT(over.result("a").mExecuted.size(), 100U * 22);
  // The pool is empty at the start.
  QuotaFleet within =
    fleetOf(GetParam(), 2, [](double aSeconds) { return aSeconds < 2 ? 0.0 : 62.0; });
  within.run(25);
  expectBound(within, "a", 100, 100);
  EXPECT_LT(within.refusedWithinLimit("a"), 0.02);
}
INSTANTIATE_TEST_SUITE_P(Sizes, QuotaFleetSize, testing::Values(1, 2, 3, 7, 25, 68, 103, 300));

// Guards against shares that do not follow a customer to another instance.
TEST(QuotaFleet, FollowsACustomerThatMovesToAnotherInstance)
{
  QuotaFleet fleet(68, { customer("a", 100, 100) }, 3);
  fleet.mCallers.push_back({ CustomerName{ "a" }, constant(62), [](double aSeconds, Random&) {
                              return static_cast<std::size_t>(aSeconds / 4) * 7 % 68;
                            } });
  fleet.run(40);
  expectBound(fleet, "a", 100, 100);
  EXPECT_LT(fleet.refusedWithinLimit("a"), 0.02);
}

// Guards against a large customer that exceeds its quota after a pause, and at the cost of others.
TEST(QuotaFleet, LimitsACustomerThatSendsManyTimesItsRate)
{
  QuotaFleet fleet(68, { customer("a", 400, 400), customer("b", 20, 20) }, 4);
  fleet.mCallers.push_back(
    { CustomerName{ "a" },
      [](double aSeconds) { return aSeconds > 10 && aSeconds < 17 ? 250 * 7.5 : 250; },
      anywhere(68) });
  fleet.mCallers.push_back({ CustomerName{ "b" }, constant(12), anywhere(68) });
  fleet.run(30);
  expectBound(fleet, "a", 400, 400);
  expectBound(fleet, "b", 20, 20);
  EXPECT_LT(fleet.refusedWithinLimit("a"), 0.02);
  EXPECT_LT(fleet.refusedWithinLimit("b"), 0.02);
}

// Guards against small customers that lose their few tokens to instances that do not need them.
TEST(QuotaFleet, ServesManySmallCustomers)
{
  std::vector<Customer> customers;
  for (int i = 0; i < 76; ++i) {
    customers.push_back(customer("c" + std::to_string(i), 1.6 + i * 0.3, 1.6 + i * 0.3));
  }
  QuotaFleet fleet(68, customers, 5);
  for (const Customer& each : customers) {
    fleet.mCallers.push_back(
      { each.mName, constant(each.mQuota.mRatePerSecond / 1.6), anywhere(68) });
  }
  fleet.run(40);
  double within = 0;
  double executed = 0;
  for (const Customer& each : customers) {
    const std::string& name = each.mName.text();
    expectBound(fleet, name, each.mQuota.mRatePerSecond, each.mQuota.mBurst);
    within += static_cast<double>(fleet.result(name).mWithinLimit);
    executed += static_cast<double>(std::min<std::uint64_t>(fleet.result(name).mExecuted.size(),
                                                            fleet.result(name).mWithinLimit));
    RecordProperty("refused_" + name, std::to_string(fleet.refusedWithinLimit(name)));
  }
  EXPECT_GT(executed, within * 0.98);
}

class QuotaFleetSeed : public testing::TestWithParam<std::uint64_t>
{};

// Guards against tokens that two parts of a partitioned fleet both spend.
TEST_P(QuotaFleetSeed, HoldsTheLimitInPartitions)
{
  for (const bool oneWay : { false, true }) {
    for (const std::size_t border : { 1U, 10U, 20U, 39U }) {
      QuotaFleet fleet = fleetOf(40, GetParam(), constant(400));
      fleet.mReaches = [=](std::size_t aFrom, std::size_t aTo, double aSeconds) {
        const double phase = std::fmod(aSeconds, 14);
        const bool crosses =
          oneWay ? aFrom < border && aTo >= border : (aFrom < border) != (aTo < border);
        return phase < 4 || phase > 11 || !crosses;
      };
      fleet.run(45);
      expectBound(fleet, "a", 100, 100);
    }
  }
}

// Guards against a burst after a quiet time in which several coordinators filled their pools.
TEST_P(QuotaFleetSeed, HoldsTheLimitWhenQuietPartitionsHeal)
{
  QuotaFleet fleet = fleetOf(
    40, GetParam(), [](double aSeconds) { return std::fmod(aSeconds, 7) < 3 ? 0.0 : 1500.0; });
  fleet.mReaches = [](std::size_t aFrom, std::size_t aTo, double aSeconds) {
    return std::fmod(aSeconds, 10) < 5 || aFrom % 2 == aTo % 2;
  };
  fleet.run(60);
  expectBound(fleet, "a", 100, 100);
}

// Guards against instances that do not agree on the coordinator, each with a full pool.
TEST_P(QuotaFleetSeed, HoldsTheLimitWithSeveralCoordinators)
{
  QuotaFleet fleet = fleetOf(
    30, GetParam(), [](double aSeconds) { return std::fmod(aSeconds, 6) < 2 ? 0.0 : 900.0; });
  fleet.mForcedCoordinator = [](std::size_t aNode, double aSeconds) {
    return (aNode + static_cast<std::size_t>(aSeconds / 3)) % 3;
  };
  fleet.run(45);
  expectBound(fleet, "a", 100, 100);
}

// Guards against tokens that are created twice from late or repeated messages.
TEST_P(QuotaFleetSeed, HoldsTheLimitWithLostLateAndRepeatedMessages)
{
  QuotaFleet fleet = fleetOf(40, GetParam(), constant(400));
  fleet.mLoss = 0.2;
  fleet.mDuplicates = 0.3;
  fleet.mLate = 0.3;
  fleet.run(45);
  expectBound(fleet, "a", 100, 100);
}

// Guards against tokens from nowhere when instances start again, die or are added.
TEST_P(QuotaFleetSeed, HoldsTheLimitWhenInstancesComeAndGo)
{
  QuotaFleet fleet = fleetOf(20, GetParam(), constant(400));
  Random random{ GetParam() };
  for (double seconds = 5; seconds < 40; seconds += 0.5) {
    const std::size_t node = random.below(20);
    fleet.mActions.emplace(seconds, [&fleet, node] { fleet.kill(node); });
    fleet.mActions.emplace(seconds + 1.2 + random.unit(),
                           [&fleet, node] { fleet.start(node, TimePoint{}); });
  }
  for (int i = 0; i < 10; ++i) {
    fleet.mActions.emplace(15.0, [&fleet] { fleet.add(); });
  }
  fleet.run(45);
  expectBound(fleet, "a", 100, 100);
}
INSTANTIATE_TEST_SUITE_P(Seeds, QuotaFleetSeed, testing::Range<std::uint64_t>(1, 7));

// Guards against a coordinator whose death stops all customers.
TEST(QuotaFleet, GoesOnAfterTheCoordinatorDied)
{
  QuotaFleet fleet = fleetOf(20, 6, constant(62));
  fleet.mActions.emplace(10.0, [&fleet] {
    for (std::size_t i = 0; i < 20; ++i) {
      if (fleet.holder(i).membership().mCoordinator == i) {
        fleet.kill(i);
        return;
      }
    }
  });
  fleet.run(60);
  expectBound(fleet, "a", 100, 100);
  EXPECT_LT(fleet.refusedWithinLimit("a"), 0.06);
}

// Guards against tokens of the former quota that stay valid.
TEST(QuotaFleet, BindsToALoweredQuotaAfterOneWindow)
{
  QuotaFleet fleet = fleetOf(68, 7, constant(500));
  fleet.mActions.emplace(15.0, [&fleet] { fleet.setCustomers({ customer("a", 10, 10) }); });
  fleet.run(30);
  EXPECT_LE(static_cast<double>(fleet.highestWindow("a", 20)), QuotaFleet::allowed(10, 10));
}

} // namespace
} // namespace bulrushrun::tests
