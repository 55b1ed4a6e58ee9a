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

TEST(MemberTableTest, PrefersTheHigherIncarnationThenTheLaterState)
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

TEST(MemberTableTest, ConvergesForAnyOrderOfUpdates)
{
  std::vector<Member> updates;
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    for (const MemberState state :
         { MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead }) {
      updates.push_back(member("a", incarnation, state));
      updates.push_back(member("b", incarnation, state));
    }
  }
  Random random{ 7 };
  std::uint64_t digest = 0;
  for (int round = 0; round < 200; ++round) {
    for (std::size_t i = updates.size(); i > 1; --i) {
      std::swap(updates[i - 1], updates[random.below(i)]);
    }
    MemberTable table;
    for (const Member& update : updates) {
      table.merge(update, TimePoint{});
    }
    digest = round == 0 ? table.digest() : digest;
    ASSERT_EQ(table.digest(), digest);
  }
}

TEST(MemberTableTest, NeverLowersTheVersionWithinAnIncarnation)
{
  MemberTable table;
  Member newer = member("a", 1, MemberState::Alive);
  newer.mVersion = ConfigurationVersion{ 9 };
  table.merge(newer, TimePoint{});
  table.merge(member("a", 1, MemberState::Suspect), TimePoint{});
  EXPECT_EQ(table.find(InstanceId{ "a" })->mVersion, ConfigurationVersion{ 9 });
}

TEST(MessageAuthenticatorTest, AcceptsMessagesSignedWithASharedKey)
{
  MessageAuthenticator sender{ kKeys, InstanceId{ "a" }, 1 };
  MessageAuthenticator receiver{ kKeys, InstanceId{ "b" }, 1 };
  EXPECT_EQ(receiver.verify(sender.sign("hello")), "hello");
}

TEST(MessageAuthenticatorTest, RejectsReplayedForeignOwnAndDamagedMessages)
{
  MessageAuthenticator sender{ kKeys, InstanceId{ "a" }, 1 };
  MessageAuthenticator otherKeySender{ { "another-key-0123456789" }, InstanceId{ "a" }, 1 };
  MessageAuthenticator receiver{ kKeys, InstanceId{ "b" }, 1 };
  const std::string bytes = sender.sign("hello");
  EXPECT_TRUE(receiver.verify(bytes));
  EXPECT_FALSE(receiver.verify(bytes));
  EXPECT_STREQ(receiver.rejectionReason(), "replayed");
  EXPECT_FALSE(receiver.verify(otherKeySender.sign("hello")));
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

TEST(MessageAuthenticatorTest, AcceptsReorderedMessagesButNoneOfAnEarlierSession)
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

TEST(MessageAuthenticatorTest, AcceptsMessagesWhileKeysAreRotated)
{
  MessageAuthenticator oldKeySender{ { "old-key-0123456789" }, InstanceId{ "a" }, 1 };
  MessageAuthenticator rotating{ { "new-key-0123456789", "old-key-0123456789" },
                                 InstanceId{ "b" },
                                 1 };
  EXPECT_TRUE(rotating.verify(oldKeySender.sign("hello")));
  MessageAuthenticator newKeyReceiver{ { "new-key-0123456789" }, InstanceId{ "c" }, 1 };
  EXPECT_TRUE(newKeyReceiver.verify(rotating.sign("hello")));
}

TEST(GossipMessageTest, IsPreservedByEncodingAndDecoding)
{
  GossipMessage message;
  message.mKind = GossipKind::PingRequest;
  message.mSequenceNumber = 5;
  message.mSender = member("a", 3, MemberState::Leaving);
  message.mIndirectPeer = Endpoint{ 9, 90 };
  message.mUpdates = { member("b", 1, MemberState::Dead) };
  message.mNotices = { { TargetId{ "t" }, UnixSeconds{ 77 } } };
  const std::optional<GossipMessage> decoded = decodeGossip(encodeGossip(message));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mKind, GossipKind::PingRequest);
  EXPECT_EQ(decoded->mSender.mState, MemberState::Leaving);
  EXPECT_EQ(decoded->mIndirectPeer, message.mIndirectPeer);
  EXPECT_EQ(decoded->mUpdates.front().mId, InstanceId{ "b" });
  EXPECT_EQ(decoded->mNotices.front().mSeen, UnixSeconds{ 77 });
}

/// The decoder must reject malformed input without a crash.
TEST(GossipMessageTest, DecoderSurvivesTwentyThousandMutations)
{
  GossipMessage message;
  message.mSender = member("a", 3, MemberState::Alive);
  message.mUpdates = { member("b", 1, MemberState::Dead), member("c", 1, MemberState::Alive) };
  const std::string original = encodeGossip(message);
  Random random{ 3 };
  int rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = original.substr(0, 1 + random.below(original.size()));
    bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    rejected += decodeGossip(bytes) ? 0 : 1;
  }
  EXPECT_GT(rejected, 10000);
}

} // namespace
} // namespace bulrushrun
