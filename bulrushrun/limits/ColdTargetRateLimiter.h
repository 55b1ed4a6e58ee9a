#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/limits/ColdTargetQuota.h"

#include <deque>
#include <map>

namespace bulrushrun {

/// \brief Bounds what this instance sends to cold targets, so that the sum over all instances stays
/// under the fleet's bound although none knows what the others send.
///
/// Only instances of the target's zone send to it while it is cold; each takes its share of the
/// bound, counted over a sliding window.
class ColdTargetRateLimiter
{
public:
  /// \brief The bound's second, by the sender's clock: a request counts in the second in which it
  /// was both sent and received.
  static constexpr Duration kWindow = std::chrono::milliseconds(1030);

  /// \brief Takes one request's place in the window. \returns false when the share is used up
  /// \param aTargetHash  hash of the target's identity
  /// \param aFleetBound  requests a second that the target may get from all instances together
  bool admit(const TargetId& aTarget,
             std::uint64_t aTargetHash,
             double aFleetBound,
             const ColdTargetQuota& aShares,
             TimePoint aNow)
  {
    std::deque<TimePoint>& sent = mSent[aTarget];
    while (!sent.empty() && aNow - sent.front() >= kWindow) {
      sent.pop_front();
    }
    if (sent.size() + 1 > aShares.quota(aTargetHash, kMargin * aFleetBound)) {
      return false;
    }
    sent.push_back(aNow);
    return true;
  }

  /// \brief Forgets a target.
  void forget(const TargetId& aTarget) { mSent.erase(aTarget); }

private:
  /// Part of the bound that is used.
  static constexpr double kMargin = 0.95;

  std::map<TargetId, std::deque<TimePoint>> mSent;
};

} // namespace bulrushrun
