#include "bulrushrun/routing.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{ seconds(100) };

TargetSpec target(const std::string& aId, int aSlots)
{
  return { TargetId{ aId }, Endpoint{ 1, 1 }, ZoneName{ "z" }, aSlots };
}

QueuedRequest entry(std::uint64_t aId, Duration aDeadline, int aPriority = 0)
{
  return { RequestId{ aId }, ClassName{ "c" }, aPriority, kStart + aDeadline, 1.0, {} };
}

struct ServicePoolTest : testing::Test
{
  ServicePoolTest()
  {
    mPool.setTargets({ target("a", 2), target("b", 1) }, false, kStart);
    mPool.onHealthChecked(TargetId{ "a" });
    mPool.onHealthChecked(TargetId{ "b" });
  }

  /// Occupies all three slots with requests 100 to 102.
  void fill()
  {
    for (std::uint64_t id = 100; id < 103; ++id) {
      mPool.enqueue(entry(id, seconds(1)));
      ASSERT_TRUE(mPool.next(kStart));
    }
  }

  ServicePool mPool{ 0.34 };
};

TEST_F(ServicePoolTest, DispatchesNoMoreRequestsThanItsTargetsHaveSlots)
{
  fill();
  mPool.enqueue(entry(1, seconds(1)));
  EXPECT_FALSE(mPool.next(kStart));
  EXPECT_EQ(mPool.inUse(), 3);
  mPool.release(TargetId{ "b" }, ClassName{ "c" }, SlotRelease::Answered, milliseconds(5), kStart);
  const std::optional<Dispatch> next = mPool.next(kStart);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mTarget.mId, TargetId{ "b" });
}

TEST_F(ServicePoolTest, OrdersRequestsByPriorityThenDeadline)
{
  mPool.enqueue(entry(1, seconds(3)));
  mPool.enqueue(entry(2, seconds(1), 1));
  mPool.enqueue(entry(3, seconds(2)));
  EXPECT_EQ(mPool.next(kStart)->mRequest, RequestId{ 3 });
  EXPECT_EQ(mPool.next(kStart)->mRequest, RequestId{ 1 });
  EXPECT_EQ(mPool.next(kStart)->mRequest, RequestId{ 2 });
}

TEST_F(ServicePoolTest, CannotServeRequestsThatWouldMissTheirDeadline)
{
  fill();
  mPool.release(
    TargetId{ "a" }, ClassName{ "c" }, SlotRelease::Answered, milliseconds(100), kStart);
  mPool.enqueue(entry(1, seconds(1)));
  ASSERT_TRUE(mPool.next(kStart));
  for (std::uint64_t id = 10; id < 40; ++id) {
    mPool.enqueue(entry(id, seconds(1)));
  }
  EXPECT_FALSE(mPool.canServe(entry(50, seconds(1)), kStart));
  EXPECT_TRUE(mPool.canServe(entry(50, seconds(2)), kStart));
}

TEST_F(ServicePoolTest, DispatchesNothingToNewTargetsBeforeTheirFirstHealthCheck)
{
  ServicePool pool{ 0.34 };
  pool.setTargets({ target("a", 1) }, true, kStart);
  pool.enqueue(entry(1, seconds(60)));
  EXPECT_FALSE(pool.next(kStart + seconds(4)));
  pool.onHealthChecked(TargetId{ "a" });
  EXPECT_TRUE(pool.next(kStart + seconds(4)));
}

TEST_F(ServicePoolTest, DispatchesNothingToALeavingTarget)
{
  mPool.setLeaving(TargetId{ "a" }, true);
  mPool.enqueue(entry(1, seconds(1)));
  EXPECT_EQ(mPool.next(kStart)->mTarget.mId, TargetId{ "b" });
  mPool.enqueue(entry(2, seconds(1)));
  EXPECT_FALSE(mPool.next(kStart));
}

