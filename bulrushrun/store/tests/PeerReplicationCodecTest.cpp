#include "bulrushrun/store/PeerReplicationCodec.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

PeerChanges makeChanges()
{
  PeerChanges changes;
  changes.mStaleness = std::chrono::milliseconds(120);
  changes.mProgress[0] = { RecordVersion{ 4 }, RecordVersion{ 5 } };
  changes.mHeld = std::chrono::milliseconds(30);
  changes.mSummaries[1] = { RecordVersion{ 3 }, 77 };
  changes.mRows[1] = { { "k", "v", RecordVersion{ 7 }, true } };
  return changes;
}

TEST(PeerReplicationCodecTest, DecodesChangesAsEncoded)
{
  const std::optional<PeerChanges> decoded =
    decodePeerChanges(encodePeerChanges(makeChanges(), "new key"), { "old key", "new key" });
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mStaleness, std::chrono::milliseconds(120));
  EXPECT_EQ(decoded->mProgress, makeChanges().mProgress);
  EXPECT_EQ(decoded->mHeld, makeChanges().mHeld);
  EXPECT_EQ(decoded->mSummaries, makeChanges().mSummaries);
  ASSERT_EQ(decoded->mRows[1].size(), 1U);
  EXPECT_TRUE(decoded->mRows[1][0].mRemoved);
}

TEST(PeerReplicationCodecTest, RejectsChangesThatAreNotAuthenticOrTruncated)
{
  const std::string bytes = encodePeerChanges(makeChanges(), "key");
  EXPECT_FALSE(decodePeerChanges(bytes, { "another key" }));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodePeerChanges(bytes.substr(0, length), { "key" })) << length;
  }
}

TEST(PeerChangesRequestTest, IsParsedAsEncoded)
{
  PeerChangesRequest request;
  request.mProgress[1] = { RecordVersion{ 3 }, RecordVersion{ 9 } };
  request.mStaleness = std::chrono::milliseconds(40);
  request.mMaxWait = std::chrono::milliseconds(900);
  const std::optional<PeerChangesRequest> decoded =
    parsePeerChangesRequest(peerChangesPath(request));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mProgress, request.mProgress);
  EXPECT_EQ(decoded->mMaxWait, request.mMaxWait);
  EXPECT_EQ(decoded->mStaleness, request.mStaleness);
  EXPECT_FALSE(parsePeerChangesRequest("/metrics"));
  EXPECT_FALSE(parsePeerChangesRequest("/peer/news?1,2"));
}

} // namespace
} // namespace bulrushrun
