#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bulrushrun::steering_test {
namespace {

/// One instance and one target with three slots; routes /a/ and /b/ of one service.
class PriorityProxyTest : public ::testing::Test
{
protected:
  /// \param aMembers  further members of the plan; the routes are anonymous
  void start(int aFirstPriority, int aSecondPriority, const std::string& aMembers = "")
  {
    mSimulation.putPlan(
      1,
      "safe",
      R"(,"anonymous":true,"priority":)" + std::to_string(aFirstPriority) +
        R"(},{"name":"r2","host":"shop","pathPrefix":"/b/","kind":"safe","timeoutMs":2000,)"
        R"("service":"s","maxAttempts":2,"sticky":true,"anonymous":true,"priority":)" +
        std::to_string(aSecondPriority),
      aMembers);
    mSimulation.putTarget("t1", "ready", 3);
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(5));
  }
  std::shared_ptr<RecordingResponder> send(const std::string& aPath)
  {
    HttpRequest request;
    request.mMethod = "GET";
    request.mPath = aPath;
    request.mAuthority = "shop";
    request.mHeaders = { { "X-Request-Id", "id-" + std::to_string(++mRequests) },
                         { "X-Affinity-Key", "o" } };
    const std::shared_ptr<RecordingResponder> caller = std::make_shared<RecordingResponder>();
    mSimulation.node("n1").handleCaller(request, caller);
    mSimulation.run(std::chrono::milliseconds(5));
    return caller;
  }
  /// \returns how many requests with a path are sent to the target, one after the other, until one
  /// is refused.
  int sendUntilRefused(const std::string& aPath)
  {
    constexpr int kMany = 30;
    for (int sent = 0; sent < kMany; ++sent) {
      mLast = send(aPath);
      if (mLast->mHead.mStatus == 503) {
        return sent;
      }
    }
    return kMany;
  }
  bool hasLogged(const std::string& aText)
  {
    const std::vector<std::string>& log = mSimulation.host("n1").mLog;
    return std::any_of(log.begin(), log.end(), [&](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
  }

  FleetSimulation mSimulation;
  std::shared_ptr<RecordingResponder> mLast;
  int mRequests = 0;
};

/// Load: one target, more requests than it carries. Guards against less urgent requests that leave
/// no room for urgent ones.
TEST_F(PriorityProxyTest, LessUrgentRequestsLeaveRoomInTheQueue)
{
  start(2, 0, R"(,"tenants":[])");
  const int low = sendUntilRefused("/a/x");
  const double retryAfter = std::stod(*findHeader(mLast->mHead.mHeaders, "Retry-After"));
  EXPECT_GE(low, 3) << "free slots are used";
  EXPECT_LE(low, 7);
  EXPECT_GT(retryAfter, 0);
  EXPECT_LE(retryAfter, 0.5) << "a quarter of the timeout";
  EXPECT_GE(sendUntilRefused("/b/x"), 1);
  EXPECT_TRUE(hasLogged(" priority=2 expected_ms="));
  EXPECT_TRUE(hasLogged(" priority=0 expected_ms="));
}

/// Guards against changes on deployments without customers and reported speeds, whatever the
/// priorities of their routes are.
TEST_F(PriorityProxyTest, PlansWithoutCustomersAreServedAsBefore)
{
  start(2, 0);
  EXPECT_EQ(sendUntilRefused("/a/x"), 9) << "three requests a slot";
  EXPECT_FALSE(hasLogged("expected_ms="));
  EXPECT_FALSE(hasLogged("priority="));
}

} // namespace
} // namespace bulrushrun::steering_test
