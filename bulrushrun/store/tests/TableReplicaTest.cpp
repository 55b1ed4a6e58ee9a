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

} // namespace
} // namespace bulrushrun
