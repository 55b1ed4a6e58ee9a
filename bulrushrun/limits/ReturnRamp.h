#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/limits/StaggeredWindow.h"

#include <algorithm>
#include <cstdint>

namespace bulrushrun {

/// \brief Lets requests return gradually to targets that are available again.
///
/// While a target is unavailable its requests go elsewhere, possibly to another region. Afterwards
/// a share that grows from zero to one returns. The share of all requests that returns in a window
/// stays below a limit, whatever the number of targets that become available at the same time: the
/// growth is inversely proportional to the share of requests whose target is or was unavailable,
/// which is measured. Each instance limits its own requests, so the limit holds for the sum of any
/// number of instances. Performs no I/O.
class ReturnRamp
{
public:
  /// \brief State of one target.
  struct Target
  {
    bool mUnavailable = false;
    /// It registered after this instance started, and was available ever since.
    bool mIsNew = false;
    /// The ramp's clock when the target became available.
    double mStart = -1;
  };

  /// \brief Advances the clock, which grows by one while all affected requests return.
  /// \param aLimit  share of all requests that may return in StaggeredWindow::kLength
  void advance(double aLimit, TimePoint aNow);
  /// \brief Records whether a target is available.
  void update(Target& aTarget, bool aIsAvailable) const
  {
    if (aIsAvailable && aTarget.mUnavailable) {
      aTarget.mStart = mClock;
    }
    aTarget.mIsNew = aTarget.mIsNew && (aIsAvailable || aTarget.mUnavailable);
    aTarget.mUnavailable = !aIsAvailable;
  }
  /// \brief Starts the ramp of a new target, for requests that other targets received before.
  static void startNew(Target& aTarget) { aTarget.mUnavailable = aTarget.mIsNew = true; }
  /// \brief \returns the share of the target's requests that go to it, in [0, 1].
  double progress(const Target& aTarget) const
  {
    return aTarget.mUnavailable ? 0 : std::clamp(mClock - aTarget.mStart, 0.0, 1.0);
  }
  /// \brief Records a request. \param aAffected  its target is unavailable, or its requests have
  /// not all returned yet
  void onRequest(bool aAffected);
  /// \brief \returns the estimated share of affected requests, in (0, 1]. High until enough
  /// requests were observed.
  double affectedShare() const
  {
    return (mAffected + kPriorRequests) / (mRequests + kPriorRequests);
  }

private:
  /// Requests after which older observations lose half of their weight.
  static constexpr double kMemory = 32;
  /// Affected requests that are assumed in addition to those observed.
  static constexpr double kPriorRequests = 2;

  double mClock = 0;
  TimePoint mAdvancedAt;
  double mRequests = 0;
  double mAffected = 0;
};

inline void ReturnRamp::advance(double aLimit, TimePoint aNow)
{
  const double windows = toSeconds(aNow - mAdvancedAt) / toSeconds(StaggeredWindow::kLength);
  mAdvancedAt = aNow;
  mClock += std::clamp(windows, 0.0, 1.0) * aLimit / affectedShare();
}

inline void ReturnRamp::onRequest(bool aAffected)
{
  if (mRequests >= kMemory) {
    mRequests /= 2;
    mAffected /= 2;
  }
  mRequests += 1;
  mAffected += aAffected ? 1 : 0;
}

} // namespace bulrushrun
