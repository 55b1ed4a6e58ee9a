#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bulrushrun {

/// \brief How long idle connections to each endpoint are trusted, learned from those that the other
/// end had forgotten without a word: whatever is sent on such a connection is lost. Pure.
class IdleTimeouts
{
public:
  /// \brief A connection was lost, without any byte of an answer, by the first request after an
  /// idle time.
  void onStaleConnection(const Endpoint& aEndpoint, Duration aIdle, TimePoint aNow)
  {
    if (aIdle < kLeastIdle) {
      return;
    }
    if (mLearned.size() >= kMaxEndpoints) {
      std::erase_if(mLearned, [aNow](const std::pair<const Endpoint, Learned>& aEntry) {
        return aEntry.second.mUntil <= aNow;
      });
    }
    if (mLearned.size() < kMaxEndpoints || mLearned.contains(aEndpoint)) {
      mLearned[aEndpoint] = { aIdle / kPart, aNow + kSpan };
    }
  }

  /// \brief \returns the idle time after which a connection is not to be used.
  /// \param aStated  what the other end stated
  Duration limit(const Endpoint& aEndpoint, Duration aStated, TimePoint aNow) const
  {
    const auto learned = mLearned.find(aEndpoint);
    const bool holds = learned != mLearned.end() && aNow < learned->second.mUntil;
    return holds ? std::min(learned->second.mLimit, aStated) : aStated;
  }

private:
  struct Learned
  {
    Duration mLimit;
    TimePoint mUntil;
  };

  /// A connection lost after a shorter idle time tells of the other end's end, not of the idle
  /// time.
  static constexpr Duration kLeastIdle = std::chrono::milliseconds(100);
  /// Shorter idle times survive: by this part of the one that did not.
  static constexpr int kPart = 2;
  /// Time for which that is believed; it covers disturbances on the way of several seconds.
  static constexpr Duration kSpan = std::chrono::seconds(10);
  static constexpr std::size_t kMaxEndpoints = 4096;

  std::map<Endpoint, Learned> mLearned;
};

} // namespace bulrushrun
