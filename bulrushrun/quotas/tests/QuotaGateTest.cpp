#include "bulrushrun/quotas/QuotaGate.h"

#include <gtest/gtest.h>

#include <map>

namespace bulrushrun {
namespace {

/// Timers and messages of some instances under one virtual clock.
struct Network
{
  TimePoint mNow{ std::chrono::seconds(100) };
  TimerQueue mTimers;
  std::map<Endpoint, std::function<void(const std::string&)>> mReceivers;
  std::size_t mMessages = 0;

  void run(Duration aDuration)
  {
    const TimePoint end = mNow + aDuration;
    while (mTimers.nextDue() && *mTimers.nextDue() <= end) {
      mNow = std::max(mNow, *mTimers.nextDue());
      mTimers.runOne(mNow);
    }
    mNow = end;
  }
};

class NetworkHost
{
public:
  NetworkHost(Network& aNetwork, std::uint64_t aSeed)
    : mNetwork(aNetwork)
    , mRandom(aSeed)
  {
  }
  TimePoint now() const { return mNetwork.mNow; }
  Random& random() { return mRandom; }
  TimerId after(Duration aDelay, TimerQueue::Callback aCallback)
  {
    return mNetwork.mTimers.add(now() + aDelay, std::move(aCallback));
  }
  void cancelTimer(TimerId aTimer) { mNetwork.mTimers.cancel(aTimer); }
  void sendToPeer(const Endpoint& aPeer, const std::string& aBytes)
  {
    ++mNetwork.mMessages;
    after(std::chrono::milliseconds(10), [this, aPeer, aBytes] {
      if (mNetwork.mReceivers.contains(aPeer)) {
        mNetwork.mReceivers[aPeer](aBytes);
      }
    });
  }
  void log(const Event& aEvent, const std::string&) { ++mLogged[aEvent.mNumber]; }

  std::map<int, int> mLogged;

private:
  Network& mNetwork;
  Random mRandom;
};

/// One instance: gossip and the gate.
struct Instance
{
  Instance(Network& aNetwork, std::uint32_t aNumber)
    : mHost(aNetwork, aNumber)
    , mEndpoint{ aNumber, 1 }
    , mGossip(mHost,
              { InstanceId{ "n" + std::to_string(aNumber) },
                ZoneName{ "z" },
                mEndpoint,
                mEndpoint,
                Incarnation{ 1 },
                MemberState::Alive,
                {} },
              { Endpoint{ 1, 1 } },
              { "a key" },
              listener())
    , mGate(mHost, InstanceId{ "n" + std::to_string(aNumber) }, mEndpoint)
  {
    aNetwork.mReceivers[mEndpoint] = [this](const std::string& aBytes) { mGossip.receive(aBytes); };
    mGate.setOnDecision(
      [this](RequestId aId, const QuotaAnswer& aAnswer) { mDecisions[aId.value()] = aAnswer; });
    mGossip.start();
    updateMembers();
  }
  GossipListener listener()
  {
    return { [this] { updateMembers(); },
             [](ConfigurationVersion, const Member&) {},
             [](const LeavingNotice&) {},
             [] { return std::vector<LeavingNotice>{}; },
             [this](std::string_view aPayload) { return mGate.receive(aPayload); } };
  }
  void updateMembers()
  {
    mGate.setMembers(mGossip, mGossip.table().size(), TimePoint{ std::chrono::seconds(100) });
  }
  QuotaAnswer admit(std::uint64_t aId, int aPriority = 0)
  {
    return mGate.admit(CustomerName{ "a" },
                       { RequestId{ aId },
                         aPriority,
                         std::chrono::milliseconds(800),
                         mHost.now() + std::chrono::seconds(2) });
  }
  bool isAdmitted(std::uint64_t aId) const
  {
    const auto found = mDecisions.find(aId);
    return found != mDecisions.end() && found->second.mDecision == QuotaDecision::Admitted;
  }

  NetworkHost mHost;
  Endpoint mEndpoint;
  Gossip<NetworkHost> mGossip;
  QuotaGate<NetworkHost> mGate;
  std::map<std::uint64_t, QuotaAnswer> mDecisions;
};

/// Two instances and one customer with 20 requests per second and a burst of 10.
class QuotaGateTest : public ::testing::Test
{
protected:
  void begin(double aRate = 20, double aBurst = 10)
  {
    mCustomers.add({ CustomerName{ "a" }, std::nullopt, { aRate, aBurst }, {} }, { "key" });
    for (Instance* instance : { &mOne, &mTwo }) {
      instance->mGate.setCustomers(&mCustomers);
    }
    mNetwork.run(std::chrono::seconds(3));
  }

