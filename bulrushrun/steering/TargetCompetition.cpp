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

} // namespace

PickResult TargetPicker::compete(const CandidateOrder& aOrder,
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
  const auto pass = [&](std::size_t aBegin, std::size_t aEnd, double aMaxLoadFactor, bool aInTime) {
    for (std::size_t i = aBegin; i < aEnd; ++i) {
      const Candidate& candidate = order[i];
      const int slots = candidate.mTarget->mEntry.mSlots;
      if (!aAdmits(candidate)) {
        continue;
      }
      const CompletionOutlook outlook =
        outlookAt(terms, candidate.mLoad, slots, i < aOrder.mPrimariesEnd);
      isAnyBeforeDeadline = isAnyBeforeDeadline || outlook.mIsBeforeDeadline;
      if (outlook.mIsBeforeDeadline && (outlook.mIsInTime || !aInTime) &&
          candidate.mLoad + 1 <= aMaxLoadFactor * slots &&
          take(aOrder, i, aQuery, aContext, aNow, result)) {
        result.mExpected = outlook.mExpected;
        return true;
      }
    }
    return false;
  };
  std::optional<double> other;
  for (const bool isInTime : { true, false }) {
    const std::size_t primariesEnd = aOrder.mPrimariesEnd;
    if (pass(0, aOrder.mLocalEnd, kFreeSlotLoadFactor, isInTime) ||
        pass(aOrder.mLocalEnd, primariesEnd, limit.atPrimary(isInTime), isInTime)) {
      return result;
    }
    other = other ? other : QueueLimit::atOther(busyShare(order));
    if (pass(primariesEnd, order.size(), *other, isInTime)) {
      return result;
    }
  }
  result.mFailure = isAnyBeforeDeadline ? PickFailure::AllBusy : PickFailure::TooLate;
  const Candidate& primary = order[std::max<std::size_t>(aOrder.mPrimariesEnd, 1) - 1];
  const int slots = std::max(primary.mTarget->mEntry.mSlots, 1);
  const double excess = primary.mLoad + 1 - limit.atPrimary(true) * slots;
  result.mUntilRoom = fromSeconds(std::max(excess, 1.0) / slots * toSeconds(terms.mTimes.mQueued));
  return result;
}

} // namespace bulrushrun
