#include "bulrushrun/steering/tests/PlannedStopFixture.h"

namespace bulrushrun::steering_test {
namespace {

constexpr Duration kArrivals = std::chrono::milliseconds(100);

struct StopScenario
{
  const char* mKind;
  Duration mWork;
};

class PlannedStopTest
  : public PlannedStopFixture
  , public ::testing::WithParamInterface<StopScenario>
{
protected:
  void playStop()
  {
    start(GetParam().mKind, GetParam().mWork);
    warmUp();
    for (int i = 0; i < 10; ++i) {
      send("calm-" + std::to_string(i));
      run(kArrivals);
    }
    stop();
    sendUntilTheEnd(kArrivals);
    ASSERT_TRUE(hasExited());
  }
};

/// Guards against a request that was passed on and is cut without an answer when the grace ends.
TEST_P(PlannedStopTest, EveryRequestIsAnsweredBeforeTheProcessEnds)
{
  playStop();
  EXPECT_LT(exitedAt(), mStoppedAt + kGrace);
  for (const auto& [id, call] : mCalls) {
    EXPECT_EQ(call.mResponder->mComplete, true) << id;
  }
}

/// Guards against requests that are taken during the stop though they can't end before it.
TEST_P(PlannedStopTest, RequestsTakenAfterTheSignalGetTheAnswerOfTheirTarget)
{
  playStop();
  for (const auto& [id, call] : mCalls) {
    if (call.mSent >= mStoppedAt && call.mPassedOn) {
      EXPECT_TRUE(call.hasTargetsAnswer() || call.mResponder->mHead.mStatus == 503)
        << id << " sent " << toMillis(call.mSent - mStoppedAt) << " ms after the signal, status "
        << call.mResponder->mHead.mStatus;
      EXPECT_LT(*call.mPassedOn + call.mLimit, mStoppedAt + kGrace) << id;
    }
  }
}

/// Guards against a refusal that comes late, without a hint, or after the request was passed on.
TEST_P(PlannedStopTest, WhatCannotEndBeforeTheProcessIsRefusedAtOnce)
{
  playStop();
  int refused = 0;
  for (const auto& [id, call] : mCalls) {
    if (call.mSent < mStoppedAt || call.mPassedOn) {
      continue;
    }
    ++refused;
    EXPECT_EQ(call.mResponder->mHead.mStatus, 503) << id;
    EXPECT_NE(findHeader(call.mResponder->mHead.mHeaders, "Retry-After"), nullptr) << id;
    EXPECT_TRUE(call.mResponder->mHead.mCloseAfter) << id;
    EXPECT_EQ(call.mEnded, call.mSent) << id;
  }
  EXPECT_GT(refused, 0);
  EXPECT_EQ(GetParam().mWork > kGrace, mCalls.at("stop-0").mPassedOn == std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
  WorkAtTargets,
  PlannedStopTest,
  ::testing::Values(StopScenario{ "safe", std::chrono::milliseconds(100) },
                    StopScenario{ "non_idempotent", std::chrono::milliseconds(100) },
                    StopScenario{ "safe", std::chrono::milliseconds(1000) },
                    StopScenario{ "non_idempotent", std::chrono::milliseconds(1000) },
                    StopScenario{ "safe", std::chrono::milliseconds(2900) },
                    StopScenario{ "non_idempotent", std::chrono::milliseconds(2900) },
                    StopScenario{ "safe", std::chrono::milliseconds(4500) },
                    StopScenario{ "non_idempotent", std::chrono::milliseconds(4500) },
                    StopScenario{ "safe", std::chrono::milliseconds(8000) },
                    StopScenario{ "non_idempotent", std::chrono::milliseconds(8000) }));

class PlannedStopSurpriseTest : public PlannedStopFixture
{};

/// Guards against cut requests when the work takes longer than it did before the stop.
TEST_F(PlannedStopSurpriseTest, SlowerWorkIsEndedByTheLimitThatTheTargetGot)
{
  start("non_idempotent", std::chrono::milliseconds(200));
  warmUp();
  stop();
  run(std::chrono::milliseconds(2800));
  mWork = std::chrono::seconds(20);
  const Call& call = send("slow");
  run(kGrace);
  ASSERT_TRUE(call.mPassedOn);
  EXPECT_EQ(call.mResponder->mHead.mStatus, 504);
  EXPECT_TRUE(call.hasTargetsAnswer());
}

/// Guards against a closed connection in place of an answer when a target stays silent.
TEST_F(PlannedStopSurpriseTest, SilentTargetIsReportedToTheCallerBeforeTheProcessEnds)
{
  start("non_idempotent", std::chrono::milliseconds(200));
  warmUp();
  mSilent = true;
  stop();
  const Call& call = send("unanswered");
  run(kGrace);
  ASSERT_TRUE(call.mPassedOn);
  EXPECT_EQ(call.mResponder->mComplete, true);
  EXPECT_EQ(call.mResponder->mHead.mStatus, 502) << "it may have run";
  EXPECT_LT(exitedAt(), mStoppedAt + kGrace);
}

/// Guards against an exit by the old grace, after the kill, when a reload has shortened it.
TEST_F(PlannedStopSurpriseTest, GraceThatAReloadShortenedHoldsForTheNextStop)
{
  start("non_idempotent", std::chrono::milliseconds(200));
  warmUp();
  mSilent = true;
  FleetBounds bounds;
  bounds.mGrace = std::chrono::seconds(4);
  mSimulation.node("n1").setBounds(bounds);
  stop();
  const Call& call = send("unanswered");
  run(kGrace);
  ASSERT_TRUE(hasExited());
  EXPECT_LT(exitedAt(), mStoppedAt + bounds.mGrace);
  EXPECT_EQ(call.mResponder->mComplete, true);
}

/// Guards against another attempt that can't end before the process does.
TEST_F(PlannedStopSurpriseTest, DeclinedRequestIsRefusedWhenTooLittleTimeIsLeft)
{
  start("non_idempotent", std::chrono::milliseconds(2000));
  warmUp();
  mSilent = true;
  stop();
  const Call& call = send("declined");
  run(std::chrono::milliseconds(5000));
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 503, { { "X-Not-Executed", "1" } }, "");
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
  EXPECT_EQ(call.mResponder->mHead.mStatus, 503);
}

/// Guards against unanswered requests that wait for the tables when the stop comes during a start.
TEST_F(PlannedStopSurpriseTest, RequestsOfAnInstanceThatStopsWhileStartingAreAnswered)
{
  start("safe", std::chrono::milliseconds(200));
  mSimulation.mStoreUnreachableFrom.insert("n2");
  SimulatedInstance& starting = mSimulation.add("n2", "za");
  starting.start();
  const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest("n2", "early");
  starting.stop();
  EXPECT_FALSE(starting.isReady());
  mSimulation.run(kGrace);
  EXPECT_EQ(caller->mComplete, true);
  EXPECT_TRUE(mSimulation.mExitedAt.contains("n2"));
}

} // namespace
} // namespace bulrushrun::steering_test
