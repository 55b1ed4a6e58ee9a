#include "bulrushrun/steering/TargetStats.h"

#include <utility>

namespace bulrushrun {

TargetStats::Change TargetStats::onEnd(SendResult aResult, TimePoint aNow)
{
  mInFlight = std::max(mInFlight - 1, 0);
  mHeardAt = aNow;
  if (aResult == SendResult::Full) {
    return Change::Nothing;
  }
  const bool answered = aResult == SendResult::Answered;
  const bool silent = aResult == SendResult::Broken || aResult == SendResult::Unreachable;
  mFailureShare += kFailureWeight * ((answered ? 0.0 : 1.0) - mFailureShare);
  if (answered) {
    mConsecutive = 0;
    if (mFailureShare < kMaxFailureShare / 4) {
      mEjection = kMinEjection;
    }
    return std::exchange(mProbation, false) ? Change::Back : Change::Nothing;
  }
  mConsecutive += silent ? 1 : 0;
  const bool outlier = mConsecutive >= kMaxConsecutive || mFailureShare > kMaxFailureShare;
  if (!isEjected(aNow) && (outlier || (mProbation && silent))) {
    eject(aNow);
    return Change::Ejected;
  }
  return Change::Nothing;
}

void TargetStats::eject(TimePoint aNow)
{
  mEjectedUntil = aNow + mEjection;
  mEjection = std::min(2 * mEjection, kMaxEjection);
  mProbation = true;
  mConsecutive = 0;
  // The next results decide anew.
  mFailureShare = kMaxFailureShare / 2;
}

void TargetStats::onReport(const LoadReport& aReport, TimePoint aNow)
{
  const int total = aReport.mRunning + aReport.mWaiting;
  mForeign = std::max(0, total - mInFlight);
  mReportedAt = aNow;
}

double TargetStats::load(TimePoint aNow) const
{
  const Duration age = aNow - mReportedAt;
  double part = 0;
  if (age <= kReportFresh) {
    part = 1;
  } else if (age < kReportKept) {
    part = toSeconds(kReportKept - age) / toSeconds(kReportKept - kReportFresh);
  }
  return mInFlight + part * mForeign;
}

} // namespace bulrushrun
