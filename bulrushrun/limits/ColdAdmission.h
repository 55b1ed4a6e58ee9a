#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Bounds what this instance sends to cold targets, so that the sum over all instances stays
/// under the fleet's bound although none knows what the others send.
///
/// Rendezvous hashing names a few instances that may send to a target while it is cold; each takes
/// an equal share of the bound. Counted over a sliding window that is a little longer than the
/// bound's second, since requests arrive later than they are sent.
class ColdAdmission
{
public:
  /// \brief Sets the instances that may exist, this one included; while there are none, cold
  /// targets get nothing.
  void setInstances(std::vector<std::uint64_t> aInstances, std::uint64_t aSelf)
  {
    mInstances = std::move(aInstances);
    mSelf = aSelf;
  }

  /// \brief Takes one request's place in the window. \returns false when this instance has no share
  /// or its share is used up
  /// \param aFleetBound  requests a second that the target may get from all instances together
  bool admit(const TargetId& aTarget, double aFleetBound, TimePoint aNow)
  {
    if (!isSender(hashText(aTarget.text()))) {
      return false;
    }
    std::deque<TimePoint>& sent = mSent[aTarget];
    while (!sent.empty() && aNow - sent.front() >= kWindow) {
      sent.pop_front();
    }
    const std::size_t senders = std::min(kSenders, mInstances.size());
    const double share = kMargin * aFleetBound / static_cast<double>(senders);
    if (static_cast<double>(sent.size()) + 1 > share) {
      return false;
    }
    sent.push_back(aNow);
    return true;
  }

  /// \brief Forgets a target.
  void forget(const TargetId& aTarget) { mSent.erase(aTarget); }

private:
  /// Instances that may send to one cold target: more shares would round down to nothing.
  static constexpr std::size_t kSenders = 3;
  /// The bound's second, and the spread of the time on the way.
  static constexpr Duration kWindow = std::chrono::milliseconds(1300);
  /// Part of the bound that is used: instances join before the others have heard of them.
  static constexpr double kMargin = 0.7;

  /// \returns true when fewer than kSenders instances rank before this one for the target.
  bool isSender(std::uint64_t aTarget) const
  {
    const std::uint64_t own = combineHashes(aTarget, mSelf);
    const std::ptrdiff_t before =
      std::count_if(mInstances.begin(), mInstances.end(), [&](std::uint64_t aInstance) {
        return combineHashes(aTarget, aInstance) < own;
      });
    return !mInstances.empty() && static_cast<std::size_t>(before) < kSenders;
  }

  std::vector<std::uint64_t> mInstances;
  std::uint64_t mSelf = 0;
  std::map<TargetId, std::deque<TimePoint>> mSent;
};

} // namespace bulrushrun
