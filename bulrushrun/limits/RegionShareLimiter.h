#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/limits/StaggeredWindow.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bulrushrun {

/// \brief Limits how fast the shares of requests that go to each region change, in both directions.
///
/// A region's share in a window lies within a fixed distance of its share in the one before, so
/// that a sudden lack of room does not move all requests at once, and neither does its end. Each
/// instance limits its own requests, so the limit holds for the sum of any number of instances.
/// Performs no I/O.
class RegionShareLimiter
{
public:
  /// \brief Starts a new window if the last one has ended.
  /// \param aSeed  hash of the identity of this instance
  /// \param aMaxChange  share of the requests that may change their region between two windows
  void update(std::uint64_t aSeed, std::size_t aRegions, double aMaxChange, TimePoint aNow)
  {
    mSent.resize(aRegions);
    // The changes of the other regions add up to that of the last one.
    mMaxChange = aMaxChange / std::max(static_cast<double>(aRegions) - 1, 1.0);
    if (aNow - mUsedAt > kMaxAge) {
      mLastShares.reset();
      mSent.assign(aRegions, 0);
      mRequests = 0;
    }
    mUsedAt = aNow;
    if (mWindow.update(aSeed, aNow) && mRequests > 0) {
      mLastShares.emplace(aRegions);
      for (std::size_t i = 0; i < aRegions; ++i) {
        (*mLastShares)[i] = static_cast<double>(mSent[i]) / mRequests;
      }
      mSent.assign(aRegions, 0);
      mRequests = 0;
    }
  }
  /// \brief \returns true when one more request may go to the region.
  bool mayUse(std::size_t aRegion) const
  {
    return !mLastShares || isBelow(aRegion, (*mLastShares)[aRegion] + mMaxChange);
  }
  /// \brief \returns true when the next request must go to the region if it can.
  bool mustUse(std::size_t aRegion) const
  {
    return mLastShares && isBelow(aRegion, (*mLastShares)[aRegion] - mMaxChange);
  }
  /// \brief \returns true when requests went to the region in the last window.
  bool wasUsed(std::size_t aRegion) const { return mLastShares && (*mLastShares)[aRegion] > 0; }
  /// \brief Records a request that was sent.
  void onRequest(std::size_t aRegion)
  {
    ++mSent.at(aRegion);
    mRequests += 1;
  }

private:
  bool isBelow(std::size_t aRegion, double aShare) const
  {
    return static_cast<double>(mSent[aRegion]) <
           std::floor(std::max(aShare, 0.0) * (mRequests + 1) + mWindow.rounding(aRegion));
  }

  /// Time without requests after which the last shares no longer bind.
  static constexpr Duration kMaxAge = 5 * StaggeredWindow::kLength;

  StaggeredWindow mWindow;
  TimePoint mUsedAt;
  double mMaxChange = 1;
  double mRequests = 0;
  std::vector<std::uint64_t> mSent;
  /// Nothing until a window with requests has ended: the first one follows the room.
  std::optional<std::vector<double>> mLastShares;
};

} // namespace bulrushrun
