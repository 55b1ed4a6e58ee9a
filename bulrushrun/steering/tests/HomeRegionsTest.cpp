#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// Twelve instances in two regions; the home region of the only route changes with each
/// configuration. The parameter is the time that responses between instances take, in milliseconds.
class HomeRegionsTest : public ::testing::TestWithParam<int>
{
protected:
  static constexpr int kInstances = 12;
  static constexpr Duration kBound = std::chrono::milliseconds(2500);

  HomeRegionsTest()
  {
    mSimulation.putTarget("in-ra", "ready", 400, 0, "za");
    mSimulation.putTarget("in-rb", "ready", 400, 0, "zb");
    exchangeHomes();
    for (int i = 1; i <= kInstances; ++i) {
      mNames.push_back("n" + std::to_string(i));
      mSimulation.add(mNames.back(), i % 2 == 0 ? "za" : "zb").start();
    }
    mSimulation.run(std::chrono::seconds(5));
    mSimulation.mPeerResponseDelay = std::chrono::milliseconds(GetParam());
    mSimulation.run(std::chrono::seconds(5));
  }
  void exchangeHomes()
  {
    mHome = mHome == "in-ra" ? "in-rb" : "in-ra";
    const std::string region = mHome.substr(3);
    mSimulation.putPlan(++mVersion, "safe", R"(,"homeRegions":[")" + region + R"("])");
  }
  /// \returns the target that a request at an instance is sent to.
  std::string targetOf(const std::string& aInstance)
  {
    const std::shared_ptr<RecordingResponder> responder =
      mSimulation.sendRequest(aInstance, "id-" + std::to_string(++mRequests));
    const std::vector<ExchangeId> exchanges = mSimulation.targetExchanges();
    if (exchanges.empty()) {
      return "none";
    }
    const HttpRequest& request = mSimulation.exchange(exchanges.back()).mRequest;
    const std::string* target = findHeader(request.mHeaders, "X-Target-Instance");
    const std::string text = target == nullptr ? "unnamed" : *target;
    mSimulation.respondOk(exchanges.back());
    return text;
  }

  FleetSimulation mSimulation;
  std::vector<std::string> mNames;
  std::string mHome;
  int mVersion = 0;
  int mRequests = 0;
};

/// Guards against requests outside their home region at an instance that counts a peer's late
/// response as fresh, and so learns of the next configuration after the bound.
TEST_P(HomeRegionsTest, RequestsFollowTheNewHomesWithinTheBoundWhilePeersRespondSlowly)
{
  constexpr int kChanges = 25;
  for (int change = 0; change < kChanges; ++change) {
    exchangeHomes();
    mSimulation.run(kBound);
    for (const std::string& name : mNames) {
      EXPECT_EQ(targetOf(name), mHome) << name << ", change " << change;
    }
    // The next change meets another phase of the instances' exchanges.
    mSimulation.run(std::chrono::milliseconds(700 + 37 * change));
  }
}

INSTANTIATE_TEST_SUITE_P(ResponseDelays,
                         HomeRegionsTest,
                         ::testing::Values(0, 200, 400, 600, 800, 1000, 1150));

} // namespace
} // namespace bulrushrun::steering_test
