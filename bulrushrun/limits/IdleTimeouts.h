#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bulrushrun {

/// \brief Idle timeouts of pooled connections per endpoint, learned from stale connections.
///
/// A connection is stale when the other end, or a device on the path, has dropped it without
/// closing it; whatever is sent on it is lost. Performs no I/O; the time is passed as an argument.
class IdleTimeouts
{
public:
  /// \brief Records that the first request after an idle period lost its connection without
  /// receiving a single byte of a response.
  void onStaleConnection(const Endpoint& aEndpoint, Duration aIdle, TimePoint aNow)
  {
    if (aIdle < kMinIdleTime) {
      return;
    }
    if (mLearnedTimeouts.size() >= kMaxEndpoints) {
      std::erase_if(mLearnedTimeouts,
                    [aNow](const std::pair<const Endpoint, LearnedTimeout>& aEntry) {
                      return aEntry.second.mExpiry <= aNow;
                    });
    }
    if (mLearnedTimeouts.size() < kMaxEndpoints || mLearnedTimeouts.contains(aEndpoint)) {
      mLearnedTimeouts[aEndpoint] = { aIdle / kDivisor, aNow + kLearnedTimeoutLifetime };
    }
  }

  /// \brief \returns the idle time after which a connection must not be used.
  /// \param aAdvertised  idle timeout that the other end advertised
  Duration limit(const Endpoint& aEndpoint, Duration aAdvertised, TimePoint aNow) const
  {
    const auto learned = mLearnedTimeouts.find(aEndpoint);
    const bool applies = learned != mLearnedTimeouts.end() && aNow < learned->second.mExpiry;
    return applies ? std::min(learned->second.mTimeout, aAdvertised) : aAdvertised;
  }

private:
  struct LearnedTimeout
  {
    Duration mTimeout;
    TimePoint mExpiry;
  };

  /// A connection lost after a shorter idle time indicates that the other end terminated rather
  /// than that the connection was idle for too long.
  static constexpr Duration kMinIdleTime = std::chrono::milliseconds(100);
  /// The learned timeout is the idle time after which a connection was lost, divided by this:
  /// connections survive shorter idle times.
  static constexpr int kDivisor = 2;
  /// Time for which a learned timeout applies; covers network disturbances of several seconds.
  static constexpr Duration kLearnedTimeoutLifetime = std::chrono::seconds(10);
  static constexpr std::size_t kMaxEndpoints = 4096;

  std::map<Endpoint, LearnedTimeout> mLearnedTimeouts;
};

} // namespace bulrushrun
