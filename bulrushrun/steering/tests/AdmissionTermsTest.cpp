#include "bulrushrun/steering/AdmissionTerms.h"
#include "bulrushrun/steering/EarlyRepeats.h"
#include "bulrushrun/steering/ReturnTime.h"
#include "bulrushrun/steering/ServicePriorities.h"
#include "bulrushrun/steering/TargetStats.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

using std::chrono::milliseconds;

/// Load: all. Guards against a priority inversion, by which a late urgent request finds less room
/// than a less urgent one.
TEST(QueueLimitTest, NoRequestFindsLessRoomThanALessUrgentOne)
{
  for (int levels = 1; levels <= 8; ++levels) {
    double previous = 10;
    for (int level = 0; level < levels; ++level) {
      const QueueLimit limit{ { level, levels } };
      EXPECT_LT(limit.atPrimary(true), previous);
      EXPECT_LT(limit.atPrimary(false), limit.atPrimary(true));
      EXPECT_GE(limit.atPrimary(false), 1.0) << "a free slot is always used";
      previous = limit.atPrimary(false);
    }
  }
}

/// Load: a target with a queue. Guards against estimates that differ from the measured times:
/// median execution 210 ms; 249 ms at load 4 and 567 ms at load 8.
TEST(CompletionEstimateTest, ReproducesTheMeasuredQueues)
{
  const ExecutionTimes times{ milliseconds(210), milliseconds(714), milliseconds(210) };
  EXPECT_EQ(expectedCompletion(3, 3, true, times), milliseconds(210));
  EXPECT_NEAR(toSeconds(expectedCompletion(4, 3, true, times)), 0.249, 0.035);
  EXPECT_NEAR(toSeconds(expectedCompletion(8, 3, true, times)), 0.567, 0.035);
  EXPECT_EQ(expectedCompletion(0, 3, false, times), milliseconds(714));
}

/// Load: continuous overload. Guards against waiting times that are learned as execution times, so
/// that the estimate rises with each queue and never falls again.
TEST(CompletionEstimateTest, LearnsExecutionTimesFromRequestsThatWaited)
{
  Random random{ 1 };
  ExecutionTimeLearner learner;
  MedianEstimate queued;
  for (int i = 0; i < 400; ++i) {
    const int load = 3 + static_cast<int>(random.below(6));
    const double execution = 0.1 + random.exponential(0.1);
    const double wait = queuedExecutions(load, 3) * 0.17;
    queued.add(learner.add(fromSeconds(execution + wait), load, 3, true));
  }
  EXPECT_NEAR(toSeconds(learner.times(queued).mWarm), 0.17, 0.05);
}

/// Load: a slow machine. Guards against speeds that are trusted for longer than they last, and
/// against slow executions that are learned as the usual ones.
TEST(CompletionEstimateTest, SpeedsCountWhileTheyAreNewAndAreNotLearned)
{
  const TimePoint now{ std::chrono::seconds(100) };
  TargetStats stats;
  EXPECT_EQ(stats.slowdown(now), 1);
  stats.onSlowdown(3, now);
  EXPECT_EQ(stats.slowdown(now + milliseconds(100)), 3);
  EXPECT_NEAR(stats.slowdown(now + milliseconds(300)), 2, 1e-6);
  EXPECT_EQ(stats.slowdown(now + milliseconds(500)), 1);
  ExecutionTimeLearner learner;
  EXPECT_NEAR(toSeconds(learner.add(milliseconds(600), 0, 3, true, 3)), 0.2, 1e-5);
}

class ServicePrioritiesTest : public ::testing::Test
{
protected:
  void addRoute(const std::string& aService, int aPriority)
  {
    Route route;
    route.mPriority = aPriority;
    route.mServices = { { ServiceName{ aService }, 1 } };
    mPlan.mRoutes.push_back(route);
  }

  RoutePlan mPlan;
};

/// Guards against ranks that mix the priorities of different services, and against a priority that
/// ranks nowhere.
TEST_F(ServicePrioritiesTest, RankAmongThoseOfTheService)
{
  addRoute("even", 1);
  addRoute("even", 1);
  addRoute("other", 3);
  addRoute("mixed", 0);
  addRoute("mixed", 7);
  const ServicePriorities priorities{ mPlan };
  EXPECT_FALSE(priorities.hasCustomers());
  EXPECT_EQ(priorities.levelOf(ServiceName{ "even" }, 1).mLevels, 1);
  EXPECT_EQ(priorities.levelOf(ServiceName{ "other" }, 3).mLevel, 0);
  EXPECT_EQ(priorities.levelOf(ServiceName{ "mixed" }, 7).mLevel, 1);
  EXPECT_EQ(priorities.levelOf(ServiceName{ "mixed" }, 0).mLevel, 0);
  EXPECT_EQ(priorities.levelOf(ServiceName{ "mixed" }, 3).mLevel, 0);
  EXPECT_EQ(priorities.levelOf(ServiceName{ "unknown" }, 3).mLevels, 1);
}

