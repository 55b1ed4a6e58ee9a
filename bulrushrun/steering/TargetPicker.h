#pragma once

#include "bulrushrun/limits/ColdTargetRateLimiter.h"
#include "bulrushrun/limits/RegionShareLimiter.h"
#include "bulrushrun/limits/ReturnRamp.h"
#include "bulrushrun/limits/TargetRateLimiter.h"
#include "bulrushrun/limits/WindowQuota.h"
#include "bulrushrun/steering/ObjectPlacer.h"
#include "bulrushrun/steering/PickQuery.h"
#include "bulrushrun/steering/RegionChoice.h"
#include "bulrushrun/steering/RegionShares.h"
#include "bulrushrun/steering/TargetStats.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace bulrushrun {

/// \brief Why no target was picked.
enum class PickFailure
{
  None,
  /// No target is registered, or none may be used.
  NoTarget,
  /// All targets are loaded beyond what they may queue, or cold.
  AllBusy,
  /// All targets that might be used asked for rest.
  AllResting,
  /// No target is expected to respond before the deadline.
  TooLate,
};

/// \brief \returns why no target was picked, for the log and the caller.
constexpr const char* describe(PickFailure aFailure)
{
  switch (aFailure) {
    case PickFailure::AllBusy:
      return "all targets are busy or cold";
    case PickFailure::AllResting:
      return "all targets asked for rest";
    case PickFailure::TooLate:
      return "no target can respond before the deadline";
    default:
      return "no usable target";
  }
}

/// \brief \returns the name of a failure for metrics; None stands for a target that declined.
constexpr const char* label(PickFailure aFailure)
{
  switch (aFailure) {
    case PickFailure::NoTarget:
      return "no-target";
    case PickFailure::AllBusy:
      return "busy";
    case PickFailure::AllResting:
      return "resting";
    case PickFailure::TooLate:
      return "too-late";
    default:
      return "declined";
  }
}

/// \brief Result of a choice.
struct PickResult
{
  const KnownTarget* mTarget = nullptr;
  PickFailure mFailure = PickFailure::None;
  /// Inputs of the decision, for the log.
  std::size_t mUsable = 0;
  /// Cold targets skipped because this instance's quota was used up.
  std::size_t mColdLimited = 0;
  /// Targets skipped because this instance's quota of the rate that they named was used up.
  std::size_t mRateLimited = 0;
  double mLoad = 0;
  /// Position of the target in the order of preference, from 1; 0 if none was picked.
  std::size_t mPreferenceRank = 0;
  /// Why the request goes to the region of the target.
  RegionChoice mRegionChoice = RegionChoice::Preferred;
  /// Expected time from sending to the response; empty without PickQuery::mTerms.
  std::optional<Duration> mExpected;
  /// How long work takes at the target, as a multiple of the usual time.
  double mSlowdown = 1;
  /// The target is expected to have the object's data.
  bool mIsWarm = true;
  /// When no target was picked: expected time until the preferred one has room for the request.
  std::optional<Duration> mUntilRoom;
  /// Placement that this choice made, to be announced to the other instances.
  std::optional<Placement> mPlaced;
};

/// \brief Chooses the target of each attempt. Performs no I/O.
///
/// Requests with an affinity key go to the target at which the key's object is placed. While that
/// one is avoided, and before placements are known, the order is that of weighted rendezvous
/// hashing, in which the weight of targets in this instance's region is multiplied by the number of
/// regions: even when all regions send equal load, a region with few targets then gets no more than
/// the average load. A short wait at a warm target is better than an immediate start at a cold one,
/// and each further target that serves a key evicts another key for it.
///
/// Requests without an affinity key go to the least loaded target, in this instance's zone first.
///
/// Requests leave an unavailable target at once. What else changes the region in which requests run
/// is limited, so that the sum over all instances stays below PickContext::mMaxShift: the return to
/// a target that was unavailable, the way around a busy one, and the placement of objects anew.
class TargetPicker
{
public:
  /// \brief Chooses a target, and counts it against the quotas if the target is cold or has named a
  /// rate.
  PickResult pick(const PickQuery& aQuery,
                  const std::vector<const KnownTarget*>& aUsable,
                  const PickContext& aContext,
                  TimePoint aNow);

  /// \brief \returns the load and health statistics of a target.
  TargetStats& stats(const TargetId& aTarget) { return mStats[aTarget]; }
  /// \brief \returns the rates that targets named.
  TargetRateLimiter& rateLimiter() { return mRateLimiter; }
  /// \brief \returns the targets at which objects are placed.
  PlacementTable& placements() { return mPlacer.placements(); }
  /// \brief \returns the earliest end of a rest, if all targets that may serve the request rest.
  /// Targets that were attempted before count, too.
  std::optional<TimePoint> earliestEndOfRest(const PickQuery& aQuery,
                                             const std::vector<const KnownTarget*>& aUsable,
                                             const PickContext& aContext,
                                             TimePoint aNow);
  /// \brief \returns the room of a service by region, for the log. O(targets)
  std::map<RegionName, RegionRoom> rooms(const std::vector<const KnownTarget*>& aUsable,
                                         const PickContext& aContext,
                                         TimePoint aNow) const;
  /// \brief Drops the statistics of targets that are no longer in the table and do not rest.
  void forgetUnknown(const TargetTable& aTable, TimePoint aNow);

private:
  using Candidate = TargetCandidate;

