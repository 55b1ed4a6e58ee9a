#include "bulrushrun/steering/ObjectPlacer.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace bulrushrun {

namespace {

PlacementCandidate toPlacementCandidate(const TargetCandidate& aCandidate)
{
  return { TargetHash{ aCandidate.mTarget->mHash },
           std::max(aCandidate.mTarget->mEntry.mSlots, 1),
           aCandidate.mDistance,
           aCandidate.mRank };
}

/// \returns the candidates that may get new objects. Only instances of its zone send requests to a
/// cold target.
std::vector<PlacementCandidate> placementCandidates(const std::vector<TargetCandidate>& aCandidates,
                                                    const ZoneName& aOwnZone,
                                                    Duration aColdStartDuration,
                                                    TimePoint aNow)
{
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(aCandidates.size());
  for (const TargetCandidate& candidate : aCandidates) {
    const KnownTarget& target = *candidate.mTarget;
    if (target.mEntry.mZone == aOwnZone || !isCold(target, aColdStartDuration, aNow)) {
      candidates.push_back(toPlacementCandidate(candidate));
    }
  }
  return candidates;
}

/// \returns true when the target is a candidate in the region.
bool isInRegion(TargetHash aTarget, int aRegion, const std::vector<TargetCandidate>& aCandidates)
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const TargetCandidate& aCandidate) {
      return aCandidate.mTarget->mHash == aTarget.value() && aCandidate.mRegion == aRegion;
    });
}

} // namespace

std::optional<TargetHash> ObjectPlacer::chooseTarget(
  const PickQuery& aQuery,
  const std::vector<const KnownTarget*>& aUsable,
  const PickContext& aContext,
  TimePoint aNow,
  const std::vector<TargetCandidate>& aCandidates)
{
  const ZoneName& ownZone = aContext.mZones.own();
  const Duration coldStartDuration = aQuery.mColdStartDuration;
  const auto placementTargets = [&](const std::vector<TargetCandidate>& aChoices) {
    return placementCandidates(aChoices, ownZone, coldStartDuration, aNow);
  };
  const std::optional<Placement> known = mPlacements.find(ObjectKey{ aQuery.mAffinityKey });
  const auto isKeeper = [&](const KnownTarget& aTarget) {
    return known && aTarget.mHash == known->mTarget.value();
  };
  const bool isRegistered = std::any_of(
    aUsable.begin(), aUsable.end(), [&](const KnownTarget* aTarget) { return isKeeper(*aTarget); });
  if (!isRegistered) {
    // Home regions bind whatever moves with them.
    const std::optional<ZoneName> left =
      known && !aQuery.mHomeRegions.isRestricted() && aContext.mTargets != nullptr
        ? aContext.mTargets->zoneOfLeaving(known->mTarget.value())
        : std::nullopt;
    return left ? chooseAnew(aContext.mZones.regionIndex(*left), aCandidates, placementTargets)
                : choosePlacement(mPlacements, placementTargets(aCandidates));
  }
  const auto keeper =
    std::find_if(aCandidates.begin(), aCandidates.end(), [&](const TargetCandidate& aCandidate) {
      return isKeeper(*aCandidate.mTarget);
    });
  if (keeper == aCandidates.end()) {
    return std::nullopt;
  }
  if (!aQuery.mHomeRegions.isRestricted()) {
    if (const std::optional<TargetHash> better = rebalance(*known, *keeper, aCandidates, aNow)) {
      return better;
    }
  }
  return keeper->mLoad + 1 > keeper->mTarget->mEntry.mSlots
           ? relieve(*keeper, aCandidates, placementTargets(aCandidates))
           : std::nullopt;
}

