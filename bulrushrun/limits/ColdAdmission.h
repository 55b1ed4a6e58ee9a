#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <deque>
#include <map>

namespace bulrushrun {

/// \brief Bounds what this instance sends to cold targets, so that the sum over all instances stays
/// under the fleet's bound although none knows what the others send.
///
/// Only instances of the target's zone send to it while it is cold; each takes an equal share of
/// the bound. Counted over a sliding window that is a little longer than the bound's second, since
/// requests arrive later than they are sent.
class ColdAdmission
{
public:
  /// \brief Takes one request's place in the window. \returns false when the share is used up
  /// \param aFleetBound  requests a second that the target may get from all instances together
  /// \param aSharers  instances that may send to it; zero when that is unknown
  bool admit(const TargetId& aTarget, double aFleetBound, std::size_t aSharers, TimePoint aNow)
  {
    if (aSharers == 0) {
      return false;
    }
    std::deque<TimePoint>& sent = mSent[aTarget];
    while (!sent.empty() && aNow - sent.front() >= kWindow) {
      sent.pop_front();
    }
    const double share = kMargin * aFleetBound / static_cast<double>(aSharers);
    if (static_cast<double>(sent.size()) + 1 > share) {
      return false;
    }
    sent.push_back(aNow);
    return true;
  }

  /// \brief Forgets a target.
  void forget(const TargetId& aTarget) { mSent.erase(aTarget); }

private:
  /// The bound's second, and the spread of the time on the way.
  static constexpr Duration kWindow = std::chrono::milliseconds(1300);
  /// Part of the bound that is used: instances join before the others have heard of them.
  static constexpr double kMargin = 0.7;

  std::map<TargetId, std::deque<TimePoint>> mSent;
};

} // namespace bulrushrun