  /// Candidates in the order of preference, in consecutive groups.
  struct CandidateOrder
  {
    std::vector<Candidate> mCandidates;
    /// End of the group of local replicas: local targets for keys with large responses.
    std::size_t mLocalEnd = 0;
    /// End of the group of the key's primary target.
    std::size_t mPrimariesEnd = 0;
    /// End of the group of the secondary target, used when the primary is full.
    std::size_t mSecondariesEnd = 0;
  };

  /// One pass over a range of candidates; accepts those loaded below a factor of their slots.
  struct SelectionPass
  {
    std::size_t mBegin;
    std::size_t mEnd;
    double mMaxLoadFactor;
  };

  /// Maximum load of a target, as a multiple of its slots, to accept keys of other targets.
  static constexpr double kOverflowLoadFactor = 0.6;
  /// Maximum load such that one more request starts at once.
  static constexpr double kFreeSlotLoadFactor = 1.0;
  /// Maximum load such that one more request waits for less time than a cold execution takes.
  static constexpr double kShortWaitLoadFactor = 2.3;
  /// Maximum load in the last resort: targets queue a few requests themselves.
  static constexpr double kMaxQueueLoadFactor = 3.0;
  /// Maximum fraction of the targets that is avoided; with more, health is ignored.
  static constexpr double kMaxEjectedShare = 0.5;
  /// Parts of PickContext::mMaxShift for requests that return to targets that were unavailable, for
  /// those that leave a busy target's region, and for the shares of requests without a key.
  /// The rest is for objects that are placed anew, and for chance.
  static constexpr double kReturnPart = 0.25;
  static constexpr double kOverflowPart = 0.33;
  static constexpr double kShareChangePart = 0.4;

  std::vector<Candidate> candidates(const PickQuery& aQuery,
                                    const std::vector<const KnownTarget*>& aUsable,
                                    const PickContext& aContext,
                                    TimePoint aNow);
  PickResult pickByKey(const PickQuery& aQuery,
                       const std::vector<const KnownTarget*>& aUsable,
                       const PickContext& aContext,
                       TimePoint aNow,
                       std::vector<Candidate> aEligible);
  PickResult pickNearest(const PickQuery& aQuery,
                         const PickContext& aContext,
                         TimePoint aNow,
                         std::vector<Candidate> aEligible);
  /// \param aAdmits  predicate, true for candidates in regions that the choice may use
  /// \param aMayLeave  false when only one region is admitted, whose free slots are then all used
  /// \returns the first candidate in the order that has room and is admitted
  template<class Admits>
  PickResult select(const CandidateOrder& aOrder,
                    const Admits& aAdmits,
                    bool aMayLeave,
                    const PickQuery& aQuery,
                    const PickContext& aContext,
                    TimePoint aNow);
  /// \brief As select(), for requests that compete by priority: targets at which the request is
  /// expected to be in time come first, and the limits depend on its priority.
  PickResult selectByPriority(const CandidateOrder& aOrder,
                              const std::function<bool(const Candidate&)>& aAdmits,
                              const PickQuery& aQuery,
                              const PickContext& aContext,
                              TimePoint aNow);
  /// Takes a candidate unless it is cold, or limited to a rate, and this instance's quota is used
  /// up.
  bool take(const CandidateOrder& aOrder,
            std::size_t aPosition,
            const PickQuery& aQuery,
            const PickContext& aContext,
            TimePoint aNow,
            PickResult& aResult);
  static CandidateOrder orderCandidates(const PickQuery& aQuery,
                                        const PickContext& aContext,
                                        std::vector<Candidate> aCandidates);
  static bool keepsLocalReplica(const PickQuery& aQuery,
                                const PickContext& aContext,
                                const std::vector<Candidate>& aCandidates);
  bool admitsIfCold(const KnownTarget& aTarget,
                    const PickQuery& aQuery,
                    const PickContext& aContext,
                    TimePoint aNow);

  std::map<TargetId, TargetStats> mStats;
  ColdTargetRateLimiter mColdRateLimiter;
  TargetRateLimiter mRateLimiter;
  ObjectPlacer mPlacer;
  ReturnRamp mReturns;
  /// Requests by key in the window of the quota, and those of them that left a busy region.
  std::uint64_t mKeyedRequests = 0;
  WindowQuota mOverflow;
  /// Of requests without a key, by service.
  std::map<ServiceName, RegionShareLimiter> mRegionShares;
};

} // namespace bulrushrun
