#pragma once

#include "bulrushrun/routing/PooledTarget.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace bulrushrun {

/// \brief Request waiting in the queue of a service pool.
struct QueuedRequest
{
  RequestId mId;
  ClassName mClass;
  int mPriority = 0;
  TimePoint mDeadline;
  /// Maximum share of the pool's slots that requests of this class may occupy.
  double mSlotShare = 1.0;
  /// Target to use only when no other has a free slot, or empty.
  TargetId mAvoidedTarget;

  /// \brief Scheduling order: highest priority first, then earliest deadline.
  std::strong_ordering operator<=>(const QueuedRequest& aOther) const
  {
    return std::tie(mPriority, mDeadline, mId) <=>
           std::tie(aOther.mPriority, aOther.mDeadline, aOther.mId);
  }
  bool operator==(const QueuedRequest& aOther) const { return mId == aOther.mId; }
};

/// \brief Request that was assigned a slot, and the target of that slot.
struct Dispatch
{
  RequestId mRequest;
  TargetSpec mTarget;
};

/// \brief Result of a dispatched request, which determines how its slot is released.
enum class SlotRelease
{
  Answered,
  Declined,
  Failed,
  Cancelled,
};

/// \brief Effect of a slot release on the health state of its target.
enum class ReleaseEffect
{
  None,
  /// Ejected after too many consecutive failures.
  Ejected,
  /// First response after an ejection.
  Recovered,
};

/// \brief Owned targets of one service and their common request queue.
///
/// Performs no I/O; the time is passed as an argument. Requests wait in the common queue rather
/// than per target, so that no slot is idle while requests wait. Requests that cannot be served
/// before their deadline can be rejected early with canServe().
///
/// \code
/// if (pool.canServe(request, now)) pool.enqueue(request);
/// while (std::optional<Dispatch> dispatch = pool.next(now)) send(*dispatch);
/// \endcode
class ServicePool
{
public:
  explicit ServicePool(double aEjectionCap)
    : mEjectionCap(aEjectionCap)
  {
  }

  /// \brief Sets the owned targets. New targets start cold when \a aCold is set. Removed targets
  /// are tracked until their requests in progress end.
  void setTargets(const std::vector<TargetSpec>& aTargets, bool aCold, TimePoint aNow);
  /// \brief Records a completed health check. \returns true when the target was waiting for it.
  bool onHealthChecked(const TargetId& aTarget);
  /// \brief Suspends all targets until their next health checks complete, for at least
  /// \a aAtLeast.
  void awaitHealthChecks(Duration aAtLeast, TimePoint aNow);
  /// \brief Marks a target as leaving or not; an unknown target is ignored.
  void setLeaving(const TargetId& aTarget, bool aLeaving);
  /// \brief Sets the maximum share of targets that may be ejected at the same time.
  void setEjectionCap(double aCap) { mEjectionCap = aCap; }

  /// \brief \returns true when at least one owned target is neither leaving nor ejected.
  bool isUsable(TimePoint aNow) const;
  /// \brief \returns true when the request is expected to complete before its deadline.
  bool canServe(const QueuedRequest& aRequest, TimePoint aNow) const;
  /// \brief \returns the expected queueing time of a new request.
  Duration expectedWait(const QueuedRequest& aRequest, TimePoint aNow) const;
  /// \brief \returns the smoothed response time of a class; zero before the first response.
  Duration responseTime(const ClassName& aClass) const;

  void enqueue(const QueuedRequest& aRequest) { mQueue.insert(aRequest); }
  /// \brief Removes a request; one that is not queued is ignored.
  void remove(const QueuedRequest& aRequest) { mQueue.erase(aRequest); }
  /// \brief Removes the next request that can get a slot now from the queue and acquires the slot.
  std::optional<Dispatch> next(TimePoint aNow);
  /// \brief Releases a slot. \returns the effect on the target.
  ReleaseEffect release(const TargetId& aTarget,
                        const ClassName& aClass,
                        SlotRelease aResult,
                        Duration aElapsed,
                        TimePoint aNow);

  std::size_t queueLength() const { return mQueue.size(); }
  /// \brief \returns the number of slots in use at owned targets.
  int inUse() const;
  /// \brief \returns the slots of targets that are neither leaving nor ejected, including slots in
  /// use.
  int usableSlots(TimePoint aNow) const;
  /// \brief \returns the owned targets, ordered by id.
  const std::map<TargetId, PooledTarget>& targets() const { return mTargets; }

private:
  static constexpr Duration kMaxHealthCheckWait = std::chrono::seconds(5);

  PooledTarget* choose(const QueuedRequest& aRequest, TimePoint aNow);
  bool isClassFull(const QueuedRequest& aRequest, TimePoint aNow) const;
  bool mayEject(TimePoint aNow) const;

  double mEjectionCap;
  std::map<TargetId, PooledTarget> mTargets;
  /// Targets no longer owned that still have requests of this instance in progress.
  std::map<TargetId, PooledTarget> mRemovedTargets;
  std::set<QueuedRequest> mQueue;
  std::map<ClassName, int> mSlotsInUseByClass;
  std::map<ClassName, Duration> mResponseTimesByClass;
  Duration mMeanResponseTime{ 0 };
};

} // namespace bulrushrun
