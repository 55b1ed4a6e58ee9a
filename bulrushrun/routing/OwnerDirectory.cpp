#include "bulrushrun/routing/OwnerDirectory.h"

#include <algorithm>

namespace bulrushrun {

namespace {

void addSlots(std::vector<ServiceOwner>& aOwners,
              const LiveInstance& aInstance,
              const TargetSpec& aTarget)
{
  const auto found = std::find_if(aOwners.begin(), aOwners.end(), [&](const ServiceOwner& aOwner) {
    return aOwner.mInstance.mId == aInstance.mId;
  });
  if (found == aOwners.end()) {
    aOwners.push_back({ aInstance, aTarget.mZone, aTarget.mSlots });
  } else {
    found->mSlots += aTarget.mSlots;
  }
}

} // namespace

OwnerDirectory::OwnerDirectory(const Document& aDocument,
                               const std::vector<LiveInstance>& aInstances,
                               const Ownership& aOwnership)
{
  std::unordered_map<InstanceId, const LiveInstance*> instancesById;
  for (const LiveInstance& instance : aInstances) {
    instancesById.emplace(instance.mId, &instance);
  }
  for (const Tenant& tenant : aDocument.mTenants) {
    for (const Service& service : tenant.mServices) {
      OwnersByZone& owners = mOwners[{ tenant.mName, service.mName }];
      for (const TargetSpec& target : service.mTargets) {
        const Owner* owner = aOwnership.ownerOf(target.mId);
        if (owner != nullptr) {
          addSlots(owners[target.mZone], *instancesById.at(owner->mInstance), target);
        }
      }
    }
  }
}

const OwnerDirectory::OwnersByZone& OwnerDirectory::owners(const ServiceKey& aService) const
{
  static const OwnersByZone kNone;
  const auto found = mOwners.find(aService);
  return found == mOwners.end() ? kNone : found->second;
}

std::vector<ZoneName> OwnerDirectory::zonesByDelay(const Document& aDocument,
                                                   const ServiceKey& aService,
                                                   const ZoneName& aFrom) const
{
  std::vector<ZoneName> zones;
  for (const auto& [zone, list] : owners(aService)) {
    zones.push_back(zone);
  }
  std::stable_sort(zones.begin(), zones.end(), [&](const ZoneName& aLeft, const ZoneName& aRight) {
    return aDocument.delayBetween(aFrom, aLeft) < aDocument.delayBetween(aFrom, aRight);
  });
  return zones;
}

} // namespace bulrushrun