/// The target left as planned. Its objects stay in the region, however few targets remain there,
/// but for those that may change it.
template<class PlacementTargets>
std::optional<TargetHash> ObjectPlacer::chooseAnew(int aRegion,
                                                   const std::vector<TargetCandidate>& aCandidates,
                                                   const PlacementTargets& aPlacementTargets)
{
  const std::optional<TargetHash> best =
    choosePlacement(mPlacements, aPlacementTargets(aCandidates));
  if (!best || isInRegion(*best, aRegion, aCandidates)) {
    return best;
  }
  if (!mayChangeRegion()) {
    std::vector<TargetCandidate> inRegion;
    std::copy_if(aCandidates.begin(),
                 aCandidates.end(),
                 std::back_inserter(inRegion),
                 [&](const TargetCandidate& aCandidate) { return aCandidate.mRegion == aRegion; });
    const std::optional<TargetHash> nearby =
      choosePlacement(mPlacements, aPlacementTargets(inRegion));
    return nearby ? nearby : best;
  }
  mRegionChanges.use();
  return best;
}

std::optional<TargetHash> ObjectPlacer::rebalance(const Placement& aPlacement,
                                                  const TargetCandidate& aKeeper,
                                                  const std::vector<TargetCandidate>& aCandidates,
                                                  TimePoint aNow)
{
  if (aNow < mNextRebalanceAt || !mayChangeRegion() ||
      aPlacement.mGeneration.value() >= kMaxGenerationToRebalance) {
    return std::nullopt;
  }
  mNextRebalanceAt = aNow + kRebalanceInterval;
  // Busy and cold targets take none, nor those to which requests are only returning yet.
  std::vector<PlacementCandidate> choices;
  for (const TargetCandidate& candidate : aCandidates) {
    const bool hasRoom = candidate.mLoad + 1 <= candidate.mTarget->mEntry.mSlots;
    if (hasRoom && candidate.mReturned >= 1 && aNow >= candidate.mTarget->mColdUntil) {
      choices.push_back(toPlacementCandidate(candidate));
    }
  }
  const std::optional<TargetHash> chosen =
    chooseRebalance(mPlacements, toPlacementCandidate(aKeeper), choices);
  if (chosen) {
    mRegionChanges.use();
  }
  return chosen;
}

std::optional<TargetHash> ObjectPlacer::relieve(const TargetCandidate& aKeeper,
                                                const std::vector<TargetCandidate>& aCandidates,
                                                const std::vector<PlacementCandidate>& aChoices)
{
  const std::optional<TargetHash> chosen =
    chooseRelief(mPlacements, toPlacementCandidate(aKeeper), aChoices);
  if (!chosen || isInRegion(*chosen, aKeeper.mRegion, aCandidates)) {
    return chosen;
  }
  if (!mayChangeRegion()) {
    return std::nullopt;
  }
  mRegionChanges.use();
  return chosen;
}

std::optional<Placement> ObjectPlacer::place(const PickQuery& aQuery,
                                             const std::vector<const KnownTarget*>& aUsable,
                                             const PickContext& aContext,
                                             TimePoint aNow,
                                             std::vector<TargetCandidate>& aCandidates)
{
  const ObjectKey object{ aQuery.mAffinityKey };
  const std::size_t instances = std::max<std::size_t>(aContext.mFleetQuota.instances(), 1);
  mRegionChanges.update(aContext.mInstanceHash, aNow);
  mRegionChangeLimit = kRegionChangePart * aContext.mMaxShift *
                       static_cast<double>(mPlacements.size()) / static_cast<double>(instances);
  std::optional<Placement> announcement;
  // A retry goes elsewhere because of the last attempt; that is no reason to move the object.
  if (aQuery.mTriedTargets.empty()) {
    const std::optional<TargetHash> chosen =
      chooseTarget(aQuery, aUsable, aContext, aNow, aCandidates);
    announcement =
      chosen ? mPlacements.place(object, *chosen, aNow) : mPlacements.renew(object, aNow);
  }
  const std::optional<Placement> placement = mPlacements.find(object);
  for (TargetCandidate& candidate : aCandidates) {
    if (placement && candidate.mTarget->mHash == placement->mTarget.value()) {
      candidate.mRank = std::numeric_limits<double>::infinity();
    }
  }
  return announcement;
}

} // namespace bulrushrun