  Network mNetwork;
  CustomerDirectory mCustomers;
  Instance mOne{ mNetwork, 1 };
  Instance mTwo{ mNetwork, 2 };
};

// Guards against messages and refusals where no customer has a quota.
TEST_F(QuotaGateTest, DoesNothingWithoutQuotas)
{
  begin(0, 0);
  const std::size_t before = mNetwork.mMessages;
  EXPECT_EQ(mOne.admit(1).mDecision, QuotaDecision::Admitted);
  std::string metrics;
  mOne.mGate.render(metrics);
  EXPECT_EQ(metrics, "");
  mNetwork.run(std::chrono::milliseconds(400));
  EXPECT_LE(mNetwork.mMessages - before, 4U) << "only gossip's own";
}

// Guards against an instance that gets no tokens of the pool, and against two full bursts.
TEST_F(QuotaGateTest, SharesOneBurstBetweenInstances)
{
  begin();
  std::size_t admitted = 0;
  for (std::uint64_t i = 0; i < 40; ++i) {
    admitted += mOne.admit(i).mDecision == QuotaDecision::Admitted ? 1 : 0;
    admitted += mTwo.admit(i).mDecision == QuotaDecision::Admitted ? 1 : 0;
  }
  mNetwork.run(std::chrono::milliseconds(300));
  for (const Instance* instance : { &mOne, &mTwo }) {
    for (std::uint64_t i = 0; i < 40; ++i) {
      admitted += instance->isAdmitted(i) ? 1 : 0;
    }
  }
  EXPECT_GE(admitted, 9U);
  EXPECT_LE(admitted, 22U);
  EXPECT_TRUE(mOne.mGate.waiting().empty());
}

// Guards against a less urgent request that gets the token of a more urgent one.
TEST(WaitingRequests, TheMostUrgentIsFirstThenTheOldest)
{
  const TimePoint now{ std::chrono::seconds(1) };
  WaitingRequests waiting;
  waiting.add({ RequestId{ 1 }, LimitId{ 7 }, 1, now, now });
  waiting.add({ RequestId{ 2 }, LimitId{ 7 }, 0, now + Duration{ 2 }, now });
  waiting.add({ RequestId{ 3 }, LimitId{ 7 }, 0, now + Duration{ 1 }, now });
  waiting.add({ RequestId{ 4 }, LimitId{ 8 }, 0, now, now });
  for (const std::uint64_t expected : { 3, 2, 1 }) {
    ASSERT_TRUE(waiting.first(LimitId{ 7 }));
    EXPECT_EQ(waiting.first(LimitId{ 7 })->mId.value(), expected);
    waiting.remove(RequestId{ expected });
  }
  EXPECT_FALSE(waiting.first(LimitId{ 7 }));
}

// Guards against requests that wait although no tokens are left, and against waits without an end.
TEST_F(QuotaGateTest, RefusesWhatIsBeyondTheQuota)
{
  begin(50, 1);
  std::size_t refused = 0;
  for (std::uint64_t i = 10; i < 110; ++i) {
    const QuotaAnswer answer = mOne.admit(i);
    refused += answer.mDecision == QuotaDecision::Refused ? 1 : 0;
    mNetwork.run(std::chrono::milliseconds(1));
  }
  EXPECT_GE(refused, 20U);
  mNetwork.run(std::chrono::milliseconds(400));
  EXPECT_TRUE(mOne.mGate.waiting().empty());
  EXPECT_EQ(mOne.mHost.mLogged[9005], 1);
}

// Guards against decisions for requests whose callers have left, and lost tokens.
TEST_F(QuotaGateTest, ForgetsCancelledRequestsAndTakesTokensBack)
{
  begin(1, 1);
  Instance& one = mOne;
  ASSERT_EQ(one.admit(1).mDecision == QuotaDecision::Refused, false);
  one.mGate.cancel(RequestId{ 1 });
  mNetwork.run(std::chrono::milliseconds(400));
  EXPECT_EQ(one.mDecisions.count(1), 0U);
  const TimePoint now = mNetwork.mNow;
  while (one.mGate.takeForRepeat(CustomerName{ "a" })) {
  }
  one.mGate.giveBack(CustomerName{ "a" }, now);
  EXPECT_TRUE(one.mGate.takeForRepeat(CustomerName{ "a" }));
  EXPECT_FALSE(one.mGate.takeForRepeat(CustomerName{ "a" }));
  one.mGate.giveBack(CustomerName{ "a" }, now - std::chrono::seconds(1));
  EXPECT_FALSE(one.mGate.takeForRepeat(CustomerName{ "a" })) << "it is too old";
}

// Guards against an instance that stops when the coordinator does not respond.
TEST_F(QuotaGateTest, SpendsItsOwnPartWithoutCoordinator)
{
  begin(40, 40);
  mNetwork.mReceivers.clear();
  std::size_t admitted = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    admitted += mOne.admit(2 * i).mDecision == QuotaDecision::Admitted ? 1 : 0;
    admitted += mTwo.admit(2 * i).mDecision == QuotaDecision::Admitted ? 1 : 0;
    mNetwork.run(std::chrono::milliseconds(10));
  }
  for (const Instance* instance : { &mOne, &mTwo }) {
    for (std::uint64_t i = 0; i < 1000; ++i) {
      admitted += instance->isAdmitted(2 * i) ? 1 : 0;
    }
  }
  EXPECT_LE(admitted, 40U * 10 + 40);
  EXPECT_GE(admitted, 40U * 8);
  EXPECT_GE(mOne.mHost.mLogged[9003] + mTwo.mHost.mLogged[9003], 1);
}

// Guards against 429 for customers within their quota at an instance that does not know the others,
// for example because the store did not accept its registration.
TEST(QuotaGate, DoesNotBlameTheQuotaBeforeTheMembersAreKnown)
{
  Network network;
  NetworkHost host{ network, 1 };
  QuotaGate<NetworkHost> gate{ host, InstanceId{ "n1" }, Endpoint{ 1, 1 } };
  CustomerDirectory customers;
  customers.add({ CustomerName{ "a" }, std::nullopt, { 100, 100 }, {} }, { "key" });
  gate.setCustomers(&customers);
  const QuotaAnswer answer = gate.admit(
    CustomerName{ "a" },
    { RequestId{ 1 }, 0, std::chrono::milliseconds(800), host.now() + std::chrono::seconds(2) });
  EXPECT_EQ(answer.mDecision, QuotaDecision::NotJoined);
  EXPECT_TRUE(gate.waiting().empty()) << "it is not held";
}

} // namespace
} // namespace bulrushrun
