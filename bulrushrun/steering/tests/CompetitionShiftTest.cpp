#include "bulrushrun/steering/tests/PickerFleet.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// Largest share of a region's requests that may change their region from 2 s to the next.
constexpr double kMaxShift = 0.15;

/// Requests of the least urgent of three priorities, which find the shortest queues; by seed.
class CompetitionShiftTest : public ::testing::TestWithParam<std::uint64_t>
{
protected:
  static PickerFleetOptions options(Random& aRandom)
  {
    constexpr Duration kExecution = std::chrono::milliseconds(200);
    PickerFleetOptions options;
    options.mInstancesPerZone = 1 + aRandom.below(12);
    for (int& targets : options.mTargetsOfZone) {
      targets = 3 + static_cast<int>(aRandom.below(8));
    }
    options.mWithoutKeys = aRandom.chance(0.2);
    options.mMaxDelay = std::chrono::milliseconds(aRandom.below(1500));
    options.mSeed = aRandom.next();
    options.mTerms = AdmissionTerms{ { 2, 3 },
                                     { kExecution, 3 * kExecution, kExecution },
                                     std::chrono::milliseconds(400),
                                     std::chrono::milliseconds(2500) };
    return options;
  }
};

/// Load: targets of whole zones become busy and free again, while demand rises and zones are
/// evacuated. Guards against overflow to other regions beyond the limit on shifts.
TEST_P(CompetitionShiftTest, TheSumOverAllInstancesStaysBelowTheCap)
{
  Random random{ GetParam() };
  PickerFleet fleet{ options(random) };
  fleet.run(std::chrono::seconds(8));
  const TimePoint placed = fleet.now() - std::chrono::seconds(4);
  for (int i = 0; i < 12; ++i) {
    const std::size_t zone = random.below(PickerFleet::kZones);
    switch (random.below(4)) {
      case 0:
        fleet.setEvacuated(zone, random.chance(0.5));
        break;
      case 1:
        fleet.setRate(zone / 2, 200 + 600 * random.unit());
        break;
      default:
        fleet.setExternalLoad(zone, static_cast<int>(random.below(20)));
    }
    fleet.run(std::chrono::milliseconds(500 + random.below(3500)));
  }
  EXPECT_LE(fleet.largestShift(placed), kMaxShift) << fleet.history();
}

INSTANTIATE_TEST_SUITE_P(FromSeed,
                         CompetitionShiftTest,
                         ::testing::Range<std::uint64_t>(1, 13),
                         ::testing::PrintToStringParamName());

} // namespace
} // namespace bulrushrun::steering_test
