#include "bulrushrun/membership.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

Member member(const std::string& aId, std::uint64_t aIncarnation, MemberState aState)
{
  return { InstanceId{ aId },           ZoneName{ "z" },
           Endpoint{ 1, 80 },           Endpoint{ 1, 81 },
           Incarnation{ aIncarnation }, aState,
           ConfigurationVersion{ 1 } };
}

const std::vector<std::string> kKeys{ "first-shared-key-0123" };

/// Story: what is believed of an instance.
TEST(ATable, TakesTheHigherIncarnationAndThenTheLaterState)
{
  MemberTable table;
  const TimePoint now;
  table.merge(member("a", 1, MemberState::Alive), now);
  EXPECT_EQ(table.merge(member("a", 1, MemberState::Suspect), now), MemberTable::Change::State);
  EXPECT_EQ(table.merge(member("a", 1, MemberState::Alive), now), MemberTable::Change::Nothing);
  EXPECT_EQ(table.merge(member("a", 2, MemberState::Alive), now), MemberTable::Change::State);
  EXPECT_EQ(table.merge(member("a", 1, MemberState::Dead), now), MemberTable::Change::Nothing);
  EXPECT_EQ(table.find(InstanceId{ "a" })->mState, MemberState::Alive);
}

TEST(ATable, EndsUpTheSameWhateverTheOrderOfNews)
{
  std::vector<Member> news;
  for (std::uint64_t life = 1; life <= 3; ++life) {
    for (const MemberState state :
         { MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead }) {
      news.push_back(member("a", life, state));
      news.push_back(member("b", life, state));
    }
  }
  Random random{ 7 };
  std::uint64_t digest = 0;
  for (int round = 0; round < 200; ++round) {
    for (std::size_t i = news.size(); i > 1; --i) {
      std::swap(news[i - 1], news[random.below(i)]);
    }
    MemberTable table;
    for (const Member& item : news) {
      table.merge(item, TimePoint{});
    }
    digest = round == 0 ? table.digest() : digest;
    ASSERT_EQ(table.digest(), digest);
  }
}

TEST(ATable, NeverLowersAVersionWithinOneLife)
{
  MemberTable table;
  Member newer = member("a", 1, MemberState::Alive);
  newer.mVersion = ConfigurationVersion{ 9 };
  table.merge(newer, TimePoint{});
  table.merge(member("a", 1, MemberState::Suspect), TimePoint{});
  EXPECT_EQ(table.find(InstanceId{ "a" })->mVersion, ConfigurationVersion{ 9 });
}

/// Story: messages between instances are authentic and come once.
TEST(ASeal, OpensWhatAPeerWithTheKeySealed)
{
  MessageAuthenticator sender{ kKeys, InstanceId{ "a" }, 1 };
  MessageAuthenticator receiver{ kKeys, InstanceId{ "b" }, 1 };
  EXPECT_EQ(receiver.verify(sender.sign("hello")), "hello");
}

TEST(ASeal, DropsReplayedForeignOwnAndDamagedMessages)
{
  MessageAuthenticator sender{ kKeys, InstanceId{ "a" }, 1 };
  MessageAuthenticator stranger{ { "another-key-0123456789" }, InstanceId{ "a" }, 1 };
  MessageAuthenticator receiver{ kKeys, InstanceId{ "b" }, 1 };
  const std::string bytes = sender.sign("hello");
  EXPECT_TRUE(receiver.verify(bytes));
  EXPECT_FALSE(receiver.verify(bytes));
  EXPECT_STREQ(receiver.rejectionReason(), "replayed");
  EXPECT_FALSE(receiver.verify(stranger.sign("hello")));
  EXPECT_STREQ(receiver.rejectionReason(), "foreign");
  EXPECT_FALSE(receiver.verify(receiver.sign("hello")));
  EXPECT_STREQ(receiver.rejectionReason(), "own");
  EXPECT_FALSE(receiver.verify("short"));
  EXPECT_STREQ(receiver.rejectionReason(), "size");
  const std::string fresh = sender.sign("hello");
  for (std::size_t i = 0; i < fresh.size(); ++i) {
    std::string damaged = fresh;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    ASSERT_FALSE(receiver.verify(damaged)) << i;
  }
}

TEST(ASeal, TakesMessagesOutOfOrderButNotFromAnEndedLife)
{
  MessageAuthenticator sender{ kKeys, InstanceId{ "a" }, 1 };
  MessageAuthenticator restarted{ kKeys, InstanceId{ "a" }, 2 };
  MessageAuthenticator receiver{ kKeys, InstanceId{ "b" }, 1 };
  const std::string first = sender.sign("1");
  const std::string second = sender.sign("2");
  const std::string third = sender.sign("3");
  EXPECT_TRUE(receiver.verify(second));
  EXPECT_TRUE(receiver.verify(first));
  EXPECT_TRUE(receiver.verify(restarted.sign("4")));
  EXPECT_FALSE(receiver.verify(third));
}

TEST(ASeal, KeepsWorkingWhileKeysAreRotated)
{
  MessageAuthenticator old{ { "old-key-0123456789" }, InstanceId{ "a" }, 1 };
  MessageAuthenticator both{ { "new-key-0123456789", "old-key-0123456789" }, InstanceId{ "b" }, 1 };
  EXPECT_TRUE(both.verify(old.sign("hello")));
  MessageAuthenticator next{ { "new-key-0123456789" }, InstanceId{ "c" }, 1 };
  EXPECT_TRUE(next.verify(both.sign("hello")));
}

/// Story: the decoders meet anything.
TEST(AMessage, IsReadBackAsItWasWritten)
{
  GossipMessage message;
  message.mKind = GossipKind::PingRequest;
  message.mSequenceNumber = 5;
  message.mSender = member("a", 3, MemberState::Leaving);
  message.mIndirectPeer = Endpoint{ 9, 90 };
  message.mUpdates = { member("b", 1, MemberState::Dead) };
  message.mNotices = { { TargetId{ "t" }, UnixSeconds{ 77 } } };
  const std::optional<GossipMessage> read = decodeGossip(encodeGossip(message));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mKind, GossipKind::PingRequest);
  EXPECT_EQ(read->mSender.mState, MemberState::Leaving);
  EXPECT_EQ(read->mIndirectPeer, message.mIndirectPeer);
  EXPECT_EQ(read->mUpdates.front().mId, InstanceId{ "b" });
  EXPECT_EQ(read->mNotices.front().mSeen, UnixSeconds{ 77 });
}

TEST(AMessage, SurvivesTwentyThousandMutations)
{
  GossipMessage message;
  message.mSender = member("a", 3, MemberState::Alive);
  message.mUpdates = { member("b", 1, MemberState::Dead), member("c", 1, MemberState::Alive) };
  const std::string original = encodeGossip(message);
  Random random{ 3 };
  int refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = original.substr(0, 1 + random.below(original.size()));
    bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    refused += decodeGossip(bytes) ? 0 : 1;
  }
  EXPECT_GT(refused, 10000);
}

} // namespace
} // namespace bulrushrun
