#pragma once

#include "bulrushrun/host/EventCatalogue.h"
#include "bulrushrun/host/Host.h"

#include <functional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief What a planned stop needs of the node.
struct DrainCallbacks
{
  /// Leaves the look-up answers and hands the owned targets over.
  std::function<void()> mWithdraw;
  /// \returns how long callers may still use answers given earlier.
  std::function<Duration()> mLookupCacheTtl;
  /// \returns the requests in progress.
  std::function<std::size_t()> mInProgress;
  /// Ends the process; the number of requests that were cut is given.
  std::function<void(std::size_t)> mExit;
};

/// \brief Planned stop of an instance: leave, wait out callers' caches, finish, exit.
///
/// A second stop skips the wait for caches. The limit bounds the whole.
template<class HostType>
class DrainSequence
{
public:
  DrainSequence(HostType& aHost, Duration aLimit, DrainCallbacks aSteps)
    : mHost(aHost)
    , mLimit(aLimit)
    , mSteps(std::move(aSteps))
  {
  }

  /// \brief Begins the stop, or shortens one that goes on.
  void begin()
  {
    if (mDraining) {
      mCachesUntil = mHost.now();
      return;
    }
    mDraining = true;
    mStarted = mHost.now();
    mCachesUntil = mStarted + mSteps.mLookupCacheTtl() + kSpreadSpan;
    mHost.log(events::kDrainStarted, "in_progress=" + std::to_string(mSteps.mInProgress()));
    mSteps.mWithdraw();
    check();
  }

  bool isDraining() const { return mDraining; }

private:
  /// Until every instance has stopped naming this one, and the last request has arrived.
  static constexpr Duration kSpreadSpan = std::chrono::milliseconds(500);
  static constexpr int kIdleChecksNeeded = 2;
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(20);

  void check()
  {
    const TimePoint now = mHost.now();
    const std::size_t left = mSteps.mInProgress();
    const bool late = now - mStarted >= mLimit;
    const bool idle = now >= mCachesUntil && left == 0;
    // One idle check is not enough: after a pause, requests that have arrived are not read yet.
    mIdleChecks = idle ? mIdleChecks + 1 : 0;
    if (!late && mIdleChecks < kIdleChecksNeeded) {
      mHost.after(kCheckPeriod, [this] { check(); });
      return;
    }
    if (left > 0) {
      mHost.log(events::kDrainLimitReached, "cut=" + std::to_string(left));
    }
    mHost.log(events::kDrainEnded, "took_ms=" + std::to_string(toMillis(now - mStarted)));
    mSteps.mExit(left);
  }

  HostType& mHost;
  Duration mLimit;
  DrainCallbacks mSteps;
  bool mDraining = false;
  TimePoint mStarted;
  TimePoint mCachesUntil;
  int mIdleChecks = 0;
};

} // namespace bulrushrun
