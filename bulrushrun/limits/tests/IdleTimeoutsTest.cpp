#include "bulrushrun/limits/IdleTimeouts.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

using std::chrono::milliseconds;

/// Guards against losing requests on stale connections: a device on the path
/// drops idle connections before the advertised idle timeout.
class IdleTimeoutsTest : public ::testing::Test
{
protected:
  Duration limit(const Endpoint& aEndpoint) const
  {
    return mTimeouts.limit(aEndpoint, kAdvertised, mNow);
  }

  static constexpr Duration kAdvertised = std::chrono::seconds(9);
  static constexpr Endpoint kStaleEndpoint{ 0x0a000001, 80 };
  static constexpr Endpoint kOtherEndpoint{ 0x0a000002, 80 };
  IdleTimeouts mTimeouts;
  TimePoint mNow{ std::chrono::seconds(100) };
};

TEST_F(IdleTimeoutsTest, ShortensTheTimeoutOfThatEndpointOnly)
{
  mTimeouts.onStaleConnection(kStaleEndpoint, milliseconds(600), mNow);
  EXPECT_EQ(limit(kStaleEndpoint), milliseconds(300));
  EXPECT_EQ(limit(kOtherEndpoint), kAdvertised);
}

TEST_F(IdleTimeoutsTest, ExpiresAfterItsLifetime)
{
  mTimeouts.onStaleConnection(kStaleEndpoint, milliseconds(600), mNow);
  mNow += std::chrono::seconds(10);
  EXPECT_EQ(limit(kStaleEndpoint), kAdvertised);
}

TEST_F(IdleTimeoutsTest, IgnoresConnectionsLostAfterAShortIdleTime)
{
  mTimeouts.onStaleConnection(kStaleEndpoint, milliseconds(20), mNow);
  EXPECT_EQ(limit(kStaleEndpoint), kAdvertised);
}

} // namespace
} // namespace bulrushrun
