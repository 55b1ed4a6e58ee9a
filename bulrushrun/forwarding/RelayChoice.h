#pragma once

#include "bulrushrun/routing/FleetView.h"

#include <optional>
#include <set>

namespace bulrushrun {

/// \brief Chooses the instance that a request is relayed to.
///
/// Takes the nearest zone with an untried owner of the service; within it, picks an owner at
/// random, weighted by the slots that it owns.
///
/// \param aSelf  this instance, which is never chosen
/// \returns nothing when all owners were tried
inline std::optional<ServiceOwner> chooseRelay(const FleetView& aView,
                                               const ServiceKey& aService,
                                               const ZoneName& aFrom,
                                               const InstanceId& aSelf,
                                               const std::set<InstanceId>& aTried,
                                               Random& aRandom)
{
  const OwnerDirectory::OwnersByZone& owners = aView.mDirectory.owners(aService);
  for (const ZoneName& zone : aView.mDirectory.zonesByDelay(*aView.mDocument, aService, aFrom)) {
    std::vector<const ServiceOwner*> candidates;
    std::uint64_t slots = 0;
    for (const ServiceOwner& owner : owners.at(zone)) {
      const InstanceId& id = owner.mInstance.mId;
      if (id != aSelf && !aTried.contains(id)) {
        candidates.push_back(&owner);
        slots += static_cast<std::uint64_t>(owner.mSlots);
      }
    }
    if (candidates.empty()) {
      continue;
    }
    std::uint64_t pick = aRandom.below(slots);
    for (const ServiceOwner* candidate : candidates) {
      const std::uint64_t share = static_cast<std::uint64_t>(candidate->mSlots);
      if (pick < share) {
        return *candidate;
      }
      pick -= share;
    }
  }
  return std::nullopt;
}

} // namespace bulrushrun
