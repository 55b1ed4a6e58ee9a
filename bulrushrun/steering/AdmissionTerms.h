#pragma once

#include "bulrushrun/steering/CompletionEstimate.h"
#include "bulrushrun/steering/QueueLimit.h"

namespace bulrushrun {

/// \brief Terms under which a request competes with others for scarce capacity.
struct AdmissionTerms
{
  PriorityLevel mLevel;
  ExecutionTimes mTimes;
  /// Time that is left to the latency target; negative when it has passed.
  Duration mToLatencyTarget{ 0 };
  Duration mToDeadline{ 0 };
  /// The caller repeats a refused request before its Retry-After has passed.
  bool mIsEarlyRepeat = false;
};

/// \brief What is expected of one target for one request.
struct CompletionOutlook
{
  Duration mExpected{ 0 };
  bool mIsInTime = true;
  bool mIsBeforeDeadline = true;
};

/// \brief \returns what is expected of a target with this load.
///
/// Only the wait counts towards the deadline: it ends as the queue drains, while a learned
/// execution time beyond the deadline would refuse all requests and get no sample that corrects it.
/// \param aSlowdown  how long work takes there now, as a multiple of the usual time
inline CompletionOutlook outlookAt(const AdmissionTerms& aTerms,
                                   double aLoad,
                                   int aSlots,
                                   bool aIsWarm,
                                   double aSlowdown)
{
  const Duration expected = expectedCompletion(aLoad, aSlots, aIsWarm, aTerms.mTimes, aSlowdown);
  const Duration wait =
    fromSeconds(toSeconds(expectedWait(aLoad, aSlots, aTerms.mTimes.mQueued)) * aSlowdown);
  return { expected, expected <= aTerms.mToLatencyTarget, wait <= aTerms.mToDeadline };
}

/// \brief \returns the limits for a request; those of early repeats are the least urgent ones.
inline QueueLimit queueLimit(const AdmissionTerms& aTerms)
{
  const int levels = aTerms.mLevel.mLevels;
  return QueueLimit{ aTerms.mIsEarlyRepeat ? PriorityLevel{ levels - 1, levels } : aTerms.mLevel };
}

} // namespace bulrushrun
