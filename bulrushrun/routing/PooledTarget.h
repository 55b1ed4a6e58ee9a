#pragma once

#include "bulrushrun/configuration/Service.h"

#include <algorithm>
#include <utility>

namespace bulrushrun {

/// \brief One owned target: the slots in use, how fast it answers, whether it may take work.
///
/// A new target, or one that comes back, starts with one slot and gains one with each answer. Each
/// failure in a row past the first few ejects it for twice as long.
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
  /// \brief \returns the slots that may be used now.
  int limit() const { return mLimit; }
  bool isLeaving() const { return mLeaving; }
  void setLeaving(bool aLeaving) { mLeaving = aLeaving; }
  /// \brief Holds work back until the target's page is read: what is known of it may be stale.
  /// \param aAtLeast  not even a page ends the hold before
  /// \param aAtMost  the hold ends then, page or no page
  void awaitHealthCheck(TimePoint aAtLeast, TimePoint aAtMost)
  {
    mHeldAtLeast = aAtLeast;
    mHeldUntil = aAtMost;
    mConfirmed = false;
  }
  /// \brief The page was read. \returns true when the target waited for it.
  bool onHealthChecked()
  {
    mHeldUntil = std::min(mHeldUntil, mHeldAtLeast);
    return !std::exchange(mConfirmed, true);
  }
  /// \brief \returns true once the page was read since the last hold.
  bool isHealthChecked() const { return mConfirmed; }
  /// \brief Takes over changed slots; the use stays.
  void setSpec(const TargetSpec& aSpec)
  {
    mLimit = aSpec.mSlots < mSpec.mSlots ? std::min(mLimit, aSpec.mSlots) : mLimit;
    mSpec = aSpec;
  }

  bool isEjected(TimePoint aNow) const { return aNow < mEjectedUntil; }
  /// \brief \returns true when it may be given one more request.
  bool hasRoom(TimePoint aNow) const
  {
    return !mLeaving && !isEjected(aNow) && aNow >= mBackOffUntil && aNow >= mHeldUntil &&
           mInUse < mLimit;
  }
  /// \brief \returns the usual answer time; zero before the first answer.
  Duration answerTime() const { return mAnswerTime; }
  /// \brief \returns failures since the last answer.
  int failures() const { return mFailures; }

  /// \brief Takes a slot.
  void acquireSlot() { ++mInUse; }
  /// \brief Frees a slot after a whole answer. \returns true when it is the first one after an
  /// ejection.
  bool onAnswer(Duration aElapsed)
  {
    const bool back = mEjections > 0;
    --mInUse;
    mFailures = 0;
    mEjections = 0;
    mLimit = std::min(mLimit + 1, mSpec.mSlots);
    mAnswerTime = mAnswerTime == Duration{ 0 } ? aElapsed : (7 * mAnswerTime + aElapsed) / 8;
    return back;
  }
  /// \brief Frees a slot after the target declined; it rests for a moment.
  void onDeclined(TimePoint aNow)
  {
    --mInUse;
    mLimit = std::max(1, mLimit - 1);
    mBackOffUntil = aNow + kDeclinedRest;
  }
  /// \brief Frees a slot whose request was cancelled by us.
  void onCancelled() { --mInUse; }
  /// \brief Frees a slot after a failure. \returns true when the target should be ejected.
  bool onFailure()
  {
    --mInUse;
    ++mFailures;
    return mFailures >= kFailuresToEject;
  }
  /// \brief Ejects the target, for longer each time in a row.
  void eject(TimePoint aNow)
  {
    mEjectedUntil = aNow + kEjectionSpan * (1U << std::min(mEjections, kMaxEjectionDoublings));
    ++mEjections;
    mLimit = 1;
  }

private:
  static constexpr int kFailuresToEject = 3;
  static constexpr int kMaxEjectionDoublings = 5;
  static constexpr Duration kEjectionSpan = std::chrono::seconds(1);
  static constexpr Duration kDeclinedRest = std::chrono::milliseconds(20);

  TargetSpec mSpec;
  int mInUse = 0;
  int mLimit;
  bool mLeaving = false;
  int mFailures = 0;
  int mEjections = 0;
  Duration mAnswerTime{ 0 };
  TimePoint mEjectedUntil;
  TimePoint mBackOffUntil;
  TimePoint mHeldAtLeast;
  TimePoint mHeldUntil;
  bool mConfirmed = false;
};

} // namespace bulrushrun
