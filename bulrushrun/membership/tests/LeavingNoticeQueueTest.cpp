#include "bulrushrun/health/LeavingNoticeQueue.h"
#include "bulrushrun/core/MessagePack.h"
#include "bulrushrun/membership/GossipMessage.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <tuple>

namespace bulrushrun {
namespace {

using EarlierNotice = std::tuple<std::string, std::int64_t>;
using Notice = std::tuple<std::string, std::int64_t, std::uint64_t, std::int64_t>;

template<class Value>
std::optional<Value> decode(std::string_view aBytes)
{
  return unpackMessage<Value>(aBytes);
}

class LeavingNoticeQueueTest : public ::testing::Test
{
protected:
  void add(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mQueue.add(TargetId{ "t" + std::to_string(i) }, Incarnation{ 7 }, mNow);
    }
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  LeavingNoticeQueue mQueue;
};

/// Guards against datagrams that grow with the number of targets that leave together.
TEST_F(LeavingNoticeQueueTest, MessagesAreBoundedAndCarryAllNoticesInTurn)
{
  add(40);
  std::set<std::string> sent;
  for (int i = 0; i < 3; ++i) {
    const std::vector<LeavingNotice> notices = mQueue.next(mNow);
    EXPECT_EQ(notices.size(), LeavingNoticeQueue::kNoticesPerMessage);
    for (const LeavingNotice& notice : notices) {
      sent.insert(notice.mTarget.text());
    }
  }
  EXPECT_EQ(sent.size(), 40U);
}

/// Guards against notices that circulate forever: a forwarded one keeps its age.
TEST_F(LeavingNoticeQueueTest, AgeGrowsUntilTheNoticeIsDropped)
{
  add(1);
  mNow += std::chrono::seconds(12);
  ASSERT_EQ(mQueue.next(mNow).size(), 1U);
  EXPECT_EQ(mQueue.next(mNow).front().mAge, std::chrono::seconds(12));
  EXPECT_EQ(mQueue.next(mNow).front().mIncarnation, Incarnation{ 7 });
  mNow += LeavingNoticeQueue::kRetention;
  EXPECT_TRUE(mQueue.next(mNow).empty());
}

/// Guards against unbounded memory, and against notices without an incarnation or with an
/// impossible age.
TEST_F(LeavingNoticeQueueTest, NumberIsBoundedAndInvalidNoticesAreNotAcceptable)
{
  add(1000);
  std::set<std::string> sent;
  for (int i = 0; i < 100; ++i) {
    for (const LeavingNotice& notice : mQueue.next(mNow)) {
      sent.insert(notice.mTarget.text());
    }
  }
  EXPECT_EQ(sent.size(), LeavingNoticeQueue::kMaxNotices);
  const LeavingNotice good{ TargetId{ "t" }, UnixSeconds{ 0 }, Incarnation{ 1 }, Duration{ 5 } };
  EXPECT_TRUE(LeavingNoticeQueue::isAcceptable(good));
  LeavingNotice bad = good;
  bad.mIncarnation = {};
  EXPECT_FALSE(LeavingNoticeQueue::isAcceptable(bad));
  bad = good;
  bad.mAge = Duration{ -1 };
  EXPECT_FALSE(LeavingNoticeQueue::isAcceptable(bad));
  bad.mAge = LeavingNoticeQueue::kRetention;
  EXPECT_FALSE(LeavingNoticeQueue::isAcceptable(bad));
}

/// Guards against a rolling update in which instances of both versions drop each other's messages.
TEST_F(LeavingNoticeQueueTest, MessagesWithTheShorterNoticesOfEarlierVersionsAreDecoded)
{
  constexpr Duration kAge = std::chrono::milliseconds(900);
  GossipMessage message;
  message.mSender.mId = InstanceId{ "n1" };
  message.mSender.mZone = ZoneName{ "za" };
  message.mNotices = { { TargetId{ "t" }, UnixSeconds{ 77 }, Incarnation{ 3 }, kAge } };
  const std::string bytes = encodeGossip(message);
  const std::optional<GossipMessage> decoded = decodeGossip(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->mNotices.front().mIncarnation, Incarnation{ 3 });
  EXPECT_EQ(decoded->mNotices.front().mAge, kAge);
  const std::string longer = packMessage(Notice{ "t", 77, 3, 9 });
  EXPECT_TRUE(decode<EarlierNotice>(longer));
  const std::string shorter = packMessage(EarlierNotice{ "t", 77 });
  const std::optional<Notice> earlier = decode<Notice>(shorter);
  ASSERT_TRUE(earlier);
  EXPECT_EQ(std::get<2>(*earlier), 0U);
}

} // namespace
} // namespace bulrushrun
