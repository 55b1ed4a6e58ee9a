#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bulrushrun::steering_test {
namespace {

/// 24 instances in two zones on links of 10 Mbit/s; the parameter is the number of routes that the
/// configuration has besides the one that requests use.
class LargeConfigurationTest : public ::testing::TestWithParam<int>
{
protected:
  static constexpr int kInstances = 24;
  static constexpr double kLinkBytesPerSecond = 1.25e6;
  static constexpr Duration kBound = std::chrono::milliseconds(4000);

  LargeConfigurationTest()
  {
    FleetBounds bounds;
    bounds.mConfigurationApply = kBound;
    bounds.mDrain = kBound;
    mSimulation.putTarget("t1", "ready", 400, 0, "za");
    putPlan();
    for (int i = 1; i <= kInstances; ++i) {
      mNames.push_back("n" + std::to_string(i));
      mSimulation.add(mNames.back(), i % 2 == 0 ? "za" : "zb").start();
      mSimulation.node(mNames.back()).setBounds(bounds);
    }
    mSimulation.run(std::chrono::seconds(5));
    mSimulation.mLinkBytesPerSecond = kLinkBytesPerSecond;
    mSimulation.run(std::chrono::seconds(5));
  }
  /// Writes the next version; its other routes have names and paths of their own.
  void putPlan(int aFurtherRoutes = 0)
  {
    Random random{ static_cast<std::uint64_t>(aFurtherRoutes) };
    std::string routes;
    for (int i = 0; i < aFurtherRoutes; ++i) {
      const std::string name = std::to_string(random.below(1'000'000'000'000));
      routes += R"(},{"name":"r-)" + name + R"(","host":"further","pathPrefix":"/)" + name +
                R"(/","kind":"safe","timeoutMs":2000,"targetLatencyMs":800,"priority":1,)" +
                R"("service":"s","maxAttempts":2,"sticky":true,"homeRegions":[])";
    }
    mSimulation.putPlan(++mVersion, "safe", routes);
  }
  /// \returns the instances that have not adopted the newest version.
  std::vector<std::string> late()
  {
    const std::string adopted = "plan-adopted version=" + std::to_string(mVersion) + " ";
    std::vector<std::string> names;
    for (const std::string& name : mNames) {
      const std::vector<std::string>& log = mSimulation.host(name).mLog;
      if (std::none_of(log.begin(), log.end(), [&](const std::string& aLine) {
            return aLine.starts_with(adopted);
          })) {
        names.push_back(name);
      }
    }
    return names;
  }

  FleetSimulation mSimulation;
  std::vector<std::string> mNames;
  int mVersion = 0;
};

/// Guards against instances that give up a large configuration before it has come over a slow link,
/// begin it again, and so act on the previous one beyond the bound.
TEST_P(LargeConfigurationTest, EachInstanceFollowsItWithinTheBoundOverSlowLinks)
{
  constexpr int kChanges = 3;
  for (int change = 0; change < kChanges; ++change) {
    putPlan(GetParam());
    mSimulation.run(kBound);
    EXPECT_EQ(late(), std::vector<std::string>{}) << "change " << change;
    // The next change meets another phase of the instances' exchanges.
    mSimulation.run(std::chrono::milliseconds(9000 + 370 * change));
  }
}

/// Guards against instances that follow neither of two large configurations, because the second one
/// comes while the first one is still under way.
TEST_P(LargeConfigurationTest, EachInstanceFollowsTheSecondOfTwoInARow)
{
  putPlan(GetParam());
  mSimulation.run(std::chrono::milliseconds(1500));
  putPlan(GetParam());
  mSimulation.run(kBound);
  EXPECT_EQ(late(), std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Routes, LargeConfigurationTest, ::testing::Values(1400, 4200));

} // namespace
} // namespace bulrushrun::steering_test
