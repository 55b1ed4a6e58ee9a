#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/limits/ReturnRamp.h"
#include "bulrushrun/steering/LoadReport.h"

#include <algorithm>
#include <cstdint>

namespace bulrushrun {

/// \brief Result of one attempt at a target, as evidence of its health.
enum class AttemptResult
{
  Answered,
  /// The target declared that it did not execute the request, though it reported free slots.
  Declined,
  /// The target declared that it did not execute the request because its slots were full: no
  /// evidence of bad health.
  Full,
  /// An error response (5xx) of the target itself.
  FailedAnswer,
  /// No response, or an interrupted or unauthentic one.
  Broken,
  /// No connection could be established.
  Unreachable,
};

/// \brief \returns the name of a result, for the log.
constexpr const char* resultText(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::Answered:
      return "answered";
    case AttemptResult::Declined:
      return "declined";
    case AttemptResult::Full:
      return "full";
    case AttemptResult::FailedAnswer:
      return "failed-answer";
    case AttemptResult::Broken:
      return "broken";
    case AttemptResult::Unreachable:
      break;
  }
  return "unreachable";
}

/// \brief Load and health of one target as observed by this instance. Performs no I/O.
///
/// Outlier ejection: consecutive failures, or a high failure rate, eject the target for a time that
/// doubles with each ejection. Afterwards it is on probation, with a single request at a time.
class TargetStats
{
public:
  /// \brief An attempt at the target started.
  void onAttemptStarted(TimePoint aNow)
  {
    mLastActivityAt = mInFlight == 0 ? aNow : mLastActivityAt;
    ++mInFlight;
  }
  /// \brief The head of a response arrived.
  void onResponseStarted(TimePoint aNow) { mLastActivityAt = aNow; }
  /// \brief How the end of an attempt changed the target's health state, for the log.
  enum class HealthChange
  {
    None,
    /// The target gets no requests until ejectedUntil().
    Ejected,
    /// The target responded again after an ejection.
    Recovered,
  };

  /// \brief An attempt ended.
  HealthChange onEnd(AttemptResult aResult, TimePoint aNow);
  /// \brief An attempt was abandoned before it ended.
  void onCancelled() { mInFlight = std::max(mInFlight - 1, 0); }
  /// \brief Records the number of requests that the target reported, to this or another instance.
  void onReport(int aRequests, TimePoint aNow);
  /// \brief Records how long work takes at the target, as a multiple of the usual time.
  void onSlowdown(double aSlowdown, TimePoint aNow)
  {
    mSlowdown = aSlowdown;
    mSlowdownAt = aNow;
  }

  /// \brief \returns the requests of this instance in progress at the target.
  int inFlight() const { return mInFlight; }
  /// \brief \returns the estimated requests in progress, including those of other instances.
  double load(TimePoint aNow) const;
  /// \brief \returns how long work is expected to take, as a multiple of the usual time; 1 without
  /// a recent report.
  double slowdown(TimePoint aNow) const;
  /// \brief \returns for how long, while requests of this instance are in progress, the target has
  /// responded neither to them nor, as far as was reported, to those of other instances.
  Duration silence(TimePoint aNow) const
  {
    return mInFlight > 0 ? aNow - std::max(mLastActivityAt, mReportedAt) : Duration{ 0 };
  }
  /// \brief \returns true when requests are in progress and the target has not responded to this
  /// instance for the timeout. It may be unreachable from here only.
  bool isUnresponsive(Duration aTimeout, TimePoint aNow) const
  {
    return mInFlight > 0 && aNow - mLastActivityAt >= aTimeout;
  }
  /// \brief \returns true while the target must not get requests.
  bool isEjected(TimePoint aNow) const { return aNow < mEjectedUntil; }
  /// \brief \returns the end of the last ejection.
  TimePoint ejectedUntil() const { return mEjectedUntil; }
  /// \brief Records that the target wants no requests until then; an earlier end has no effect.
  void restUntil(TimePoint aUntil) { mRestsUntil = std::max(mRestsUntil, aUntil); }
  /// \brief \returns true while the target wants no requests, whatever else speaks for it.
  bool isResting(TimePoint aNow) const { return aNow < mRestsUntil; }
  TimePoint restsUntil() const { return mRestsUntil; }
  /// \brief \returns true when the target was ejected and has not responded successfully since.
  bool isOnProbation() const { return mOnProbation; }
  /// \brief \returns how far requests have returned after the target was unavailable.
  ReturnRamp::Target& returning() { return mReturning; }

private:
  /// A reported speed has full weight up to the first age; the weight falls to zero at the second.
  static constexpr Duration kSlowdownFullWeightAge = std::chrono::milliseconds(100);
  static constexpr Duration kSlowdownMaxAge = std::chrono::milliseconds(500);
  /// Attempts without a valid response, with no success between them, after which the target is
  /// ejected.
  static constexpr int kMaxConsecutiveFailures = 2;
  /// Failure rate above which the target is ejected, and the weight of the newest result in that
  /// moving average.
  static constexpr double kMaxFailureRate = 0.4;
  static constexpr double kNewestResultWeight = 0.15;
  static constexpr Duration kMinEjectionDuration = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxEjectionDuration = std::chrono::milliseconds(8000);
  /// A load report has full weight up to the first age; the weight falls to zero at the second.
  static constexpr Duration kReportFullWeightAge = std::chrono::milliseconds(300);
  static constexpr Duration kReportMaxAge = std::chrono::milliseconds(1500);

  void eject(TimePoint aNow);

  int mInFlight = 0;
  /// When the target last responded, or got the first of the requests in progress.
  TimePoint mLastActivityAt;
  double mExternalLoad = 0;
  TimePoint mReportedAt;
  double mSlowdown = 1;
  TimePoint mSlowdownAt;
  int mConsecutiveFailures = 0;
  double mFailureRate = 0;
  Duration mEjectionDuration = kMinEjectionDuration;
  TimePoint mEjectedUntil;
  bool mOnProbation = false;
  TimePoint mRestsUntil;
  ReturnRamp::Target mReturning;
};

} // namespace bulrushrun
