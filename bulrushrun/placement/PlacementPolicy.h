#pragma once

#include "bulrushrun/placement/PlacementTable.h"
#include "bulrushrun/routing/ZoneTopology.h"

#include <optional>
#include <vector>

namespace bulrushrun {

/// \brief Target that may keep an object.
struct PlacementCandidate
{
  TargetHash mTarget;
  int mSlots = 1;
  Distance mDistance = Distance::OtherRegion;
  /// Position in the object's own order of targets; higher values come first.
  double mRank = 0;
};

/// \brief Chooses the target of an object at its first sight: consistent hashing with bounded
/// loads, the own zone first, then the own region.
///
/// A target takes objects while it holds no more than a fixed factor of its share of all objects
/// placed at the candidates, so that no target queues while others are free. Among targets below
/// that bound, the nearest come first, then the object's own order decides.
/// \returns the chosen target, or nothing when there are no candidates
std::optional<TargetHash> choosePlacement(const PlacementTable& aTable,
                                          const std::vector<PlacementCandidate>& aCandidates);

/// \brief \returns the target to which an object should move because the target that keeps it holds
/// several times as many objects a slot as another one; usually nothing.
std::optional<TargetHash> chooseRelief(const PlacementTable& aTable,
                                       const PlacementCandidate& aKeeper,
                                       const std::vector<PlacementCandidate>& aCandidates);

/// \brief \returns the target to which an object should move because its callers' region has room
/// again, or because the target that keeps it holds more than it may, as after an outage of
/// others; usually nothing. Targets are filled up to their share, no further.
std::optional<TargetHash> chooseRebalance(const PlacementTable& aTable,
                                          const PlacementCandidate& aKeeper,
                                          const std::vector<PlacementCandidate>& aCandidates);

} // namespace bulrushrun
