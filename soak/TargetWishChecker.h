#pragma once

#include "soak/StabilityTracker.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun::soak {

/// \brief Checks that each instance respects what targets tell it in their answers: that they are
/// leaving, and for how long they want no requests.
///
/// Both rules hold for an instance whether or not it reaches the store.
class TargetWishChecker
{
public:
  /// \brief Records an answer, passed on by an instance, of a target that said that it is leaving.
  /// \param aSent  when the caller sent the request; a target that started again since may use it
  void onLeavingAnswer(std::size_t aInstance,
                       const std::string& aTarget,
                       TimePoint aSent,
                       TimePoint aNow)
  {
    if (aSent > mRestartedAt[aTarget]) {
      mLeavingSince.try_emplace({ aInstance, aTarget }, aNow);
    }
  }
  /// \brief Records that a target turned a request of an instance away and asked for rest.
  void onRest(std::size_t aInstance, const std::string& aTarget, Duration aTime, TimePoint aNow)
  {
    mRests[{ aInstance, aTarget }].push_back({ aNow + kGracePeriod, aNow + aTime, 0 });
  }
  /// \brief Records that a target starts again, and forgets what it said.
  void onTargetRestart(const std::string& aTarget, TimePoint aNow)
  {
    mRestartedAt[aTarget] = aNow;
    std::erase_if(mLeavingSince,
                  [&](const auto& aEntry) { return aEntry.first.second == aTarget; });
    std::erase_if(mRests, [&](const auto& aEntry) { return aEntry.first.second == aTarget; });
  }
  /// \brief Records the restart of an instance, which need not know what it was told before.
  void onInstanceRestart(std::size_t aInstance)
  {
    std::erase_if(mLeavingSince,
                  [&](const auto& aEntry) { return aEntry.first.first == aInstance; });
    std::erase_if(mRests, [&](const auto& aEntry) { return aEntry.first.first == aInstance; });
  }
  /// \brief \returns true when a request sent then comes too late to reach the target.
  bool isLateForLeaving(std::size_t aInstance,
                        const std::string& aTarget,
                        TimePoint aSent,
                        Duration aBound) const
  {
    const auto found = mLeavingSince.find({ aInstance, aTarget });
    return found != mLeavingSince.end() && aSent > found->second + aBound;
  }
  /// \brief Counts a request that reached a target. \returns true when it exceeds what a resting
  /// target tolerates
  bool exceedsRest(std::size_t aInstance, const std::string& aTarget, TimePoint aNow)
  {
    const auto found = mRests.find({ aInstance, aTarget });
    if (found == mRests.end()) {
      return false;
    }
    bool exceeded = false;
    std::erase_if(found->second, [&](const Rest& aRest) { return aNow > aRest.mEnd; });
    for (Rest& rest : found->second) {
      rest.mRequests += aNow > rest.mBegin ? 1 : 0;
      exceeded = exceeded || rest.mRequests > kMaxRequests;
    }
    return exceeded;
  }

private:
  using Pair = std::pair<std::size_t, std::string>;

  /// Requests may still arrive for this long after the answer, and so many afterwards.
  static constexpr Duration kGracePeriod = std::chrono::milliseconds(500);
  static constexpr int kMaxRequests = 2;

  struct Rest
  {
    TimePoint mBegin;
    TimePoint mEnd;
    int mRequests = 0;
  };

  std::map<Pair, TimePoint> mLeavingSince;
  std::map<std::string, TimePoint> mRestartedAt;
  std::map<Pair, std::vector<Rest>> mRests;
};

} // namespace bulrushrun::soak
