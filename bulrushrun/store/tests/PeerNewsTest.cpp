#include "bulrushrun/store/PeerNews.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

PeerNews someNews()
{
  PeerNews news;
  news.mAge = std::chrono::milliseconds(120);
  news.mProgress[0] = { RecordVersion{ 4 }, RecordVersion{ 5 } };
  news.mRows[1] = { { "k", "v", RecordVersion{ 7 }, true } };
  return news;
}

/// Story: one instance asks another one what is new.
TEST(NewsOfAPeer, ArrivesAsItWasTold)
{
  const std::optional<PeerNews> read =
    decodePeerNews(encodePeerNews(someNews(), "new key"), { "old key", "new key" });
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mAge, std::chrono::milliseconds(120));
  EXPECT_EQ(read->mProgress, someNews().mProgress);
  ASSERT_EQ(read->mRows[1].size(), 1U);
  EXPECT_TRUE(read->mRows[1][0].mRemoved);
}

TEST(NewsOfAPeer, IsDroppedWhenItIsForeignOrCutShort)
{
  const std::string bytes = encodePeerNews(someNews(), "key");
  EXPECT_FALSE(decodePeerNews(bytes, { "another key" }));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodePeerNews(bytes.substr(0, length), { "key" })) << length;
  }
}

TEST(AQuestionForNews, IsReadBack)
{
  PeerNewsQuestion question;
  question.mProgress[1] = { RecordVersion{ 3 }, RecordVersion{ 9 } };
  question.mAge = std::chrono::milliseconds(40);
  question.mWait = std::chrono::milliseconds(900);
  const std::optional<PeerNewsQuestion> read = readPeerNewsQuestion(peerNewsPath(question));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mProgress, question.mProgress);
  EXPECT_EQ(read->mWait, question.mWait);
  EXPECT_EQ(read->mAge, question.mAge);
  EXPECT_FALSE(readPeerNewsQuestion("/metrics"));
  EXPECT_FALSE(readPeerNewsQuestion("/peer/news?1,2"));
}

} // namespace
} // namespace bulrushrun
