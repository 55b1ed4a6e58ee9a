#pragma once

#include "bulrushrun/configuration/Service.h"

#include <algorithm>
#include <utility>

namespace bulrushrun {

/// \brief State of one owned target: slots in use, response time, and whether it accepts requests.
///
/// A cold target, or one that returns from an ejection, starts with a limit of one slot and gains
/// one slot per response. From the third consecutive failure on, each failure ejects it for twice
/// as long as the one before, up to 32 times the base ejection time.
class PooledTarget
{
public:
  PooledTarget(TargetSpec aSpec, bool aCold)
    : mSpec(std::move(aSpec))
    , mLimit(aCold ? 1 : mSpec.mSlots)
  {
  }

  const TargetSpec& spec() const { return mSpec; }
  int inUse() const { return mInUse; }
  /// \brief \returns the number of slots that may be used now.
  int limit() const { return mLimit; }
  bool isLeaving() const { return mLeaving; }
  void setLeaving(bool aLeaving) { mLeaving = aLeaving; }
  /// \brief Suspends the target until its next health check completes, because its known state may
  /// be stale.
  /// \param aAtLeast  earliest end of the suspension, even if a health check completes before
  /// \param aAtMost  latest end of the suspension, even without a health check
  void awaitHealthCheck(TimePoint aAtLeast, TimePoint aAtMost)
  {
    mEarliestResume = aAtLeast;
    mSuspendedUntil = aAtMost;
    mHealthChecked = false;
  }
  /// \brief Records a completed health check. \returns true when the target was waiting for it.
  bool onHealthChecked()
  {
    mSuspendedUntil = std::min(mSuspendedUntil, mEarliestResume);
    return !std::exchange(mHealthChecked, true);
  }
  /// \brief \returns true when a health check completed since the last awaitHealthCheck().
  bool isHealthChecked() const { return mHealthChecked; }
  /// \brief Applies a changed specification; slots in use are unaffected.
  void setSpec(const TargetSpec& aSpec)
  {
    mLimit = aSpec.mSlots < mSpec.mSlots ? std::min(mLimit, aSpec.mSlots) : mLimit;
    mSpec = aSpec;
  }

  bool isEjected(TimePoint aNow) const { return aNow < mEjectedUntil; }
  /// \brief \returns true when the target can accept another request now.
  bool hasRoom(TimePoint aNow) const
  {
    return !mLeaving && !isEjected(aNow) && aNow >= mBackOffUntil && aNow >= mSuspendedUntil &&
           mInUse < mLimit;
  }
  /// \brief \returns the smoothed response time; zero before the first response.
  Duration responseTime() const { return mResponseTime; }
  /// \brief \returns the number of failures since the last response.
  int failures() const { return mConsecutiveFailures; }

  void acquireSlot() { ++mInUse; }
  /// \brief Releases a slot after a complete response. \returns true when it is the first response
  /// after an ejection.
  bool onAnswer(Duration aElapsed)
  {
    const bool recovered = mConsecutiveEjections > 0;
    --mInUse;
    mConsecutiveFailures = 0;
    mConsecutiveEjections = 0;
    mLimit = std::min(mLimit + 1, mSpec.mSlots);
    mResponseTime = mResponseTime == Duration{ 0 } ? aElapsed : (7 * mResponseTime + aElapsed) / 8;
    return recovered;
  }
  /// \brief Releases a slot after the target declined the request, lowers the limit by one slot
  /// and backs off briefly.
  void onDeclined(TimePoint aNow)
  {
    --mInUse;
    mLimit = std::max(1, mLimit - 1);
    mBackOffUntil = aNow + kDeclinedBackOff;
  }
  /// \brief Releases the slot of a request that this instance cancelled.
  void onCancelled() { --mInUse; }
  /// \brief Releases a slot after a failure. \returns true when the target should be ejected.
  bool onFailure()
  {
    --mInUse;
    ++mConsecutiveFailures;
    return mConsecutiveFailures >= kFailuresToEject;
  }
  /// \brief Ejects the target; the ejection time doubles with each consecutive ejection.
  void eject(TimePoint aNow)
  {
    mEjectedUntil =
      aNow + kBaseEjectionTime * (1U << std::min(mConsecutiveEjections, kMaxEjectionDoublings));
    ++mConsecutiveEjections;
    mLimit = 1;
  }

private:
  static constexpr int kFailuresToEject = 3;
  static constexpr int kMaxEjectionDoublings = 5;
  static constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
  static constexpr Duration kDeclinedBackOff = std::chrono::milliseconds(20);

  TargetSpec mSpec;
  int mInUse = 0;
  int mLimit;
  bool mLeaving = false;
  int mConsecutiveFailures = 0;
  int mConsecutiveEjections = 0;
  Duration mResponseTime{ 0 };
  TimePoint mEjectedUntil;
  TimePoint mBackOffUntil;
  TimePoint mEarliestResume;
  TimePoint mSuspendedUntil;
  bool mHealthChecked = false;
};

} // namespace bulrushrun
