#include "bulrushrun/steering/TargetStats.h"

#include <utility>

namespace bulrushrun {

TargetStats::HealthChange TargetStats::onEnd(AttemptResult aResult, TimePoint aNow)
{
  mInFlight = std::max(mInFlight - 1, 0);
  mLastActivityAt = aNow;
  if (aResult == AttemptResult::Full) {
    return HealthChange::None;
  }
  const bool answered = aResult == AttemptResult::Answered;
  const bool silent = aResult == AttemptResult::Broken || aResult == AttemptResult::Unreachable;
  mFailureShare += kFailureWeight * ((answered ? 0.0 : 1.0) - mFailureShare);
  if (answered) {
    mConsecutiveFailures = 0;
    if (mFailureShare < kMaxFailureShare / 4) {
      mEjection = kMinEjection;
    }
    return std::exchange(mProbation, false) ? HealthChange::Recovered : HealthChange::None;
  }
  mConsecutiveFailures += silent ? 1 : 0;
  const bool outlier =
    mConsecutiveFailures >= kMaxConsecutiveFailures || mFailureShare > kMaxFailureShare;
  if (!isEjected(aNow) && (outlier || (mProbation && silent))) {
    eject(aNow);
    return HealthChange::Ejected;
  }
  return HealthChange::None;
}

void TargetStats::eject(TimePoint aNow)
{
  mEjectedUntil = aNow + mEjection;
  mEjection = std::min(2 * mEjection, kMaxEjection);
  mProbation = true;
  mConsecutiveFailures = 0;
  // The next results decide anew.
  mFailureShare = kMaxFailureShare / 2;
}

void TargetStats::onReport(const LoadReport& aReport, TimePoint aNow)
{
  const int total = aReport.mRunning + aReport.mWaiting;
  mExternalLoad = std::max(0, total - mInFlight);
  mReportedAt = aNow;
}

double TargetStats::load(TimePoint aNow) const
{
  const Duration age = aNow - mReportedAt;
  double part = 0;
  if (age <= kReportFullWeightAge) {
    part = 1;
  } else if (age < kReportMaxAge) {
    part = toSeconds(kReportMaxAge - age) / toSeconds(kReportMaxAge - kReportFullWeightAge);
  }
  return mInFlight + part * mExternalLoad;
}

} // namespace bulrushrun
