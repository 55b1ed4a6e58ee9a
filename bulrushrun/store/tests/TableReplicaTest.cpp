#include "bulrushrun/store/TableReplica.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

StoreRow row(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue = "v")
{
  return { aKey, aValue, RecordVersion{ aVersion }, false };
}

/// Story: news of one table comes from the store and from peers, in any order.
class ACopyOfATable : public ::testing::Test
{
protected:
  TableReplica mCopy;
};

TEST_F(ACopyOfATable, TakesEachChangeOnce)
{
  EXPECT_EQ(mCopy.apply({ row("a", 3) }, {}).size(), 1U);
  EXPECT_TRUE(mCopy.apply({ row("a", 3) }, {}).empty());
  EXPECT_TRUE(mCopy.apply({ row("a", 2, "older") }, {}).empty());
  EXPECT_EQ(mCopy.changesSince(RecordVersion{ 0 }).front().mValue, "v");
}

TEST_F(ACopyOfATable, KeepsARemovedRowRemovedWhenAnOlderReportArrives)
{
  mCopy.apply({ row("a", 3) }, {});
  mCopy.apply({ { "a", "", RecordVersion{ 5 }, true } }, {});
  EXPECT_TRUE(mCopy.apply({ row("a", 4) }, {}).empty());
  EXPECT_TRUE(mCopy.changesSince(RecordVersion{ 0 }).front().mRemoved);
}

TEST_F(ACopyOfATable, LearnsFromASnapshotWhatWasRemoved)
{
  mCopy.apply({ row("a", 3), row("b", 4), row("c", 9) }, {});
  const std::vector<StoreRow> news = mCopy.applySnapshot({ row("a", 3) }, RecordVersion{ 7 });
  ASSERT_EQ(news.size(), 1U) << "c is newer than the snapshot";
  EXPECT_EQ(news.front().mKey, "b");
  EXPECT_TRUE(news.front().mRemoved);
  EXPECT_EQ(mCopy.newestVersion(), RecordVersion{ 9 });
}

TEST_F(ACopyOfATable, DoesNotTakeUpARowThatWasRemovedBeforeItsSnapshot)
{
  mCopy.applySnapshot({ row("a", 3) }, RecordVersion{ 9 });
  EXPECT_TRUE(mCopy.apply({ row("gone", 2) }, RecordVersion{ 1 }).empty());
  EXPECT_EQ(mCopy.apply({ row("new", 10) }, RecordVersion{ 10 }).size(), 1U);
  EXPECT_EQ(mCopy.completeVersion(), RecordVersion{ 10 });
}

TEST_F(ACopyOfATable, TellsChangesInTheOrderOfTheirVersions)
{
  mCopy.apply({ row("a", 8), row("b", 4), row("c", 6) }, {});
  const std::vector<StoreRow> changes = mCopy.changesSince(RecordVersion{ 4 });
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].mKey, "c");
  EXPECT_EQ(changes[1].mKey, "a");
}

} // namespace
} // namespace bulrushrun
