#include "bulrushrun/store.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

StoreRow row(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue = "v")
{
  return { aKey, aValue, RecordVersion{ aVersion }, false };
}

StoreRow removed(const std::string& aKey, std::uint64_t aVersion)
{
  return { aKey, "", RecordVersion{ aVersion }, true };
}

/// A replica at version 20 of epoch 0 meets the table of epoch 1, which is from an older copy.
class TableEpochTest : public ::testing::Test
{
protected:
  TableEpochTest()
  {
    mReplica.applySnapshot({ row("same", 3), row("changed", 12), row("lost", 15), row("gone", 5) },
                           RecordVersion{ 18 });
    mReplica.apply({ removed("gone", 20) }, RecordVersion{ 20 });
  }
  EpochChanges replace(const std::vector<StoreRow>& aRows)
  {
    return mReplica.replaceBy(aRows, RecordVersion{ 10 }, StoreEpoch{ 1 });
  }

  TableReplica mReplica;
};

/// Guards against rows of the new epoch that are ignored because their versions are lower.
TEST_F(TableEpochTest, AppliesRowsWithLowerVersions)
{
  const EpochChanges changes = replace({ row("same", 3), row("changed", 7, "older") });
  ASSERT_EQ(changes.mChanged.size(), 1U) << "the row that is the same is not processed again";
  EXPECT_EQ(changes.mChanged.front().mValue, "older");
  ASSERT_EQ(changes.mLost.size(), 1U);
  EXPECT_EQ(changes.mLost.front().mKey, "lost");
  EXPECT_EQ(mReplica.completeVersion(), RecordVersion{ 10 });
  EXPECT_EQ(mReplica.apply({ row("lost", 11) }, RecordVersion{ 11 }).size(), 1U);
}

/// Guards against digests that still contain rows of the older epoch.
TEST_F(TableEpochTest, HasTheDigestOfAReplicaThatNeverKnewTheOlderEpoch)
{
  const std::vector<StoreRow> table{ row("changed", 7, "older"), row("gone", 5) };
  replace(table);
  TableReplica fresh;
  fresh.replaceBy(table, RecordVersion{ 10 }, StoreEpoch{ 1 });
  EXPECT_EQ(mReplica.digest(), fresh.digest());
}

/// Guards against an ended evacuation, or a target that left, coming back by a row of the copy.
TEST_F(TableEpochTest, TellsAReturnedRowFromOneThatIsWrittenAnew)
{
  EXPECT_EQ(replace({ row("gone", 5) }).mReturned.size(), 1U);
  EXPECT_EQ(mReplica.apply({ row("gone", 11) }, RecordVersion{ 11 }).size(), 1U);
}

TEST_F(TableEpochTest, FollowsARowThatWasWrittenAnewBeforeTheTableWasRead)
{
  const EpochChanges changes = replace({ row("gone", 9) });
  EXPECT_TRUE(changes.mReturned.empty());
  EXPECT_EQ(changes.mChanged.size(), 1U);
}

/// Guards against forgetting a removal at the first of two rises, so that the second one brings the
/// row back.
TEST_F(TableEpochTest, RemembersRemovalsOverTwoRises)
{
  replace({ row("same", 3) });
  const EpochChanges second =
    mReplica.replaceBy({ row("gone", 5) }, RecordVersion{ 6 }, StoreEpoch{ 2 });
  EXPECT_EQ(second.mReturned.size(), 1U);
}

/// Guards against an instance that peers ignore after its restart, because versions went back.
TEST(IncarnationOfAnInstanceTest, RisesWithTheEpochAlthoughVersionsGoBack)
{
  EXPECT_EQ(incarnationOf({}, RecordVersion{ 900 }), Incarnation{ 900 });
  EXPECT_LT(incarnationOf({}, RecordVersion{ 900 }),
            incarnationOf(StoreEpoch{ 1 }, RecordVersion{ 5 }));
  EXPECT_LT(incarnationOf(StoreEpoch{ 1 }, RecordVersion{ 900 }),
            incarnationOf(StoreEpoch{ 2 }, RecordVersion{ 5 }));
}

/// Guards against a rise that is counted when an instance merely starts at a later epoch.
TEST(StoreEpochTrackerTest, CountsRisesAfterTheFirstEpochOnly)
{
  StoreEpochTracker tracker;
  EXPECT_TRUE(tracker.observe(StoreEpoch{ 4 }));
  EXPECT_EQ(tracker.rises(), 0U);
  EXPECT_TRUE(tracker.observe(StoreEpoch{ 5 }));
  EXPECT_FALSE(tracker.observe(StoreEpoch{ 4 }));
  EXPECT_EQ(tracker.rises(), 1U);
  EXPECT_EQ(tracker.epoch(), StoreEpoch{ 5 });
}

/// Guards against requests that instances of older versions can't read.
TEST(PeerEpochTest, IsAppendedToRequestsOnlyAfterARise)
{
  PeerChangesRequest request;
  request.mProgress[0] = { RecordVersion{ 7 }, RecordVersion{ 8 }, {} };
  EXPECT_EQ(peerChangesPath(request), "/peer/news?7,8,0,0,0,0,1");
  request.mProgress[1].mEpoch = StoreEpoch{ 3 };
  const std::string path = peerChangesPath(request);
  EXPECT_EQ(path, "/peer/news?7,8,0,0,0,0,1,0,3");
  const std::optional<PeerChangesRequest> parsed = parsePeerChangesRequest(path);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->mProgress, request.mProgress);
  EXPECT_TRUE(parsed->mAcceptsCompressed);
}

TEST(PeerEpochTest, IsStatedInResponses)
{
  PeerChanges changes;
  changes.mProgress[1] = { RecordVersion{ 7 }, RecordVersion{ 8 }, StoreEpoch{ 3 } };
  const std::optional<PeerChanges> decoded =
    decodePeerChanges(encodePeerChanges(changes, "key"), { "key" });
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mProgress, changes.mProgress);
}

} // namespace
} // namespace bulrushrun
