#include "bulrushrun/limits/IdleTimeouts.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

using std::chrono::milliseconds;

/// Story: something between the two ends forgets idle connections sooner than stated.
class ForgottenConnections : public ::testing::Test
{
protected:
  Duration limit(const Endpoint& aEndpoint) const
  {
    return mLimits.limit(aEndpoint, kStated, mNow);
  }

  static constexpr Duration kStated = std::chrono::seconds(9);
  static constexpr Endpoint kForgetful{ 0x0a000001, 80 };
  static constexpr Endpoint kOther{ 0x0a000002, 80 };
  IdleTimeouts mLimits;
  TimePoint mNow{ std::chrono::seconds(100) };
};

TEST_F(ForgottenConnections, ShortenTheTrustInThatEndpointsOnes)
{
  mLimits.onStaleConnection(kForgetful, milliseconds(600), mNow);
  EXPECT_EQ(limit(kForgetful), milliseconds(300));
  EXPECT_EQ(limit(kOther), kStated);
}

TEST_F(ForgottenConnections, AreForgivenAfterAWhile)
{
  mLimits.onStaleConnection(kForgetful, milliseconds(600), mNow);
  mNow += std::chrono::seconds(10);
  EXPECT_EQ(limit(kForgetful), kStated);
}

TEST_F(ForgottenConnections, AreNotTakenForOnesWhoseOtherEndEnded)
{
  mLimits.onStaleConnection(kForgetful, milliseconds(20), mNow);
  EXPECT_EQ(limit(kForgetful), kStated);
}

} // namespace
} // namespace bulrushrun
