#include "bulrushrun/routing/Ownership.h"

#include "bulrushrun/routing/Rendezvous.h"

#include <map>

namespace bulrushrun {

namespace {

using InstancesByZone = std::map<ZoneName, std::vector<LiveInstance>>;

InstancesByZone groupByZone(const std::vector<LiveInstance>& aInstances)
{
  InstancesByZone groups;
  for (const LiveInstance& instance : aInstances) {
    groups[instance.mZone].push_back(instance);
  }
  return groups;
}

/// \returns the live instances of the region that contains the zone.
std::vector<LiveInstance> liveInstancesOfRegion(const Document& aDocument,
                                                const InstancesByZone& aByZone,
                                                const ZoneName& aZone)
{
  std::vector<LiveInstance> found;
  const Region* region = aDocument.regionOf(aZone);
  if (region == nullptr) {
    return found;
  }
  for (const ZoneName& zone : region->mZones) {
    const auto group = aByZone.find(zone);
    if (group != aByZone.end()) {
      found.insert(found.end(), group->second.begin(), group->second.end());
    }
  }
  return found;
}

const LiveInstance* winner(const TargetId& aTarget, const std::vector<LiveInstance>& aInstances)
{
  return rendezvousWinner(
    hashText(aTarget.text()),
    aInstances,
    [](const LiveInstance&) { return 1.0; },
    [](const LiveInstance& aInstance) { return hashText(aInstance.mId.text()); });
}

} // namespace

Ownership::Ownership(const Document& aDocument, const std::vector<LiveInstance>& aInstances)
{
  const InstancesByZone byZone = groupByZone(aInstances);
  for (const Tenant& tenant : aDocument.mTenants) {
    for (const Service& service : tenant.mServices) {
      for (const TargetSpec& target : service.mTargets) {
        const auto home = byZone.find(target.mZone);
        const bool inOtherZone = home == byZone.end();
        const std::vector<LiveInstance> candidates =
          inOtherZone ? liveInstancesOfRegion(aDocument, byZone, target.mZone) : home->second;
        const LiveInstance* owner = winner(target.mId, candidates);
        if (owner != nullptr) {
          mOwners.emplace(target.mId, Owner{ owner->mId, inOtherZone });
        }
      }
    }
  }
}

const Owner* Ownership::ownerOf(const TargetId& aTarget) const
{
  const auto found = mOwners.find(aTarget);
  return found == mOwners.end() ? nullptr : &found->second;
}

} // namespace bulrushrun