/// Guards against customers' priorities that rank nowhere.
TEST_F(ServicePrioritiesTest, PrioritiesOfCustomersRankAmongThoseOfTheRoutes)
{
  addRoute("s", 1);
  mPlan.mCustomers.emplace();
  Customer customer;
  customer.mName = CustomerName{ "c" };
  customer.mPriority = 0;
  mPlan.mCustomers->add(customer, { "key" });
  const ServicePriorities priorities{ mPlan };
  EXPECT_TRUE(priorities.hasCustomers());
  EXPECT_EQ(priorities.levelOf(ServiceName{ "s" }, 0).mLevel, 0);
  EXPECT_EQ(priorities.levelOf(ServiceName{ "s" }, 1).mLevel, 1);
  EXPECT_EQ(priorities.levelOf(ServiceName{ "s" }, 1).mLevels, 2);
}

/// Load: abusive repeats. Guards against demoting callers that wait as told, and another caller
/// that asks for the same object by chance.
TEST(EarlyRepeatsTest, OnlySeveralArrivalsBeforeTheStatedTimeCount)
{
  const TimePoint now{ std::chrono::seconds(100) };
  EarlyRepeats repeats;
  EXPECT_FALSE(repeats.isEarly(7, now));
  repeats.onRefused(7, now + milliseconds(100), now);
  EXPECT_FALSE(repeats.isEarly(7, now + milliseconds(10)));
  EXPECT_TRUE(repeats.isEarly(7, now + milliseconds(20)));
  EXPECT_FALSE(repeats.isEarly(8, now + milliseconds(20)));
  EXPECT_FALSE(repeats.isEarly(7, now + milliseconds(100)));
  EXPECT_FALSE(repeats.isEarly(7, now + milliseconds(101))) << "forgotten";
}

/// Load: a popular object whose callers are refused one after the other. Guards against first
/// attempts that count as repeats for as long as others are refused.
TEST(EarlyRepeatsTest, RefusalsOfOtherCallersDoNotProlongTheTime)
{
  const TimePoint start{ std::chrono::seconds(100) };
  EarlyRepeats repeats;
  int early = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = start + i * milliseconds(100);
    early += repeats.isEarly(7, now) ? 1 : 0;
    repeats.onRefused(7, now + milliseconds(150), now);
  }
  EXPECT_EQ(early, 0);
}

/// Load: executions that were once longer than the callers' deadline. Guards against a route that
/// is refused for good, because no request is sent that would show that it is faster again.
TEST(CompletionEstimateTest, LongExecutionsAloneDoNotRuleOutATarget)
{
  AdmissionTerms terms;
  terms.mTimes = { std::chrono::seconds(3), std::chrono::seconds(3), std::chrono::seconds(3) };
  terms.mToLatencyTarget = milliseconds(400);
  terms.mToDeadline = std::chrono::seconds(2);
  EXPECT_TRUE(outlookAt(terms, 0, 3, true, 1).mIsBeforeDeadline);
  EXPECT_FALSE(outlookAt(terms, 0, 3, true, 1).mIsInTime);
  EXPECT_FALSE(outlookAt(terms, 9, 3, true, 1).mIsBeforeDeadline) << "a wait of 6 s";
}

/// Load: many callers refused together. Guards against their return at one time, and against a time
/// after which callers do not return.
TEST(ReturnTimeTest, IsSpreadAndWithinTheRemainingTime)
{
  const Duration earliest = returnTime(milliseconds(200), std::chrono::seconds(4), 0);
  const Duration latest = returnTime(milliseconds(200), std::chrono::seconds(4), 0.999);
  EXPECT_EQ(earliest, milliseconds(200));
  EXPECT_GT(latest, milliseconds(390));
  EXPECT_LE(returnTime(std::chrono::seconds(9), std::chrono::seconds(3), 0.5),
            std::chrono::seconds(1));
}

} // namespace
} // namespace bulrushrun
