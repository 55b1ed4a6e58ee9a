#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace bulrushrun::steering_test {
namespace {

/// A fleet whose callers send to six targets; one of them names a limit in its responses. The
/// parameter is the number of instances.
class TargetLimitTest : public ::testing::TestWithParam<int>
{
protected:
  static constexpr Duration kStep = std::chrono::milliseconds(20);
  static constexpr Duration kWindow = std::chrono::seconds(4);
  static constexpr Duration kStability = std::chrono::seconds(4);

  TargetLimitTest()
  {
    mSimulation.putPlan(1, "safe");
    for (int i = 1; i <= 6; ++i) {
      mSimulation.putTarget("t" + std::to_string(i), "ready", 40, 0, i % 2 == 0 ? "za" : "zb");
    }
    for (int i = 1; i <= GetParam(); ++i) {
      mNames.push_back("n" + std::to_string(i));
      mSimulation.add(mNames.back(), i % 2 == 0 ? "za" : "zb").start();
    }
    mSimulation.run(std::chrono::seconds(15));
  }
  /// Callers send 100 requests a second, for 40 objects, to all instances in turn; targets respond
  /// after a fifth of a second.
  void play(Duration aDuration)
  {
    const TimePoint until = mSimulation.now() + aDuration;
    while (mSimulation.now() < until) {
      const std::string id = std::to_string(++mSent);
      mSimulation.sendRequest(
        mNames[mRandom.below(mNames.size())], id, "object-" + std::to_string(mRandom.below(40)));
      mSimulation.sendRequest(
        mNames[mRandom.below(mNames.size())], id + "b", "object-" + std::to_string(mSent % 40));
      answer();
      mSimulation.run(kStep - 4 * FleetSimulation::kLinkLatency);
    }
  }
  void answer()
  {
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      const auto [sent, isNew] = mSentAt.try_emplace(exchange.value(), mSimulation.now());
      const HttpRequest& request = mSimulation.exchange(exchange).mRequest;
      const std::string target = *findHeader(request.mHeaders, "X-Target-Instance");
      if (isNew && target == "t1") {
        mArrivals.push_back(mSimulation.now());
      }
      if (mSimulation.now() - sent->second >= std::chrono::milliseconds(200)) {
        Headers headers{ { "X-Response-Signature", "sig" } };
        if (target == "t1" && mLimit) {
          headers.push_back({ "Server-Limit", *mLimit });
        }
        mSimulation.respondTo(exchange, 200, headers, "body");
      }
    }
  }
  /// \returns the most requests that reached the target within a window of 4 s since a time.
  std::size_t mostInWindow(TimePoint aSince) const
  {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const TimePoint arrival : mArrivals) {
      window.push_back(arrival);
      while (arrival - window.front() >= kWindow) {
        window.pop_front();
      }
      if (window.front() >= aSince) {
        most = std::max(most, window.size());
      }
    }
    return most;
  }
  std::size_t arrivalsSince(TimePoint aSince) const
  {
    return static_cast<std::size_t>(std::count_if(
      mArrivals.begin(), mArrivals.end(), [&](TimePoint aArrival) { return aArrival >= aSince; }));
  }

  FleetSimulation mSimulation;
  Random mRandom{ 1 };
  std::vector<std::string> mNames;
  std::optional<std::string> mLimit;
  std::map<std::uint64_t, TimePoint> mSentAt;
  std::vector<TimePoint> mArrivals;
  int mSent = 0;
};

/// Guards against a target that names a limit and gets far more from all instances together.
TEST_P(TargetLimitTest, AllInstancesTogetherStayWithinIt)
{
  play(std::chrono::seconds(4));
  EXPECT_GT(mArrivals.size(), 40U) << "the target is not busy enough for this test";
  for (const double limit : { 4.3, 1.0 }) {
    mLimit = std::to_string(limit);
    const TimePoint named = mSimulation.now();
    play(std::chrono::seconds(24));
    EXPECT_LE(mostInWindow(named + kStability), 1.5 * limit * 4 + 5) << "limit " << limit;
    EXPECT_GE(arrivalsSince(named + kStability), 0.4 * limit * 20) << "limit " << limit;
  }
}

/// Guards against a limit that outlives the target's need, at instances without a quota, too.
TEST_P(TargetLimitTest, EndsWhenResponsesNoLongerNameIt)
{
  mLimit = "2";
  play(std::chrono::seconds(10));
  mLimit.reset();
  play(std::chrono::seconds(60));
  const TimePoint since = mSimulation.now();
  play(std::chrono::seconds(10));
  EXPECT_GT(arrivalsSince(since), 80U);
}

/// Guards against a limit that a target inherits from its earlier incarnation under the same id.
TEST_P(TargetLimitTest, EndsWithTheIncarnationThatNamedIt)
{
  mLimit = "0";
  play(std::chrono::seconds(8));
  mLimit.reset();
  mSimulation.putTarget("t1", "ready", 40, 0, "zb", 2);
  mSimulation.run(std::chrono::seconds(8));
  const TimePoint since = mSimulation.now();
  play(std::chrono::seconds(10));
  EXPECT_GT(arrivalsSince(since), 80U);
}

/// Guards against a limit that is taken from, or lifted by, a header that can't be read.
TEST_P(TargetLimitTest, UnreadableValueChangesNothing)
{
  mLimit = "2";
  play(std::chrono::seconds(6));
  for (const char* value : { "many", "-1", "nan", "inf", "1e", "", "3,5" }) {
    mLimit = value;
    play(std::chrono::seconds(4));
  }
  EXPECT_LE(mostInWindow(mSimulation.now() - std::chrono::seconds(20)), 1.5 * 2 * 4 + 5);
  mLimit = "1e400";
  const TimePoint since = mSimulation.now();
  play(std::chrono::seconds(70));
  EXPECT_GT(arrivalsSince(since), 300U) << "a rate beyond all numbers limits nothing";
}

INSTANTIATE_TEST_SUITE_P(Instances, TargetLimitTest, ::testing::Values(4, 10, 40));

} // namespace
} // namespace bulrushrun::steering_test
