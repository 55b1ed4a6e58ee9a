#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// One exchange with a target that writes its response in parts.
class BufferedExchangeTest : public ::testing::Test
{
protected:
  static constexpr Duration kTimeout = std::chrono::milliseconds(500);

  BufferedExchangeTest()
  {
    mSimulation.add("n1", "za");
    startBufferedExchange(mSimulation.host("n1"),
                          { 0x0a800000, FleetSimulation::kTargetPort },
                          {},
                          kTimeout,
                          1000,
                          [this](ExchangeResult aResult, const HttpResponse& aResponse) {
                            mResults.push_back(aResult);
                            mBody = aResponse.mBody;
                          });
    mExchange = mSimulation.targetExchanges().front();
    mListener = mSimulation.exchange(mExchange).mListener;
  }
  void receive(const std::string& aPart, Duration aLater)
  {
    mSimulation.run(aLater);
    if (mResults.empty()) {
      mListener.mOnBody(aPart);
    }
  }

  FleetSimulation mSimulation;
  ExchangeId mExchange;
  ExchangeListener mListener;
  std::vector<ExchangeResult> mResults;
  std::string mBody;
};

/// Guards against giving up a large response on a slow link while its parts still arrive.
TEST_F(BufferedExchangeTest, GoesOnWhilePartsArrive)
{
  for (int i = 0; i < 6; ++i) {
    receive("part ", kTimeout * 4 / 5);
  }
  mListener.mOnEnd(ExchangeResult::Complete, "");
  EXPECT_EQ(mResults, std::vector{ ExchangeResult::Complete });
  EXPECT_EQ(mBody.size(), 30U);
}

/// Guards against waiting for a sender that has stopped midway.
TEST_F(BufferedExchangeTest, IsInterruptedWhenNoPartArrivesForTheTimeout)
{
  receive("part ", kTimeout * 4 / 5);
  mSimulation.run(kTimeout - std::chrono::milliseconds(1));
  EXPECT_TRUE(mResults.empty());
  mSimulation.run(std::chrono::milliseconds(2));
  EXPECT_EQ(mResults, std::vector{ ExchangeResult::Interrupted });
  EXPECT_EQ(mBody, "part ");
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

/// Guards against a sender that holds an exchange open for ever with single bytes.
TEST_F(BufferedExchangeTest, IsInterruptedAfterTheLongestTransferInAnyCase)
{
  for (int i = 0; i < 2 * kMaxTransferFactor && mResults.empty(); ++i) {
    receive("x", kTimeout * 4 / 5);
  }
  EXPECT_EQ(mResults, std::vector{ ExchangeResult::Interrupted });
  EXPECT_LE(mSimulation.now() - TimePoint{ std::chrono::seconds(1000) },
            (kMaxTransferFactor + 1) * kTimeout);
}

/// Guards against reporting the end of an exchange twice.
TEST_F(BufferedExchangeTest, TooLongResponseIsReportedOnce)
{
  EXPECT_FALSE(mListener.mOnBody(std::string(2000, 'x')));
  mListener.mOnEnd(ExchangeResult::Complete, "");
  mSimulation.run(2 * kTimeout);
  EXPECT_EQ(mResults.size(), 1U);
}

} // namespace
} // namespace bulrushrun::steering_test
