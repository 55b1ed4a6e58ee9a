#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/steering/MedianEstimate.h"

#include <algorithm>

/// \file
/// \brief How long a request is expected to wait and to execute at a target.

namespace bulrushrun {

/// \brief Learned execution times of one kind of request. Zero: not known yet.
struct ExecutionTimes
{
  /// At a target that served the object recently.
  Duration mWarm{ 0 };
  /// At any other target.
  Duration mCold{ 0 };
  /// Of the requests of the service, which is what a queue consists of.
  Duration mQueued{ 0 };

  /// \brief \returns the time for one execution. Unknown cold executions count as warm ones, so
  /// that a target is tried before it is ruled out.
  Duration execution(bool aIsWarm) const
  {
    return aIsWarm || mCold == Duration{ 0 } ? mWarm : mCold;
  }
};

/// \brief \returns the factor by which a queue prolongs an execution of the usual length.
///
/// \param aLoad  requests believed to be at the target, without the new one
///
/// The queue of a target is worked off by all its slots. With 3 slots and a
/// median execution of 210 ms, loads of 0 to 3 were measured to add nothing, and each further
/// request 71 ms, which is about 210 / 3.
inline double queuedExecutions(double aLoad, int aSlots)
{
  return std::max(aLoad - aSlots, 0.0) / std::max(aSlots, 1);
}

/// \brief \returns how long a request is expected to wait before it starts.
inline Duration expectedWait(double aLoad, int aSlots, Duration aQueuedExecution)
{
  return fromSeconds(queuedExecutions(aLoad, aSlots) * toSeconds(aQueuedExecution));
}

/// \brief \returns how long a request is expected to take at a target from when it is sent.
/// \param aSlowdown  how long work takes there now, as a multiple of the usual time
inline Duration expectedCompletion(double aLoad,
                                   int aSlots,
                                   bool aIsWarm,
                                   const ExecutionTimes& aTimes,
                                   double aSlowdown = 1)
{
  const Duration usual = expectedWait(aLoad, aSlots, aTimes.mQueued) + aTimes.execution(aIsWarm);
  return fromSeconds(toSeconds(usual) * aSlowdown);
}

/// \brief Learns the execution times of one route from attempts.
class ExecutionTimeLearner
{
public:
  /// \brief Records an attempt that ended with a response. \returns the execution time without the
  /// expected wait, which the caller adds to the service's
  /// \param aLoad  load that the target was believed to have when the request was sent
  /// \param aSlowdown  how long work was believed to take there, as a multiple of the usual time
  Duration add(Duration aElapsed, double aLoad, int aSlots, bool aIsWarm, double aSlowdown = 1)
  {
    // Under overload each attempt waits, so that its wait has to be taken off.
    const Duration execution =
      fromSeconds(toSeconds(aElapsed) / (1 + queuedExecutions(aLoad, aSlots)) / aSlowdown);
    (aIsWarm ? mWarm : mCold).add(execution);
    return execution;
  }
  ExecutionTimes times(const MedianEstimate& aQueued) const
  {
    return { mWarm.value(), mCold.value(), aQueued.value() };
  }

private:
  MedianEstimate mWarm;
  MedianEstimate mCold;
};

} // namespace bulrushrun