TEST_F(ServicePoolTest, LimitsTheShareOfEjectedTargets)
{
  const auto failThreeTimes = [&](const char* aTarget) {
    ReleaseEffect effect = ReleaseEffect::None;
    for (int i = 0; i < 3; ++i) {
      QueuedRequest next = entry(1, seconds(1));
      next.mAvoidedTarget = TargetId{ std::string(aTarget) == "a" ? "b" : "a" };
      mPool.enqueue(next);
      const std::optional<Dispatch> dispatch = mPool.next(kStart);
      EXPECT_EQ(dispatch->mTarget.mId, TargetId{ aTarget });
      effect = mPool.release(
        dispatch->mTarget.mId, ClassName{ "c" }, SlotRelease::Failed, milliseconds(1), kStart);
    }
    return effect;
  };
  EXPECT_EQ(failThreeTimes("a"), ReleaseEffect::Ejected);
  EXPECT_EQ(failThreeTimes("b"), ReleaseEffect::None);
  EXPECT_TRUE(mPool.isUsable(kStart));
}

TEST_F(ServicePoolTest, LimitsATargetToOneSlotAfterAnEjection)
{
  ServicePool pool{ 0.5 };
  pool.setTargets({ target("a", 3), target("b", 3) }, false, kStart);
  pool.onHealthChecked(TargetId{ "a" });
  pool.onHealthChecked(TargetId{ "b" });
  for (int i = 0; i < 3; ++i) {
    QueuedRequest next = entry(1, seconds(1));
    next.mAvoidedTarget = TargetId{ "b" };
    pool.enqueue(next);
    pool.release(pool.next(kStart)->mTarget.mId,
                 ClassName{ "c" },
                 SlotRelease::Failed,
                 milliseconds(1),
                 kStart);
  }
  EXPECT_EQ(pool.usableSlots(kStart), 3);
  EXPECT_EQ(pool.usableSlots(kStart + seconds(2)), 4);
}

/// Guards against slow requests of one class occupying all slots and starving other classes.
TEST_F(ServicePoolTest, ReservesSlotsForOtherClasses)
{
  for (std::uint64_t id = 1; id <= 3; ++id) {
    QueuedRequest heavy = entry(id, seconds(1));
    heavy.mClass = ClassName{ "heavy" };
    heavy.mSlotShare = 0.5;
    mPool.enqueue(heavy);
  }
  EXPECT_TRUE(mPool.next(kStart));
  EXPECT_TRUE(mPool.next(kStart));
  EXPECT_FALSE(mPool.next(kStart));
  mPool.enqueue(entry(9, seconds(1)));
  EXPECT_EQ(mPool.next(kStart)->mRequest, RequestId{ 9 });
}

TEST(Rendezvous, MovesOnlyTheKeysOfARemovedNode)
{
  const std::vector<int> five{ 1, 2, 3, 4, 5 };
  const std::vector<int> four{ 1, 2, 3, 4 };
  const auto weight = [](int) { return 1.0; };
  const auto hash = [](int aNode) { return mixBits(static_cast<std::uint64_t>(aNode)); };
  int moved = 0;
  for (std::uint64_t key = 0; key < 10000; ++key) {
    const int before = *rendezvousWinner(mixBits(key), five, weight, hash);
    const int now = *rendezvousWinner(mixBits(key), four, weight, hash);
    if (before != now) {
      ++moved;
      EXPECT_EQ(before, 5);
    }
  }
  EXPECT_NEAR(moved, 2000, 200);
}

TEST(Rendezvous, DistributesKeysByWeight)
{
  const std::vector<int> nodes{ 1, 3 };
  int heavy = 0;
  for (std::uint64_t key = 0; key < 10000; ++key) {
    const int* winner = rendezvousWinner(
      mixBits(key),
      nodes,
      [](int aNode) { return static_cast<double>(aNode); },
      [](int aNode) { return mixBits(static_cast<std::uint64_t>(aNode)); });
    heavy += *winner == 3 ? 1 : 0;
  }
  EXPECT_NEAR(heavy, 7500, 200);
}

} // namespace
} // namespace bulrushrun
