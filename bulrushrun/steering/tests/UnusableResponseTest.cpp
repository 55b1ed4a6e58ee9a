#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// Guards against keeping, or waiting for, the body of a response that can't reach the caller. One
/// instance with three targets.
class UnusableResponseTest : public ::testing::Test
{
protected:
  void start(const std::string& aKind)
  {
    mSimulation.putPlan(1, aKind);
    for (const char* target : { "t1", "t2", "t3" }) {
      mSimulation.putTarget(target);
    }
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(2));
    // Fills the retry budget.
    for (int i = 0; i < 20; ++i) {
      mSimulation.sendRequest("n1", "warm-" + std::to_string(i));
      mSimulation.respondOk(mSimulation.targetExchanges().front());
    }
    send();
  }
  void send()
  {
    mCaller = mSimulation.sendRequest("n1", "id-1", "object");
    mExchange = mSimulation.targetExchanges().at(0);
  }
  /// Delivers the head of the response, and no body yet.
  void receiveHead(int aStatus, Headers aHeaders)
  {
    const ExchangeListener listener = mSimulation.exchange(mExchange).mListener;
    listener.mOnHead({ aStatus, std::move(aHeaders), std::nullopt });
  }
  /// Delivers body bytes while the instance reads them, up to a limit.
  std::size_t receiveBody(std::size_t aMaxBytes)
  {
    const std::string part(16 * 1024, 'z');
    std::size_t bytes = 0;
    while (bytes < aMaxBytes && isInProgress()) {
      const ExchangeListener listener = mSimulation.exchange(mExchange).mListener;
      listener.mOnBody(part);
      bytes += part.size();
    }
    return bytes;
  }
  bool isInProgress() const
  {
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      if (exchange.value() == mExchange.value()) {
        return true;
      }
    }
    return false;
  }
  std::string targetOf(ExchangeId aExchange)
  {
    return *findHeader(mSimulation.exchange(aExchange).mRequest.mHeaders, "X-Target-Instance");
  }
  std::size_t loggedEjections()
  {
    std::size_t ejections = 0;
    for (const std::string& line : mSimulation.host("n1").mLog) {
      ejections += line.starts_with("target-ejected ") ? 1 : 0;
    }
    return ejections;
  }

  static constexpr std::size_t kManyBytes = std::size_t{ 64 } * 1024 * 1024;
  const Header kOwnId{ "X-Request-Id", "id-1" };
  const Header kSignature{ "X-Response-Signature", "sig" };
  const Header kNotExecuted{ "X-Not-Executed", "1" };

  FleetSimulation mSimulation;
  std::shared_ptr<RecordingResponder> mCaller;
  ExchangeId mExchange;
};

// The head settles it: a repeat elsewhere must not wait for the end of the body.
TEST_F(UnusableResponseTest, RequestThatMayRunTwiceIsRetriedAtTheHead)
{
  start("safe");
  const std::string first = targetOf(mExchange);
  receiveHead(200, { kOwnId });
  EXPECT_FALSE(isInProgress());
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), first);
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(mCaller->mHead.mStatus, 200);
}

// It may have run, so the caller learns at the head that the outcome is unknown.
TEST_F(UnusableResponseTest, RequestThatMayRunOnceIsAnsweredAtTheHead)
{
  start("non_idempotent");
  for (const Headers& headers : { Headers{ kOwnId },
                                  Headers{ kOwnId, kSignature, { "Content-Encoding", "gzip" } },
                                  Headers{ kOwnId, kSignature, kNotExecuted } }) {
    receiveHead(200, headers);
    EXPECT_TRUE(mSimulation.targetExchanges().empty()) << "it must not be sent again";
    EXPECT_EQ(mCaller->mHead.mStatus, 502);
    send();
  }
}

// Two in a row eject the target, so that the next request does not pay for a third.
TEST_F(UnusableResponseTest, CountsAgainstTheTarget)
{
  start("non_idempotent");
  const std::string target = targetOf(mExchange);
  receiveHead(200, { kOwnId });
  send();
  ASSERT_EQ(targetOf(mExchange), target) << "both requests are for the same object";
  receiveHead(200, { kOwnId });
  EXPECT_EQ(loggedEjections(), 1U);
  send();
  EXPECT_NE(targetOf(mExchange), target);
}

class EndlessRefusalTest : public UnusableResponseTest
{};

// A refusal that never ends is no whole response: it proves nothing, and the caller must not be
// told that the request has not run.
TEST_F(EndlessRefusalTest, IsNotBelieved)
{
  start("non_idempotent");
  receiveHead(503, { kOwnId, kNotExecuted });
  EXPECT_LE(receiveBody(kManyBytes), kManyBytes / 64);
  EXPECT_TRUE(mSimulation.targetExchanges().empty()) << "it must not be sent again";
  EXPECT_EQ(mCaller->mHead.mStatus, 502);
}

TEST_F(EndlessRefusalTest, IsRetriedElsewhereIfTheRequestMayRunTwice)
{
  start("safe");
  const std::string first = targetOf(mExchange);
  receiveHead(503, { kOwnId, kNotExecuted });
  EXPECT_LE(receiveBody(kManyBytes), kManyBytes / 64);
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), first);
}

TEST_F(EndlessRefusalTest, CountsAgainstTheTarget)
{
  start("non_idempotent");
  for (int i = 0; i < 2; ++i) {
    receiveHead(503, { kOwnId, kNotExecuted });
    receiveBody(kManyBytes);
    send();
  }
  EXPECT_EQ(loggedEjections(), 1U);
}

// The bound must not cost a refusal that ends its credibility.
TEST_F(EndlessRefusalTest, OneWithALongBodyThatEndsIsBelieved)
{
  start("non_idempotent");
  const std::string first = targetOf(mExchange);
  mSimulation.respondTo(
    mExchange, 503, { { "X-Not-Executed", "1" } }, std::string(std::size_t{ 200 } * 1024, 'x'));
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), first);
}

} // namespace
} // namespace bulrushrun::steering_test
