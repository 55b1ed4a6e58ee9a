#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cstdint>

namespace bulrushrun {

/// \brief Load that a target reported with an answer.
struct LoadReport
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;

  /// \brief \returns true when one more request would have to wait.
  bool isFull() const { return mRunning + mWaiting >= mSlots; }
};

/// \brief How one send to a target ended, as evidence of its health.
enum class AttemptResult
{
  Answered,
  /// It declared that it did not run the request, though it reported room.
  Declined,
  /// It declared that it did not run the request because it has enough of them: no evidence against
  /// its health.
  Full,
  /// An answer of its own that is a failure.
  FailedAnswer,
  /// No answer, or a broken one.
  Broken,
  /// No connection came about.
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

/// \brief What this instance observed of one target: load and health. Pure.
///
/// Outlier ejection: consecutive failures, or a high share of failures, take the target out for a
/// span that doubles with each time; afterwards a single request at a time proves it.
class TargetStats
{
public:
  /// \brief One more request is in progress there.
  void onSent(TimePoint aNow)
  {
    mLastActivityAt = mInFlight == 0 ? aNow : mLastActivityAt;
    ++mInFlight;
  }
  /// \brief An answer began.
  void onResponseStarted(TimePoint aNow) { mLastActivityAt = aNow; }
  /// \brief What the end of a request changed in what is believed of the target, for the log.
  enum class HealthChange
  {
    None,
    /// It gets no work until ejectedUntil().
    Ejected,
    /// It answered again after an ejection.
    Recovered,
  };

  /// \brief A request ended.
  HealthChange onEnd(AttemptResult aResult, TimePoint aNow);
  /// \brief A request was given up before it ended.
  void onCancelled() { mInFlight = std::max(mInFlight - 1, 0); }
  /// \brief Takes a load that the target reported.
  void onReport(const LoadReport& aReport, TimePoint aNow);

  /// \brief \returns requests of this instance in progress there.
  int inFlight() const { return mInFlight; }
  /// \brief \returns the estimated requests in progress there, those of other instances included.
  double load(TimePoint aNow) const;
  /// \brief \returns true when requests are in progress there and nothing was heard for a span.
  bool isUnresponsive(Duration aSpan, TimePoint aNow) const
  {
    return mInFlight > 0 && aNow - mLastActivityAt >= aSpan;
  }
  /// \brief \returns true while it must not get work.
  bool isEjected(TimePoint aNow) const { return aNow < mEjectedUntil; }
  /// \brief \returns the end of the last ejection.
  TimePoint ejectedUntil() const { return mEjectedUntil; }
  /// \brief \returns true when it came back from an ejection and has not answered since.
  bool isOnProbation() const { return mProbation; }

private:
  /// Consecutive sends without any answer after which the target is taken out.
  static constexpr int kMaxConsecutiveFailures = 2;
  /// Share of failures that takes it out, and the weight of the newest result in that share.
  static constexpr double kMaxFailureShare = 0.4;
  static constexpr double kFailureWeight = 0.15;
  static constexpr Duration kMinEjection = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxEjection = std::chrono::milliseconds(8000);
  /// A report counts fully for the first span, then less and less until the second.
  static constexpr Duration kReportFullWeightAge = std::chrono::milliseconds(300);
  static constexpr Duration kReportMaxAge = std::chrono::milliseconds(1500);

  void eject(TimePoint aNow);

  int mInFlight = 0;
  /// When anything was heard of it, or it got the first of its requests in progress.
  TimePoint mLastActivityAt;
  double mExternalLoad = 0;
  TimePoint mReportedAt;
  int mConsecutiveFailures = 0;
  double mFailureShare = 0;
  Duration mEjection = kMinEjection;
  TimePoint mEjectedUntil;
  bool mProbation = false;
};

} // namespace bulrushrun
