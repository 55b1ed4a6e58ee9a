#include "bulrushrun/placement/PlacementPolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bulrushrun {

namespace {

/// Objects that a target may hold, as a multiple of its share.
constexpr double kMaxShareFactor = 1.1;
/// An object moves when its target would still hold this many times as many objects a slot as the
/// other one afterwards.
constexpr double kReliefFactor = 2.0;

/// \returns how many objects a target with this share may hold.
double maxObjects(double aShare)
{
  return std::ceil(kMaxShareFactor * aShare);
}

double objectsPerSlot(const PlacementTable& aTable,
                      const PlacementCandidate& aCandidate,
                      std::size_t aAdditional)
{
  return static_cast<double>(aTable.objectsAt(aCandidate.mTarget) + aAdditional) /
         aCandidate.mSlots;
}

} // namespace

std::optional<TargetHash> choosePlacement(const PlacementTable& aTable,
                                          const std::vector<PlacementCandidate>& aCandidates)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  double objects = 1;
  double slots = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    objects += static_cast<double>(aTable.objectsAt(candidate.mTarget));
    slots += candidate.mSlots;
  }
  const auto isFull = [&](const PlacementCandidate& aCandidate) {
    const double share = objects * aCandidate.mSlots / slots;
    return static_cast<double>(aTable.objectsAt(aCandidate.mTarget)) + 1 > maxObjects(share);
  };
  const auto preferred = [&](const PlacementCandidate& aLeft, const PlacementCandidate& aRight) {
    return std::make_tuple(isFull(aLeft), aLeft.mDistance, -aLeft.mRank) <
           std::make_tuple(isFull(aRight), aRight.mDistance, -aRight.mRank);
  };
  return std::min_element(aCandidates.begin(), aCandidates.end(), preferred)->mTarget;
}

std::optional<TargetHash> chooseRelief(const PlacementTable& aTable,
                                       const PlacementCandidate& aKeeper,
                                       const std::vector<PlacementCandidate>& aCandidates)
{
  const auto least =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const PlacementCandidate& aLeft, const PlacementCandidate& aRight) {
                       return objectsPerSlot(aTable, aLeft, 0) < objectsPerSlot(aTable, aRight, 0);
                     });
  if (least == aCandidates.end() || least->mTarget == aKeeper.mTarget) {
    return std::nullopt;
  }
  const bool relieves = objectsPerSlot(aTable, aKeeper, 0) - 1.0 / aKeeper.mSlots >=
                        kReliefFactor * objectsPerSlot(aTable, *least, 1);
  return relieves ? std::optional{ least->mTarget } : std::nullopt;
}

std::optional<TargetHash> chooseRebalance(const PlacementTable& aTable,
                                          const PlacementCandidate& aKeeper,
                                          const std::vector<PlacementCandidate>& aCandidates)
{
  double objects = 0;
  double slots = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    objects += static_cast<double>(aTable.objectsAt(candidate.mTarget));
    slots += candidate.mSlots;
  }
  const auto share = [&](const PlacementCandidate& aCandidate) {
    return objects * aCandidate.mSlots / slots;
  };
  const auto held = [&](const PlacementCandidate& aCandidate) {
    return static_cast<double>(aTable.objectsAt(aCandidate.mTarget));
  };
  const PlacementCandidate* best = nullptr;
  for (const PlacementCandidate& candidate : aCandidates) {
    const bool hasRoom = held(candidate) + 1 <= share(candidate);
    if (hasRoom && (best == nullptr || std::make_tuple(candidate.mDistance, -candidate.mRank) <
                                         std::make_tuple(best->mDistance, -best->mRank))) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool returns =
    aKeeper.mDistance == Distance::OtherRegion && best->mDistance != Distance::OtherRegion;
  const bool isOverfull = held(aKeeper) > maxObjects(share(aKeeper));
  return returns || isOverfull ? std::optional{ best->mTarget } : std::nullopt;
}

} // namespace bulrushrun
