#include "bulrushrun/steering/TargetPicker.h"

#include <algorithm>
#include <array>

/// \file
/// \brief TargetPicker: the choice among the candidates, and the limits on the regions that it may
/// use.

namespace bulrushrun {

namespace {

/// \param aHome  region in which requests for the object run at the moment
/// \param aFirst  region of the first candidate
/// \param aPreferred  region of the target that keeps the object, as far as it is known
/// \returns why a request for an object goes to a region
RegionChoice reasonFor(int aRegion, int aHome, int aFirst, int aPreferred)
{
  if (aRegion != aHome) {
    return RegionChoice::Overflow;
  }
  if (aHome != aFirst) {
    return RegionChoice::Returning;
  }
  return aRegion == aPreferred ? RegionChoice::Preferred : RegionChoice::Displaced;
}

} // namespace

bool TargetPicker::take(const CandidateOrder& aOrder,
                        std::size_t aPosition,
                        const PickQuery& aQuery,
                        const PickContext& aContext,
                        TimePoint aNow,
                        PickResult& aResult)
{
  const Candidate& candidate = aOrder.mCandidates[aPosition];
  const KnownTarget& target = *candidate.mTarget;
  if (!admitsIfCold(target, aQuery, aContext, aNow)) {
    ++aResult.mColdLimited;
    return false;
  }
  if (!mRateLimiter.admit(
        target.mEntry.mId, target.mHash, target.mEntry.mIncarnation, aContext.mFleetQuota, aNow)) {
    ++aResult.mRateLimited;
    return false;
  }
  aResult.mTarget = &target;
  aResult.mLoad = candidate.mLoad;
  aResult.mSlowdown = candidate.mSlowdown;
  aResult.mPreferenceRank = aPosition + 1;
  aResult.mIsWarm = aPosition < aOrder.mPrimariesEnd;
  return true;
}

template<class Admits>
PickResult TargetPicker::select(const CandidateOrder& aOrder,
                                const Admits& aAdmits,
                                bool aMayLeave,
                                const PickQuery& aQuery,
                                const PickContext& aContext,
                                TimePoint aNow)
{
  if (aQuery.mTerms) {
    return selectByPriority(aOrder, aAdmits, aQuery, aContext, aNow);
  }
  PickResult result;
  const std::vector<Candidate>& order = aOrder.mCandidates;
  // The last pass is for requests that are not admitted to other regions.
  const std::array<SelectionPass, 6> passes{
    { { 0, aOrder.mLocalEnd, kFreeSlotLoadFactor },
      { aOrder.mLocalEnd, aOrder.mPrimariesEnd, kShortWaitLoadFactor },
      { aOrder.mPrimariesEnd, aOrder.mSecondariesEnd, kFreeSlotLoadFactor },
      { 0, aOrder.mPrimariesEnd, kMaxQueueLoadFactor },
      { aOrder.mPrimariesEnd, order.size(), kOverflowLoadFactor },
      { aOrder.mPrimariesEnd, aMayLeave ? 0 : order.size(), kFreeSlotLoadFactor } }
  };
  for (const SelectionPass& pass : passes) {
    for (std::size_t i = pass.mBegin; i < pass.mEnd; ++i) {
      const double slots = order[i].mTarget->mEntry.mSlots;
      if (aAdmits(order[i]) && order[i].mLoad + 1 <= pass.mMaxLoadFactor * slots &&
          take(aOrder, i, aQuery, aContext, aNow, result)) {
        return result;
      }
    }
  }
  result.mFailure = PickFailure::AllBusy;
  return result;
}

PickResult TargetPicker::pick(const PickQuery& aQuery,
                              const std::vector<const KnownTarget*>& aUsable,
                              const PickContext& aContext,
                              TimePoint aNow)
{
  mReturns.advance(kReturnPart * aContext.mMaxShift, aNow);
  if (mOverflow.update(aContext.mInstanceHash, aNow)) {
    mKeyedRequests = 0;
  }
  std::vector<Candidate> eligible = candidates(aQuery, aUsable, aContext, aNow);
  const bool byKey = aQuery.mAffinity == Affinity::Key;
  const std::optional<Placement> placed =
    byKey ? mPlacer.place(aQuery, aUsable, aContext, aNow, eligible) : std::nullopt;
  const std::size_t usable = eligible.size();
  PickResult result;
  if (eligible.empty()) {
    result.mFailure = earliestEndOfRest(aQuery, aUsable, aContext, aNow) ? PickFailure::AllResting
                                                                         : PickFailure::NoTarget;
  } else if (byKey) {
    result = pickByKey(aQuery, aUsable, aContext, aNow, std::move(eligible));
  } else {
    result = pickNearest(aQuery, aContext, aNow, std::move(eligible));
  }
  result.mUsable = usable;
  result.mPlaced = placed;
  return result;
}

PickResult TargetPicker::pickByKey(const PickQuery& aQuery,
                                   const std::vector<const KnownTarget*>& aUsable,
                                   const PickContext& aContext,
                                   TimePoint aNow,
                                   std::vector<Candidate> aEligible)
{
  const CandidateOrder order = orderCandidates(aQuery, aContext, std::move(aEligible));
  const Candidate& first = order.mCandidates.front();
  const std::optional<Placement> placement = mPlacer.find(ObjectKey{ aQuery.mAffinityKey });
  const auto isKeeper = [&](const KnownTarget& aTarget) {
    return placement && aTarget.mHash == placement->mTarget.value();
  };
  const bool isKeeperFirst = isKeeper(*order.mCandidates[order.mPrimariesEnd - 1].mTarget);
  const auto keeper = std::find_if(
    aUsable.begin(), aUsable.end(), [&](const KnownTarget* aTarget) { return isKeeper(*aTarget); });
  const bool isDisplaced = keeper != aUsable.end() && !isKeeperFirst;
  if (aQuery.mTriedTargets.empty()) {
    ++mKeyedRequests;
    if (keeper != aUsable.end() && !aQuery.mHomeRegions.isRestricted()) {
      mReturns.onRequest(isDisplaced || (first.mReturned < 1 && !first.mIsNew));
    }
  }
  const double returnsFrom =
    toUnitInterval(combineHashes(aQuery.mAffinityKey, aContext.mInstanceHash));
  const auto isHeldBack = [&](const Candidate& aCandidate) {
    return aCandidate.mReturned <= returnsFrom &&
           !(aCandidate.mIsNew && isKeeper(*aCandidate.mTarget));
  };
  // Within a region, nothing is gained by holding requests back.
  const auto available =
    std::find_if_not(order.mCandidates.begin(), order.mCandidates.end(), isHeldBack);
  const int home = available == order.mCandidates.end() ? first.mRegion : available->mRegion;
  // Before placements are known, the first candidates of instances differ anyway.
  const bool mayLeave = !placement || mOverflow.allows(kOverflowPart * aContext.mMaxShift *
                                                       static_cast<double>(mKeyedRequests));
  const auto isOutOfReach = [&](const Candidate& aCandidate) {
    return aCandidate.mRegion != home && isHeldBack(aCandidate);
  };
  const auto admits = [&](const Candidate& aCandidate) {
    return mayLeave || aCandidate.mRegion == home;
  };
  PickResult result;
  if (std::any_of(order.mCandidates.begin(), order.mCandidates.end(), isOutOfReach)) {
    std::vector<Candidate> reachable = order.mCandidates;
    std::erase_if(reachable, isOutOfReach);
    const CandidateOrder remaining = orderCandidates(aQuery, aContext, std::move(reachable));
    result = select(remaining, admits, mayLeave, aQuery, aContext, aNow);
  } else {
    result = select(order, admits, mayLeave, aQuery, aContext, aNow);
  }
  if (result.mTarget != nullptr) {
    const ZoneTopology& zones = aContext.mZones;
    const int preferred = isDisplaced ? zones.regionIndex((*keeper)->mEntry.mZone) : first.mRegion;
    result.mRegionChoice =
      reasonFor(zones.regionIndex(result.mTarget->mEntry.mZone), home, first.mRegion, preferred);
  }
  if (result.mRegionChoice == RegionChoice::Overflow) {
    mOverflow.use();
  }
  return result;
}

PickResult TargetPicker::pickNearest(const PickQuery& aQuery,
                                     const PickContext& aContext,
                                     TimePoint aNow,
                                     std::vector<Candidate> aEligible)
{
  const ZoneTopology& zones = aContext.mZones;
  const ServiceName service = aEligible.front().mTarget->mEntry.mService;
  const CandidateOrder order = orderCandidates(aQuery, aContext, std::move(aEligible));
  RegionShareLimiter& limiter = mRegionShares[service];
  limiter.update(
    aContext.mInstanceHash, zones.regionCount(), kShareChangePart * aContext.mMaxShift, aNow);
  // Home regions bind whatever moves with them; what is in an unknown zone counts for no region.
  const auto isLimited = [&](const Candidate& aCandidate) {
    return !aQuery.mHomeRegions.isRestricted() &&
           aCandidate.mRegion != ZoneTopology::kUnknownRegion;
  };
  const auto mayUse = [&](const Candidate& aCandidate) {
    return !isLimited(aCandidate) || limiter.mayUse(static_cast<std::size_t>(aCandidate.mRegion));
  };
  const auto mustUse = [&](const Candidate& aCandidate) {
    return isLimited(aCandidate) && limiter.mustUse(static_cast<std::size_t>(aCandidate.mRegion));
  };
  // When no target of a region is left, its requests go elsewhere at once.
  bool isRegionLost = false;
  for (std::size_t region = 0; region < zones.regionCount(); ++region) {
    isRegionLost =
      isRegionLost || (limiter.wasUsed(region) && std::none_of(order.mCandidates.begin(),
                                                               order.mCandidates.end(),
                                                               [&](const Candidate& aCandidate) {
                                                                 return aCandidate.mRegion ==
                                                                        static_cast<int>(region);
                                                               }));
  }
  PickResult result = select(order, mustUse, true, aQuery, aContext, aNow);
  const bool isHeldBack = result.mTarget != nullptr;
  if (!isHeldBack) {
    result = select(order, mayUse, true, aQuery, aContext, aNow);
  }
  if (result.mTarget == nullptr && isRegionLost) {
    result = select(
      order, [](const Candidate&) { return true; }, true, aQuery, aContext, aNow);
  }
  if (result.mTarget != nullptr) {
    const int region = zones.regionIndex(result.mTarget->mEntry.mZone);
    if (region != zones.regionIndex(zones.own())) {
      result.mRegionChoice = isHeldBack     ? RegionChoice::Returning
                             : isRegionLost ? RegionChoice::Displaced
                                            : RegionChoice::Overflow;
    }
    if (!aQuery.mHomeRegions.isRestricted() && region != ZoneTopology::kUnknownRegion) {
      limiter.onRequest(static_cast<std::size_t>(region));
    }
  }
  return result;
}

std::map<RegionName, RegionRoom> TargetPicker::rooms(const std::vector<const KnownTarget*>& aUsable,
                                                     const PickContext& aContext,
                                                     TimePoint aNow) const
{
  std::map<RegionName, RegionRoom> rooms;
  for (const KnownTarget* target : aUsable) {
    const TargetEntry& entry = target->mEntry;
    RegionRoom& room = rooms[aContext.mZones.regionOf(entry.mZone)];
    const auto found = mStats.find(entry.mId);
    const bool isAvoided =
      found != mStats.end() && (found->second.isEjected(aNow) || found->second.isResting(aNow));
    ++room.mTargets;
    if (isAvoided || aContext.mEvacuated.contains(entry.mZone)) {
      ++room.mUnavailable;
    } else {
      room.mSlots += entry.mSlots;
      room.mLoad += found == mStats.end() ? 0 : found->second.load(aNow);
    }
  }
  return rooms;
}

} // namespace bulrushrun
