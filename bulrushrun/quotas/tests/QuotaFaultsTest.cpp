#include "bulrushrun/quotas/tests/QuotaFleet.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>

namespace bulrushrun::tests {
namespace {

/// A time in which some instances are cut off from the others, in one direction or both.
struct Partition
{
  double mFrom = 0;
  double mTo = 0;
  std::uint64_t mKey = 0;
  double mShare = 0;
  bool mOneWay = false;

  bool blocks(std::size_t aFrom, std::size_t aTo, double aSeconds) const
  {
    if (aSeconds < mFrom || aSeconds >= mTo) {
      return false;
    }
    const bool fromInside = toUnitInterval(combineHashes(mKey, aFrom)) < mShare;
    const bool toInside = toUnitInterval(combineHashes(mKey, aTo)) < mShare;
    return mOneWay ? fromInside && !toInside : fromInside != toInside;
  }
};

/// Random fleet, limit, demand and faults, all from one seed.
class QuotaFaults : public testing::TestWithParam<std::uint64_t>
{
protected:
  static constexpr double kSeconds = 40;

  /// \returns the highest window as a part of what is allowed.
  double play(std::uint64_t aSeed)
  {
    Random random{ aSeed };
    const std::size_t instances = 1 + random.below(random.chance(0.1) ? 300 : 60);
    const double rate = std::array<double, 5>{ 2, 20, 100, 400, 1500 }[random.below(5)];
    const double burst = rate * std::array<double, 4>{ 0, 0.3, 1, 5 }[random.below(4)];
    QuotaFleet fleet(
      instances, { { CustomerName{ "a" }, std::nullopt, { rate, burst }, {} } }, random.next());
    const double period = 2 + 10 * random.unit();
    const double quiet = period * random.unit();
    const double demand = rate * (1 + 6 * random.unit());
    const std::size_t entries = 1 + random.below(instances);
    fleet.mCallers.push_back(
      { CustomerName{ "a" },
        [=](double aSeconds) { return std::fmod(aSeconds, period) < quiet ? 0.0 : demand; },
        [=](double aSeconds, Random& aRandom) {
          const double shift = std::floor(aSeconds / period);
          return (static_cast<std::size_t>(shift) * 17 + aRandom.below(entries)) % instances;
        } });
    std::vector<Partition> partitions;
    for (std::uint64_t i = random.below(4); i > 0; --i) {
      const double from = kSeconds * random.unit();
      partitions.push_back(
        { from, from + 12 * random.unit(), random.next(), random.unit(), random.chance(0.4) });
    }
    fleet.mReaches = [partitions](std::size_t aFrom, std::size_t aTo, double aSeconds) {
      return std::none_of(partitions.begin(), partitions.end(), [&](const Partition& aPartition) {
        return aPartition.blocks(aFrom, aTo, aSeconds);
      });
    };
    fleet.mLoss = random.chance(0.3) ? 0.3 * random.unit() : 0;
    fleet.mDuplicates = random.chance(0.3) ? 0.3 : 0;
    fleet.mLate = random.chance(0.2) ? 0.3 * random.unit() : 0;
    if (random.chance(0.2)) {
      const std::uint64_t key = random.next();
      const double change = 1 + 6 * random.unit();
      fleet.mForcedCoordinator = [=](std::size_t aNode, double aSeconds) {
        const std::uint64_t epoch = static_cast<std::uint64_t>(aSeconds / change);
        return combineHashes(key + epoch, aNode) % std::min<std::size_t>(instances, 3);
      };
    }
    if (random.chance(0.4) && instances > 1) {
      const double interval = 0.3 + 4 * random.unit();
      for (double seconds = 3; seconds < kSeconds; seconds += interval) {
        const std::size_t node = random.below(instances);
        fleet.mActions.emplace(seconds, [&fleet, node] { fleet.kill(node); });
        fleet.mActions.emplace(seconds + 0.2 + 4 * random.unit(),
                               [&fleet, node] { fleet.start(node, TimePoint{}); });
      }
    }
    fleet.run(kSeconds);
    return static_cast<double>(fleet.highestWindow("a")) / QuotaFleet::allowed(rate, burst);
  }
};

// Guards against a combination of faults and demand in which more is admitted than allowed.
TEST_P(QuotaFaults, TheLimitHoldsInEveryWindow)
{
  for (std::uint64_t i = 0; i < 20; ++i) {
    const std::uint64_t seed = GetParam() * 20 + i;
    EXPECT_LE(play(seed), 1.0) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(Seeds, QuotaFaults, testing::Range<std::uint64_t>(0, 5));

} // namespace
} // namespace bulrushrun::tests
