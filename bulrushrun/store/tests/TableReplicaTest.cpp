#include "bulrushrun/store/TableReplica.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

StoreRow row(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue = "v")
{
  return { aKey, aValue, RecordVersion{ aVersion }, false };
}

/// Changes of one table arrive from the store and from peers, in any order.
class TableReplicaTest : public ::testing::Test
{
protected:
  TableReplica mReplica;
};

TEST_F(TableReplicaTest, AppliesEachChangeOnce)
{
  EXPECT_EQ(mReplica.apply({ row("a", 3) }, {}).size(), 1U);
  EXPECT_TRUE(mReplica.apply({ row("a", 3) }, {}).empty());
  EXPECT_TRUE(mReplica.apply({ row("a", 2, "older") }, {}).empty());
  EXPECT_EQ(mReplica.changesSince(RecordVersion{ 0 }).front().mValue, "v");
}

TEST_F(TableReplicaTest, KeepsARowRemovedWhenAnOlderChangeArrives)
{
  mReplica.apply({ row("a", 3) }, {});
  mReplica.apply({ { "a", "", RecordVersion{ 5 }, true } }, {});
  EXPECT_TRUE(mReplica.apply({ row("a", 4) }, {}).empty());
  EXPECT_TRUE(mReplica.changesSince(RecordVersion{ 0 }).front().mRemoved);
}

TEST_F(TableReplicaTest, MarksRowsMissingInASnapshotAsRemoved)
{
  mReplica.apply({ row("a", 3), row("b", 4), row("c", 9) }, {});
  const std::vector<StoreRow> applied = mReplica.applySnapshot({ row("a", 3) }, RecordVersion{ 7 });
  ASSERT_EQ(applied.size(), 1U) << "c is newer than the snapshot";
  EXPECT_EQ(applied.front().mKey, "b");
  EXPECT_TRUE(applied.front().mRemoved);
  EXPECT_EQ(mReplica.newestVersion(), RecordVersion{ 9 });
}

TEST_F(TableReplicaTest, IgnoresARowThatWasRemovedBeforeTheSnapshot)
{
  mReplica.applySnapshot({ row("a", 3) }, RecordVersion{ 9 });
  EXPECT_TRUE(mReplica.apply({ row("gone", 2) }, RecordVersion{ 1 }).empty());
  EXPECT_EQ(mReplica.apply({ row("new", 10) }, RecordVersion{ 10 }).size(), 1U);
  EXPECT_EQ(mReplica.completeVersion(), RecordVersion{ 10 });
}

TEST_F(TableReplicaTest, ReturnsChangesSortedByVersion)
{
  mReplica.apply({ row("a", 8), row("b", 4), row("c", 6) }, {});
  const std::vector<StoreRow> changes = mReplica.changesSince(RecordVersion{ 4 });
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].mKey, "c");
  EXPECT_EQ(changes[1].mKey, "a");
}

/// Rows come and go for as long as the process runs.
class TombstoneTest : public TableReplicaTest
{
protected:
  /// Adds and removes rows, one after the other.
  void addAndRemove(std::uint64_t aRows)
  {
    for (std::uint64_t i = 0; i < aRows; ++i) {
      const std::string key = "gone-" + std::to_string(mVersion);
      mReplica.apply({ row(key, mVersion + 1) }, RecordVersion{ mVersion + 1 });
      mReplica.apply({ { key, "", RecordVersion{ mVersion + 2 }, true } },
                     RecordVersion{ mVersion + 2 });
      mVersion += 2;
    }
  }
  std::size_t rowCount() const { return mReplica.changesSince(RecordVersion{ 0 }).size(); }

  std::uint64_t mVersion = 0;
};

/// Guards against memory that grows with every row that was ever removed.
TEST_F(TombstoneTest, AreBounded)
{
  mReplica.apply({ row("stays", 1) }, RecordVersion{ 1 });
  mVersion = 1;
  addAndRemove(3 * TableReplica::kMaxTombstones);
  EXPECT_EQ(rowCount(), TableReplica::kMaxTombstones + 1);
}

/// Guards against a row that comes back because its tombstone was dropped.
TEST_F(TombstoneTest, DroppedOneStillKeepsItsRowRemoved)
{
  addAndRemove(2 * TableReplica::kMaxTombstones);
  EXPECT_TRUE(mReplica.apply({ row("gone-0", 1) }, {}).empty());
}

/// Guards against a peer that takes itself for complete without the removals that were dropped.
TEST_F(TombstoneTest, RemovalsAreNotClaimedToBeKnownFromBeforeTheDroppedOnes)
{
  EXPECT_EQ(mReplica.removalsKnownFrom(), RecordVersion{ 0 });
  addAndRemove(TableReplica::kMaxTombstones + 3);
  EXPECT_EQ(mReplica.removalsKnownFrom(), RecordVersion{ 6 });
  EXPECT_EQ(mReplica.changesSince(mReplica.removalsKnownFrom()).size(),
            TableReplica::kMaxTombstones);
}

/// Guards against restoring a row by a change older than its removal, while the changes between are
/// not known.
TEST_F(TombstoneTest, AreKeptBeyondTheCompleteVersion)
{
  std::vector<StoreRow> removals;
  for (std::uint64_t i = 0; i < 2 * TableReplica::kMaxTombstones; ++i) {
    removals.push_back({ "gone-" + std::to_string(i), "", RecordVersion{ 100 + i }, true });
  }
  mReplica.apply(removals, RecordVersion{ 50 });
  EXPECT_TRUE(mReplica.apply({ row("gone-0", 70) }, RecordVersion{ 50 }).empty());
}

/// Guards against tombstones of rows that exist again.
TEST_F(TombstoneTest, RowThatIsAddedAgainStays)
{
  addAndRemove(1);
  mReplica.apply({ row("gone-0", 10) }, RecordVersion{ 10 });
  mVersion = 10;
  addAndRemove(2 * TableReplica::kMaxTombstones);
  const std::vector<StoreRow> rows = mReplica.changesSince(RecordVersion{ 0 });
  EXPECT_EQ(rows.front().mKey, "gone-0");
  EXPECT_FALSE(rows.front().mRemoved);
}

} // namespace
} // namespace bulrushrun
