#include "bulrushrun/placement.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

class PlacementTableTest : public ::testing::Test
{
protected:
  PlacementTableTest() { mTable.setComplete(); }

  static constexpr ObjectKey kObject{ 11 };
  static constexpr TargetHash kLeft{ 1 };
  static constexpr TargetHash kRight{ 2 };

  TimePoint mNow{ std::chrono::seconds(100) };
  PlacementTable mTable;
};

TEST_F(PlacementTableTest, CountsTheObjectsAtEachTarget)
{
  mTable.place(kObject, kLeft, mNow);
  mTable.place(ObjectKey{ 12 }, kLeft, mNow);
  EXPECT_EQ(mTable.objectsAt(kLeft), 2U);
  mTable.place(kObject, kRight, mNow);
  EXPECT_EQ(mTable.objectsAt(kLeft), 1U);
  EXPECT_EQ(mTable.objectsAt(kRight), 1U);
}

/// Guards against a restarted instance that places all objects anew and so cools every target.
TEST_F(PlacementTableTest, DoesNotPlaceBeforeThePlacementsOfOthersAreKnown)
{
  PlacementTable table;
  EXPECT_FALSE(table.place(kObject, kLeft, mNow));
  table.setComplete();
  EXPECT_TRUE(table.place(kObject, kLeft, mNow));
}

class ConcurrentPlacementTest : public PlacementTableTest
{};

TEST_F(ConcurrentPlacementTest, InstancesThatPlacedAnObjectAtTheSameTimeAgree)
{
  PlacementTable other;
  other.setComplete();
  const Placement left = *mTable.place(kObject, kLeft, mNow);
  const Placement right = *other.place(kObject, kRight, mNow);
  mTable.merge(right, mNow);
  other.merge(left, mNow);
  EXPECT_EQ(mTable.find(kObject)->mTarget, other.find(kObject)->mTarget);
  EXPECT_EQ(mTable.objectsAt(kLeft) + mTable.objectsAt(kRight), 1U);
}

TEST_F(ConcurrentPlacementTest, ALaterMoveWinsOverALateAnnouncementOfTheFirst)
{
  const Placement first = *mTable.place(kObject, kRight, mNow);
  mTable.place(kObject, kLeft, mNow);
  mTable.merge(first, mNow);
  EXPECT_EQ(mTable.find(kObject)->mTarget, kLeft);
}

class UnusedPlacementTest : public PlacementTableTest
{};

TEST_F(UnusedPlacementTest, IsDroppedAfterTheIdleTimeout)
{
  mTable.place(kObject, kLeft, mNow);
  const std::uint64_t changes = mTable.changes(kObject.value() % PlacementTable::kParts);
  mTable.sweep(mNow + PlacementTable::kIdleTimeout);
  EXPECT_FALSE(mTable.find(kObject));
  EXPECT_EQ(mTable.objectsAt(kLeft), 0U);
  EXPECT_GT(mTable.changes(kObject.value() % PlacementTable::kParts), changes);
}

TEST_F(UnusedPlacementTest, IsKeptByInstancesThatHearOfItsUse)
{
  mTable.place(kObject, kLeft, mNow);
  PlacementTable other;
  other.merge(*mTable.find(kObject), mNow);
  const TimePoint later = mNow + PlacementTable::kIdleTimeout / 2;
  EXPECT_FALSE(mTable.renew(kObject, mNow)) << "it was just announced";
  const std::optional<Placement> renewed = mTable.renew(kObject, later);
  ASSERT_TRUE(renewed);
  other.merge(*renewed, later);
  other.sweep(mNow + PlacementTable::kIdleTimeout);
  EXPECT_TRUE(other.find(kObject));
}

TEST_F(PlacementTableTest, TakesNoMoreObjectsThanItsLimit)
{
  for (std::uint64_t key = 0; key < PlacementTable::kMaxPlacements; ++key) {
    mTable.place(ObjectKey{ key }, kLeft, mNow);
  }
  EXPECT_FALSE(mTable.place(ObjectKey{ PlacementTable::kMaxPlacements }, kLeft, mNow));
  EXPECT_TRUE(mTable.place(ObjectKey{ 0 }, kRight, mNow)) << "a known object may still move";
}

class PlacementMessageTest : public PlacementTableTest
{};

TEST_F(PlacementMessageTest, CarriesPlacementsInMessagesOfLimitedSize)
{
  std::vector<Placement> placements;
  for (std::uint64_t key = 0; key < 200; ++key) {
    placements.push_back({ ObjectKey{ ~key }, TargetHash{ ~key }, PlacementGeneration{ 1 } });
  }
  constexpr std::size_t kFrameBytes = 1400;
  std::size_t received = 0;
  for (const std::string& bytes : encodePlacements(placements, true)) {
    EXPECT_LT(bytes.size(), kFrameBytes);
    const std::optional<PlacementMessage> message = decodePlacements(bytes);
    ASSERT_TRUE(message);
    EXPECT_TRUE(message->mForward);
    received += message->mPlacements.size();
  }
  EXPECT_EQ(received, placements.size());
}

TEST_F(PlacementMessageTest, RejectsEveryTruncation)
{
  const std::string bytes = encodeAllPlacements({ { kObject, kLeft, PlacementGeneration{ 1 } } });
  ASSERT_TRUE(decodePlacements(bytes));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodePlacements(bytes.substr(0, length))) << length;
  }
}

TEST_F(PlacementMessageTest, SavedPlacementsFitIntoARowOfTheStore)
{
  constexpr std::size_t kRowBytes = 65536;
  const std::vector<Placement> placements(
    PlacementTable::kMaxPlacements / PlacementTable::kParts,
    { ObjectKey{ ~0ULL }, TargetHash{ ~0ULL }, PlacementGeneration{ ~0ULL } });
  EXPECT_LE((encodeSavedPlacements(placements).size() + 2) / 3 * 4, kRowBytes);
}

} // namespace
} // namespace bulrushrun
