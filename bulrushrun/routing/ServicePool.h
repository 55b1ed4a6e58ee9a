#pragma once

#include "bulrushrun/routing/PooledTarget.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace bulrushrun {

/// \brief One request as the queue sees it.
struct QueuedRequest
{
  RequestId mId;
  ClassName mClass;
  int mPriority = 0;
  TimePoint mDeadline;
  /// Largest share of the pool's slots that its class may hold.
  double mSlotShare = 1.0;
  /// Target that it should not go to again, or empty.
  TargetId mAvoidedTarget;

  /// \brief Order of service: the most urgent class first, then the earliest deadline.
  std::strong_ordering operator<=>(const QueuedRequest& aOther) const
  {
    return std::tie(mPriority, mDeadline, mId) <=>
           std::tie(aOther.mPriority, aOther.mDeadline, aOther.mId);
  }
  bool operator==(const QueuedRequest& aOther) const { return mId == aOther.mId; }
};

/// \brief Request that got a slot, and where.
struct Dispatch
{
  RequestId mRequest;
  TargetSpec mTarget;
};

/// \brief How a dispatched request freed its slot.
enum class SlotRelease
{
  Answered,
  Declined,
  Failed,
  Cancelled,
};

/// \brief What the release of a slot did to its target.
enum class ReleaseEffect
{
  None,
  /// It failed too often and rests.
  Ejected,
  /// It answered for the first time after an ejection.
  Recovered,
};

/// \brief Owned targets of one service, with the one queue before them.
///
/// Pure: the time is an argument. A request waits in the queue, not at a target, so no slot idles
/// while there is work; requests that can't be served in time are refused early.
///
/// \code
/// if (pool.canServe(entry, now)) pool.enqueue(entry);
/// while (std::optional<Dispatch> dispatch = pool.next(now)) send(*dispatch);
/// \endcode
class ServicePool
{
public:
  explicit ServicePool(double aEjectionCap)
    : mEjectionCap(aEjectionCap)
  {
  }

  /// \brief Sets the owned targets. New ones start cold when \a aCold is set; use of targets that
  /// were dropped is kept until their requests end.
  void setTargets(const std::vector<TargetSpec>& aTargets, bool aCold, TimePoint aNow);
  /// \brief A new target's page was read. \returns true when it was held back until now.
  bool onHealthChecked(const TargetId& aTarget);
  /// \brief Holds all targets until their pages are read anew, and \a aAtLeast in any case.
  void awaitHealthChecks(Duration aAtLeast, TimePoint aNow);
  /// \brief Marks a target as leaving or not; an unknown one is ignored.
  void setLeaving(const TargetId& aTarget, bool aLeaving);
  /// \brief Sets the share of targets that may be ejected at once.
  void setEjectionCap(double aCap) { mEjectionCap = aCap; }

  /// \brief \returns true when some owned target may be given work, now or later.
  bool isUsable(TimePoint aNow) const;
  /// \brief \returns true when the queue can be expected to serve the entry by its deadline.
  bool canServe(const QueuedRequest& aEntry, TimePoint aNow) const;
  /// \brief \returns the wait that a new entry can expect.
  Duration expectedWait(const QueuedRequest& aEntry, TimePoint aNow) const;
  /// \brief \returns the usual answer time of a class; zero before the first answer.
  Duration answerTime(const ClassName& aClass) const;

  /// \brief Adds an entry that may be dispatched.
  void enqueue(const QueuedRequest& aEntry) { mQueue.insert(aEntry); }
  /// \brief Removes an entry; one that is not queued is ignored.
  void remove(const QueuedRequest& aEntry) { mQueue.erase(aEntry); }
  /// \brief Takes the next entry that can have a slot now. Its slot is in use from then on.
  std::optional<Dispatch> next(TimePoint aNow);
  /// \brief Frees a slot. \returns what that did to the target.
  ReleaseEffect release(const TargetId& aTarget,
                        const ClassName& aClass,
                        SlotRelease aHow,
                        Duration aElapsed,
                        TimePoint aNow);

  std::size_t queueLength() const { return mQueue.size(); }
  /// \brief \returns the slots in use at owned targets.
  int inUse() const;
  /// \brief \returns the slots that may be used now, busy ones included.
  int usableSlots(TimePoint aNow) const;
  /// \brief \returns the owned targets, in order of their ids.
  const std::map<TargetId, PooledTarget>& targets() const { return mTargets; }

private:
  static constexpr Duration kHoldLimit = std::chrono::seconds(5);

  PooledTarget* choose(const QueuedRequest& aEntry, TimePoint aNow);
  bool isClassFull(const QueuedRequest& aEntry, TimePoint aNow) const;
  bool mayEject(TimePoint aNow) const;

  double mEjectionCap;
  std::map<TargetId, PooledTarget> mTargets;
  /// Targets that are owned no more but still work for us.
  std::map<TargetId, PooledTarget> mDropped;
  std::set<QueuedRequest> mQueue;
  std::map<ClassName, int> mClassUse;
  std::map<ClassName, Duration> mAnswerTimes;
  Duration mMeanAnswerTime{ 0 };
};

} // namespace bulrushrun
