#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// One instance with two targets; callers leave at moments at which nothing has looked for it yet.
class CallerLeftTest : public ::testing::TestWithParam<const char*>
{
protected:
  CallerLeftTest()
  {
    mSimulation.putPlan(1, GetParam());
    mSimulation.putTarget("t1");
    mSimulation.putTarget("t2");
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(5));
  }
  std::shared_ptr<RecordingResponder> read(bool aLeft)
  {
    const std::shared_ptr<RecordingResponder> caller = std::make_shared<RecordingResponder>();
    caller->mDisconnected = aLeft;
    HttpRequest request;
    request.mMethod = "GET";
    request.mPath = "/a/x";
    request.mAuthority = "shop";
    request.mHeaders = { { "X-Request-Id", "id" }, { "X-Request-Timeout-Ms", "3000" } };
    mSimulation.node("n1").handleCaller(request, caller);
    return caller;
  }

  FleetSimulation mSimulation;
};

/// Guards against work for a caller that left before a busy instance read its request.
TEST_P(CallerLeftTest, BeforeItsRequestIsRead)
{
  const std::shared_ptr<RecordingResponder> caller = read(true);
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
  EXPECT_TRUE(caller->mComplete) << "the request is not ended";
  mSimulation.run(std::chrono::seconds(4));
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

/// Guards against sending a request again for a caller that left during the first attempt.
TEST_P(CallerLeftTest, BeforeItsRequestIsSentAgain)
{
  const std::shared_ptr<RecordingResponder> caller = read(false);
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 200, { { "X-Response-Signature", "s" } }, "body");
  EXPECT_EQ(caller->mHead.mStatus, 200) << "a caller that stays is served";
  const std::shared_ptr<RecordingResponder> leaver = read(false);
  mSimulation.run(FleetSimulation::kLinkLatency);
  leaver->mDisconnected = true;
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 503, { { "X-Not-Executed", "1" } }, "");
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

/// Guards against sending a request whose caller left while the connection to the target was being
/// established.
TEST_P(CallerLeftTest, BeforeTheConnectionToTheTargetIsEstablished)
{
  const std::shared_ptr<RecordingResponder> caller = read(false);
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  caller->mDisconnected = true;
  mSimulation.run(FleetSimulation::kLinkLatency);
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
  EXPECT_TRUE(caller->mComplete) << "the request is not ended";
}

INSTANTIATE_TEST_SUITE_P(Kinds, CallerLeftTest, ::testing::Values("safe", "non_idempotent"));

} // namespace
} // namespace bulrushrun::steering_test
