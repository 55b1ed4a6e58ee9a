#include "bulrushrun/steering/ObjectPlacer.h"

#include <algorithm>
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

} // namespace

std::optional<TargetHash> ObjectPlacer::chooseTarget(
  const PickQuery& aQuery,
  const std::vector<const KnownTarget*>& aUsable,
  const ZoneName& aOwnZone,
  TimePoint aNow,
  const std::vector<TargetCandidate>& aCandidates) const
{
  const std::optional<Placement> known = mPlacements.find(ObjectKey{ aQuery.mAffinityKey });
  const bool isRegistered =
    known && std::any_of(aUsable.begin(), aUsable.end(), [&](const KnownTarget* aTarget) {
      return aTarget->mHash == known->mTarget.value();
    });
  if (!isRegistered) {
    return choosePlacement(
      mPlacements, placementCandidates(aCandidates, aOwnZone, aQuery.mColdStartDuration, aNow));
  }
  const auto keeper =
    std::find_if(aCandidates.begin(), aCandidates.end(), [&](const TargetCandidate& aCandidate) {
      return aCandidate.mTarget->mHash == known->mTarget.value();
    });
  const bool isBusy =
    keeper != aCandidates.end() && keeper->mLoad + 1 > keeper->mTarget->mEntry.mSlots;
  if (!isBusy) {
    return std::nullopt;
  }
  return chooseRelief(mPlacements,
                      toPlacementCandidate(*keeper),
                      placementCandidates(aCandidates, aOwnZone, aQuery.mColdStartDuration, aNow));
}

std::optional<Placement> ObjectPlacer::place(const PickQuery& aQuery,
                                             const std::vector<const KnownTarget*>& aUsable,
                                             const ZoneName& aOwnZone,
                                             TimePoint aNow,
                                             std::vector<TargetCandidate>& aCandidates)
{
  const ObjectKey object{ aQuery.mAffinityKey };
  std::optional<Placement> announcement;
  // A retry goes elsewhere because of the last attempt; that is no reason to move the object.
  if (aQuery.mTriedTargets.empty()) {
    const std::optional<TargetHash> chosen =
      chooseTarget(aQuery, aUsable, aOwnZone, aNow, aCandidates);
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
