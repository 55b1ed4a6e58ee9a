#include "bulrushrun/steering/TargetPicker.h"

#include <algorithm>

/// \file
/// \brief TargetPicker: the choice among the candidates for requests that compete by priority.

namespace bulrushrun {

namespace {

/// \returns the share of the candidates without a free slot, as far as this instance knows.
double busyShare(const std::vector<TargetCandidate>& aCandidates)
{
  const auto busy =
    std::count_if(aCandidates.begin(), aCandidates.end(), [](const TargetCandidate& aCandidate) {
      return aCandidate.mLoad >= aCandidate.mTarget->mEntry.mSlots;
    });
  return static_cast<double>(busy) / static_cast<double>(aCandidates.size());
}

/// \returns the expected time until the target's queue is below a limit, in requests a slot.
Duration timeUntilRoom(const TargetCandidate& aCandidate, double aLimit, Duration aQueuedExecution)
{
  const int slots = std::max(aCandidate.mTarget->mEntry.mSlots, 1);
  const double excess = aCandidate.mLoad + 1 - aLimit * slots;
  return fromSeconds(std::max(excess, 1.0) / slots * toSeconds(aQueuedExecution));
}

CompletionOutlook outlookOf(const TargetCandidate& aCandidate,
                            bool aIsWarm,
                            const AdmissionTerms& aTerms)
{
  return outlookAt(
    aTerms, aCandidate.mLoad, aCandidate.mTarget->mEntry.mSlots, aIsWarm, aCandidate.mSlowdown);
}

} // namespace

PickResult TargetPicker::selectByPriority(const CandidateOrder& aOrder,
                                          const std::function<bool(const Candidate&)>& aAdmits,
                                          const PickQuery& aQuery,
                                          const PickContext& aContext,
                                          TimePoint aNow)
{
  const AdmissionTerms& terms = *aQuery.mTerms;
  const QueueLimit limit = queueLimit(terms);
  const std::vector<Candidate>& order = aOrder.mCandidates;
  PickResult result;
  bool isAnyBeforeDeadline = false;
  bool isAnyAdmitted = false;
  const auto pass = [&](std::size_t aBegin,
                        std::size_t aEnd,
                        double aMaxLoadFactor,
                        bool aInTime,
                        Duration aBelow = Duration::max()) {
    for (std::size_t i = aBegin; i < aEnd; ++i) {
      const Candidate& candidate = order[i];
      const int slots = candidate.mTarget->mEntry.mSlots;
      if (!aAdmits(candidate)) {
        continue;
      }
      isAnyAdmitted = true;
      const CompletionOutlook outlook = outlookOf(candidate, i < aOrder.mPrimariesEnd, terms);
      isAnyBeforeDeadline = isAnyBeforeDeadline || outlook.mIsBeforeDeadline;
      if (outlook.mIsBeforeDeadline && outlook.mExpected < aBelow &&
          (outlook.mIsInTime || !aInTime) && candidate.mLoad + 1 <= aMaxLoadFactor * slots &&
          take(aOrder, i, aQuery, aContext, aNow, result)) {
        result.mExpected = outlook.mExpected;
        return true;
      }
    }
    return false;
  };
  const std::size_t primariesEnd = aOrder.mPrimariesEnd;
  if (pass(0, aOrder.mLocalEnd, kFreeSlotLoadFactor, true) ||
      pass(aOrder.mLocalEnd, primariesEnd, limit.atPrimary(true), true)) {
    return result;
  }
  const std::size_t end = order.size();
  const double other = QueueLimit::atOther(busyShare(order));
  const std::size_t primary = std::max<std::size_t>(primariesEnd, 1) - 1;
  // A cold execution elsewhere may be faster only when the primary's machine is slow now.
  const Duration below =
    order[primary].mSlowdown > 1 ? outlookOf(order[primary], true, terms).mExpected : Duration{ 0 };
  if (pass(primariesEnd, end, other, true) || pass(primariesEnd, end, other, false, below) ||
      pass(0, aOrder.mLocalEnd, kFreeSlotLoadFactor, false) ||
      pass(aOrder.mLocalEnd, primariesEnd, limit.atPrimary(false), false) ||
      pass(primariesEnd, end, other, false)) {
    return result;
  }
  result.mFailure =
    isAnyBeforeDeadline || !isAnyAdmitted ? PickFailure::AllBusy : PickFailure::TooLate;
  result.mUntilRoom = timeUntilRoom(order[primary], limit.atPrimary(true), terms.mTimes.mQueued);
  return result;
}

} // namespace bulrushrun
