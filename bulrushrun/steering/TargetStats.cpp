#include "bulrushrun/steering/TargetStats.h"

#include <utility>

namespace bulrushrun {

namespace {

/// \returns the weight of a report: 1 up to the first age, falling to 0 at the second.
double weightOf(Duration aAge, Duration aFullWeightAge, Duration aMaxAge)
{
  if (aAge <= aFullWeightAge) {
    return 1;
  }
  return aAge < aMaxAge ? toSeconds(aMaxAge - aAge) / toSeconds(aMaxAge - aFullWeightAge) : 0;
}

} // namespace

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
  return mInFlight +
         weightOf(aNow - mReportedAt, kReportFullWeightAge, kReportMaxAge) * mExternalLoad;
}

double TargetStats::slowdown(TimePoint aNow) const
{
  return 1 +
         weightOf(aNow - mSlowdownAt, kSlowdownFullWeightAge, kSlowdownMaxAge) * (mSlowdown - 1);
}

} // namespace bulrushrun
