#include "bulrushrun/store/PeerAdoption.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

StoreRow row(const std::string& aKey, std::uint64_t aVersion)
{
  return { aKey, "v", RecordVersion{ aVersion }, false };
}

TableProgress progressOf(const TableReplica& aReplica)
{
  return { aReplica.completeVersion(), aReplica.newestVersion() };
}

/// A peer read the table at version 20, after the row "gone" was removed; the own replica is
/// complete to 10.
class PeerAdoptionTest : public ::testing::Test
{
protected:
  PeerAdoptionTest()
  {
    mOwn.applySnapshot({ row("a", 3), row("gone", 5) }, RecordVersion{ 10 });
    mPeer.applySnapshot({ row("a", 3), row("b", 15) }, RecordVersion{ 20 });
  }
  PeerAdoption adopt(const TableProgress& aRequested)
  {
    return adoptPeerRows(mOwn,
                         mPeer.changesSince(aRequested.mCompleteVersion),
                         aRequested,
                         progressOf(mPeer),
                         { mPeer.removalsKnownFrom(), mPeer.digest() });
  }

  TableReplica mOwn;
  TableReplica mPeer;
};

/// Guards against a version of completeness that passes over a removal.
TEST_F(PeerAdoptionTest, CompletenessIsNotAdoptedWhileARemovalMayBeMissing)
{
  const PeerAdoption adoption = adopt(progressOf(mOwn));
  EXPECT_EQ(adoption.mApplied.size(), 1U);
  EXPECT_FALSE(adoption.mComplete);
  EXPECT_EQ(mOwn.completeVersion(), RecordVersion{ 10 });
}

TEST_F(PeerAdoptionTest, EqualDigestsProveThatNothingIsMissing)
{
  mOwn.apply({ { "gone", "", RecordVersion{ 12 }, true } }, RecordVersion{ 12 });
  EXPECT_TRUE(adopt(progressOf(mOwn)).mComplete);
  EXPECT_EQ(mOwn.completeVersion(), RecordVersion{ 20 });
  EXPECT_EQ(mOwn.removalsKnownFrom(), RecordVersion{ 20 }) << "it does not know them either";
}

TEST_F(PeerAdoptionTest, AWholeTableRemovesWhatItLacks)
{
  const PeerAdoption adoption = adopt({});
  EXPECT_TRUE(adoption.mComplete);
  EXPECT_EQ(mOwn.digest(), mPeer.digest());
}

/// Guards against a removal that is lost by way of an instance of an older version, which does not
/// state what it knows.
TEST_F(PeerAdoptionTest, APeerThatStatesNothingProvesNothing)
{
  const PeerAdoption adoption = adoptPeerRows(
    mOwn, mPeer.changesSince(RecordVersion{ 10 }), progressOf(mOwn), progressOf(mPeer), {});
  EXPECT_FALSE(adoption.mComplete);
}

/// Guards against a repair that leaves a lost row lost, because peers told a newer version
/// meanwhile.
TEST_F(PeerAdoptionTest, AnOlderReadOfTheTableRestoresAndRemovesRows)
{
  TableReplica replica;
  replica.applySnapshot({ row("wrong", 2) }, RecordVersion{ 10 });
  replica.apply({ row("new", 18) }, RecordVersion{ 19 });
  replica.applySnapshot({ row("lost", 4) }, RecordVersion{ 15 });
  TableReplica expected;
  expected.applySnapshot({ row("lost", 4), row("new", 18) }, RecordVersion{ 19 });
  EXPECT_EQ(replica.digest(), expected.digest());
  EXPECT_EQ(replica.completeVersion(), RecordVersion{ 19 });
}

} // namespace
} // namespace bulrushrun
