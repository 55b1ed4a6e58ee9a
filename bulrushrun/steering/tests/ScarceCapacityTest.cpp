#include "bulrushrun/steering/tests/ScarceFleet.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Kinds of requests with four priorities and latency targets (docs/design/HARD-LOAD.md, C1, a
/// fifth of its rates). The first region has 5 of 53 targets and a third of the callers.
class ScarceCapacityTest : public ::testing::Test
{
protected:
  enum Kind : std::size_t
  {
    kMedium,
    kLow,
    kHigh,
    kStrict,
  };

  static ScarceFleetOptions options()
  {
    ScarceFleetOptions options;
    options.mKinds = {
      { 208, milliseconds(520), milliseconds(400), milliseconds(2500), { 1, 3 }, true },
      { 73, milliseconds(720), milliseconds(1000), milliseconds(4000), { 2, 3 }, false },
      { 23, milliseconds(440), milliseconds(250), milliseconds(2000), { 0, 3 }, true },
      { 24, milliseconds(440), milliseconds(300), milliseconds(2000), { 1, 3 }, false }
    };
    return options;
  }
  static std::unique_ptr<ScarceFleet> play(const ScarceFleetOptions& aOptions, double aDemand)
  {
    std::unique_ptr<ScarceFleet> fleet = std::make_unique<ScarceFleet>(aOptions);
    fleet->run(seconds(8));
    fleet->reset();
    fleet->setDemand(aDemand);
    fleet->run(seconds(10));
    return fleet;
  }
  /// \returns the shares of all callers that were served in time.
  static double inTime(const ScarceFleet& aFleet)
  {
    double callers = 0;
    double inTime = 0;
    for (const std::size_t kind : { kMedium, kLow, kHigh, kStrict }) {
      callers += aFleet.result(kind).mCallers;
      inTime += aFleet.result(kind).mInTime;
    }
    return inTime / callers;
  }
};

/// Load: three times the usual demand. Queues of nine requests and cold executions at other targets
/// left 36 % in time, and refused all kinds alike (19 %).
TEST_F(ScarceCapacityTest, OverloadIsServedInTimeAndByPriority)
{
  const std::unique_ptr<ScarceFleet> fleet = play(options(), 3);
  EXPECT_GE(inTime(*fleet), 0.5) << fleet->table();
  EXPECT_GE(fleet->result(kHigh).served(), fleet->result(kMedium).served()) << fleet->table();
  EXPECT_GE(fleet->result(kMedium).served(), fleet->result(kLow).served()) << fleet->table();
  EXPECT_GE(fleet->result(kStrict).served(), fleet->result(kLow).served()) << fleet->table();
  EXPECT_GE(fleet->result(kHigh).served(), 0.85) << fleet->table();
}

/// Load: the usual demand. Guards against refusals while targets have free slots.
TEST_F(ScarceCapacityTest, NothingIsRefusedWhileThereIsRoom)
{
  const std::unique_ptr<ScarceFleet> fleet = play(options(), 1);
  for (const std::size_t kind : { kMedium, kLow, kHigh, kStrict }) {
    EXPECT_GE(fleet->result(kind).served(), 0.98) << fleet->table();
  }
}

/// Load: demand falls back from three times to once the usual. Guards against an overload that
/// outlasts its cause because objects spread over targets that then forget others.
TEST_F(ScarceCapacityTest, AnOverloadEndsWithItsCause)
{
  const std::unique_ptr<ScarceFleet> fleet = play(options(), 3);
  fleet->setDemand(1);
  fleet->run(seconds(3));
  fleet->reset();
  fleet->run(seconds(5));
  EXPECT_GE(inTime(*fleet), 0.85) << fleet->table();
}

/// Load: a tenth of the machines is four times as slow, another tenth every half second. Guards
/// against requests that wait at slow machines while others are idle.
TEST_F(ScarceCapacityTest, SlowMachinesGetLess)
{
  ScarceFleetOptions slow = options();
  slow.mSlowShare = 0.1;
  const double reported = inTime(*play(slow, 1));
  slow.mReportSpeeds = false;
  EXPECT_GE(reported, inTime(*play(slow, 1)) + 0.01);
}

/// Load: abusive callers that repeat each refused request five times at once. Guards against
/// repeats that displace first attempts of other kinds.
TEST_F(ScarceCapacityTest, AbusiveRepeatsDoNotDisplaceFirstAttempts)
{
  ScarceFleetOptions abusive = options();
  abusive.mAbusiveRepeats = 5;
  const std::unique_ptr<ScarceFleet> with = play(abusive, 2);
  const std::unique_ptr<ScarceFleet> without = play(options(), 2);
  EXPECT_GE(with->result(kHigh).served(), without->result(kHigh).served() - 0.05) << with->table();
  EXPECT_GE(with->result(kStrict).served(), without->result(kStrict).served() - 0.1)
    << with->table();
}

} // namespace
} // namespace bulrushrun::steering_test
