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
  const bool noResponse = aResult == AttemptResult::Broken || aResult == AttemptResult::Unreachable;
  mFailureRate += kNewestResultWeight * ((answered ? 0.0 : 1.0) - mFailureRate);
  if (answered) {
    mConsecutiveFailures = 0;
    if (mFailureRate < kMaxFailureRate / 4) {
      mEjectionDuration = kMinEjectionDuration;
    }
    return std::exchange(mOnProbation, false) ? HealthChange::Recovered : HealthChange::None;
  }
  mConsecutiveFailures += noResponse ? 1 : 0;
  const bool outlier =
    mConsecutiveFailures >= kMaxConsecutiveFailures || mFailureRate > kMaxFailureRate;
  if (!isEjected(aNow) && (outlier || (mOnProbation && noResponse))) {
    eject(aNow);
    return HealthChange::Ejected;
  }
  return HealthChange::None;
}

void TargetStats::eject(TimePoint aNow)
{
  mEjectedUntil = aNow + mEjectionDuration;
  mEjectionDuration = std::min(2 * mEjectionDuration, kMaxEjectionDuration);
  mOnProbation = true;
  mConsecutiveFailures = 0;
  // Half of the threshold, so that the next few results decide.
  mFailureRate = kMaxFailureRate / 2;
}

void TargetStats::onReport(int aRequests, TimePoint aNow)
{
  mExternalLoad = std::max(0, aRequests - mInFlight);
  mReportedAt = aNow;
}

double TargetStats::load(TimePoint aNow) const
{
  const Duration age = aNow - mReportedAt;
  double weight = 0;
  if (age <= kReportFullWeightAge) {
    weight = 1;
  } else if (age < kReportMaxAge) {
    weight = toSeconds(kReportMaxAge - age) / toSeconds(kReportMaxAge - kReportFullWeightAge);
  }
  return mInFlight + weight * mExternalLoad;
}

} // namespace bulrushrun
