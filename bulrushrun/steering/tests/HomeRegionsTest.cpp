#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

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

/// Guards against a request that is sent again to its old home region after the homes changed.
TEST_P(HomeRegionsTest, RequestThatIsSentAgainFollowsTheHomesInForce)
{
  mSimulation.putTarget("in-ra-2", "ready", 400, 0, "za");
  mSimulation.putTarget("in-rb-2", "ready", 400, 0, "zb");
  mSimulation.run(kBound);
  const std::shared_ptr<RecordingResponder> responder = mSimulation.sendRequest("n1", "id-kept");
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  exchangeHomes();
  mSimulation.run(std::chrono::milliseconds(300));
  mSimulation.putPlan(++mVersion, "safe", R"(,"homeRegions":[")" + mHome.substr(3) + R"("])");
  mSimulation.run(std::chrono::milliseconds(1400));
  mSimulation.respondTo(
    mSimulation.targetExchanges().back(), 503, { { "X-Not-Executed", "1" } }, "");
  const std::vector<ExchangeId> exchanges = mSimulation.targetExchanges();
  ASSERT_EQ(exchanges.size(), 1U);
  const std::string* target =
    findHeader(mSimulation.exchange(exchanges.back()).mRequest.mHeaders, "X-Target-Instance");
  ASSERT_NE(target, nullptr);
  EXPECT_TRUE(target->starts_with(mHome)) << *target;
}

/// Two instances hear only each other; the parameter is the time that their responses take, in
/// milliseconds.
class PeerStalenessTest : public ::testing::TestWithParam<int>
{};

/// Guards against instances that vouch for each other: each takes the other's response for fresh,
/// and neither grows stale while both are cut off from the store.
TEST_P(PeerStalenessTest, InstancesThatHearOnlyEachOtherGrowStale)
{
  FleetSimulation simulation;
  simulation.putPlan(1, "safe");
  simulation.putTarget("t1");
  simulation.add("n1", "za").start();
  simulation.add("n2", "za").start();
  simulation.run(std::chrono::seconds(5));
  simulation.mPeerResponseDelay = std::chrono::milliseconds(GetParam());
  simulation.mStoreUnreachableFrom = { "n1", "n2" };
  // Calls that the store holds still end.
  simulation.run(std::chrono::seconds(1));
  simulation.run(std::chrono::seconds(8));
  simulation.sendRequest("n1", "id-1");
  simulation.respondOk(simulation.targetExchanges().back());
  const std::vector<std::string>& log = simulation.host("n1").mLog;
  const auto ended = std::find_if(log.begin(), log.end(), [](const std::string& aLine) {
    return aLine.starts_with("request-ended id=id-1 ");
  });
  ASSERT_NE(ended, log.end());
  const std::string key = " news_age_ms=";
  const std::size_t start = ended->find(key);
  ASSERT_NE(start, std::string::npos);
  EXPECT_GE(std::stoi(ended->substr(start + key.size())), 8000) << *ended;
}

INSTANTIATE_TEST_SUITE_P(ResponseDelays,
                         PeerStalenessTest,
                         ::testing::Values(0, 100, 250, 400, 550, 700));
INSTANTIATE_TEST_SUITE_P(ResponseDelays,
                         HomeRegionsTest,
                         ::testing::Values(0, 200, 400, 600, 800, 1000, 1150));

} // namespace
} // namespace bulrushrun::steering_test
