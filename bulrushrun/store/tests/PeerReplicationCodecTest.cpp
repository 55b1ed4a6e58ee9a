#include "bulrushrun/store/PeerReplicationCodec.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

PeerChanges someNews()
{
  PeerChanges news;
  news.mStaleness = std::chrono::milliseconds(120);
  news.mProgress[0] = { RecordVersion{ 4 }, RecordVersion{ 5 } };
  news.mRows[1] = { { "k", "v", RecordVersion{ 7 }, true } };
  return news;
}

/// Story: one instance asks another one what is new.
TEST(NewsOfAPeer, ArrivesAsItWasTold)
{
  const std::optional<PeerChanges> read =
    decodePeerChanges(encodePeerChanges(someNews(), "new key"), { "old key", "new key" });
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mStaleness, std::chrono::milliseconds(120));
  EXPECT_EQ(read->mProgress, someNews().mProgress);
  ASSERT_EQ(read->mRows[1].size(), 1U);
  EXPECT_TRUE(read->mRows[1][0].mRemoved);
}

TEST(NewsOfAPeer, IsDroppedWhenItIsForeignOrCutShort)
{
  const std::string bytes = encodePeerChanges(someNews(), "key");
  EXPECT_FALSE(decodePeerChanges(bytes, { "another key" }));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodePeerChanges(bytes.substr(0, length), { "key" })) << length;
  }
}

TEST(AQuestionForNews, IsReadBack)
{
  PeerChangesRequest question;
  question.mProgress[1] = { RecordVersion{ 3 }, RecordVersion{ 9 } };
  question.mStaleness = std::chrono::milliseconds(40);
  question.mMaxWait = std::chrono::milliseconds(900);
  const std::optional<PeerChangesRequest> read = parsePeerChangesRequest(peerChangesPath(question));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mProgress, question.mProgress);
  EXPECT_EQ(read->mMaxWait, question.mMaxWait);
  EXPECT_EQ(read->mStaleness, question.mStaleness);
  EXPECT_FALSE(parsePeerChangesRequest("/metrics"));
  EXPECT_FALSE(parsePeerChangesRequest("/peer/news?1,2"));
}

} // namespace
} // namespace bulrushrun
