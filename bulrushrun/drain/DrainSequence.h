#pragma once

#include "bulrushrun/host/EventCatalogue.h"
#include "bulrushrun/host/Host.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Functions of the instance that a drain calls.
struct DrainCallbacks
{
  /// \returns the longest duration of a drain that starts now.
  std::function<Duration()> mLimit;
  /// Removes the instance from lookup responses and hands its owned targets over.
  std::function<void()> mWithdraw;
  /// \returns how long callers may still use lookup responses received earlier.
  std::function<Duration()> mLookupCacheTtl;
  /// \returns the number of requests in progress.
  std::function<std::size_t()> mInProgress;
  /// Terminates the process; the argument is the number of interrupted requests.
  std::function<void(std::size_t)> mExit;
  /// Ends the requests in progress with responses of this instance, at the limit. May be empty.
  std::function<void()> mEndRequests = {};
};

/// \brief Drain of an instance: withdraws it from lookups, waits until callers' cached lookups
/// expire, waits for the requests in progress, and exits.
///
/// A second call of begin() skips the wait for caches. The limit applies to the drain as a whole;
/// the responses that are made at the limit get a little longer to leave the process.
template<class HostType>
class DrainSequence
{
public:
  DrainSequence(HostType& aHost, DrainCallbacks aCallbacks)
    : mHost(aHost)
    , mCallbacks(std::move(aCallbacks))
  {
  }

  /// \brief Starts the drain, or skips the wait for caches when one is in progress.
  void begin()
  {
    if (mDraining) {
      mCachesExpireAt = mHost.now();
      return;
    }
    mDraining = true;
    mStartTime = mHost.now();
    mLimit = mCallbacks.mLimit();
    mCachesExpireAt = mStartTime + mCallbacks.mLookupCacheTtl() + kPropagationTime;
    mHost.log(events::kDrainStarted, "in_progress=" + std::to_string(mCallbacks.mInProgress()));
    mCallbacks.mWithdraw();
    check();
  }

  bool isDraining() const { return mDraining; }

private:
  /// Time until no instance includes this one in lookup responses any more and the last request
  /// has arrived.
  static constexpr Duration kPropagationTime = std::chrono::milliseconds(500);
  static constexpr int kIdleChecksNeeded = 2;
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(20);
  /// Time after the limit in which the last responses are sent.
  static constexpr Duration kLastResponsesTime = std::chrono::milliseconds(100);

  void check()
  {
    const TimePoint now = mHost.now();
    const std::size_t requestsInProgress = mCallbacks.mInProgress();
    const Duration elapsed = now - mStartTime;
    const bool limitReached = elapsed >= mLimit;
    if (limitReached && !mInterrupted) {
      interruptRequests(requestsInProgress);
    }
    const bool idle = now >= mCachesExpireAt && requestsInProgress == 0;
    // One idle check is not enough: after a process pause, requests that have arrived may not have
    // been read yet.
    mIdleChecks = idle ? mIdleChecks + 1 : 0;
    const bool lastResponsesSent =
      limitReached && (mCallbacks.mInProgress() == 0 || elapsed >= mLimit + kLastResponsesTime);
    if (!lastResponsesSent && mIdleChecks < kIdleChecksNeeded) {
      mHost.after(kCheckPeriod, [this] { check(); });
      return;
    }
    mHost.log(events::kDrainEnded, "took_ms=" + std::to_string(toMillis(elapsed)));
    mCallbacks.mExit(mInterrupted.value_or(0));
  }

  void interruptRequests(std::size_t aRequests)
  {
    mInterrupted = aRequests;
    if (aRequests == 0) {
      return;
    }
    mHost.log(events::kDrainLimitReached, "cut=" + std::to_string(aRequests));
    if (mCallbacks.mEndRequests) {
      mCallbacks.mEndRequests();
    }
  }

  HostType& mHost;
  DrainCallbacks mCallbacks;
  Duration mLimit{ 0 };
  bool mDraining = false;
  TimePoint mStartTime;
  TimePoint mCachesExpireAt;
  int mIdleChecks = 0;
  /// Number of requests in progress at the limit, once it was reached.
  std::optional<std::size_t> mInterrupted;
};

} // namespace bulrushrun
