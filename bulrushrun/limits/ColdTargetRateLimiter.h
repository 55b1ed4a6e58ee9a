#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/limits/TargetQuota.h"

#include <deque>
#include <map>

namespace bulrushrun {

/// \brief Limits the requests that this instance sends to cold targets, so that the sum over all
/// instances stays below the fleet-wide limit although no instance knows what the others send.
///
/// Only instances of the target's zone send to it while it is cold; each uses its own quota of the
/// limit, counted over a sliding window.
class ColdTargetRateLimiter
{
public:
  /// \brief Length of the sliding window by the sender's clock. Longer than the second to which
  /// the limit applies, because a request counts in the second in which it was both sent and
  /// received.
  static constexpr Duration kWindow = std::chrono::milliseconds(1030);

  /// \brief Counts one request if the quota allows it. \returns false when the quota is exhausted
  /// \param aTargetHash  hash of the target's identity
  /// \param aFleetLimit  requests per second that the target may receive from all instances
  /// together
  bool admit(const TargetId& aTarget,
             std::uint64_t aTargetHash,
             double aFleetLimit,
             const TargetQuota& aQuota,
             TimePoint aNow)
  {
    std::deque<TimePoint>& sendTimes = mSendTimes[aTarget];
    while (!sendTimes.empty() && aNow - sendTimes.front() >= kWindow) {
      sendTimes.pop_front();
    }
    if (sendTimes.size() + 1 > aQuota.quota(aTargetHash, kUsedFraction * aFleetLimit)) {
      return false;
    }
    sendTimes.push_back(aNow);
    return true;
  }

  /// \brief Discards the state of a target.
  void forget(const TargetId& aTarget) { mSendTimes.erase(aTarget); }

private:
  /// Fraction of the limit that is used.
  static constexpr double kUsedFraction = 0.95;

  std::map<TargetId, std::deque<TimePoint>> mSendTimes;
};

} // namespace bulrushrun
