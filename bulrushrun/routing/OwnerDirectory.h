#pragma once

#include "bulrushrun/routing/Ownership.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Instance that owns targets of a service in one zone, with the total slots of those
/// targets.
struct ServiceOwner
{
  LiveInstance mInstance;
  /// Zone of the targets; differs from the instance's zone when that zone has no live instance.
  ZoneName mTargetZone;
  int mSlots = 0;
};

/// \brief Index of the instances that own the targets of each service, by zone.
class OwnerDirectory
{
public:
  using OwnersByZone = std::map<ZoneName, std::vector<ServiceOwner>>;

  OwnerDirectory() = default;
  OwnerDirectory(const Document& aDocument,
                 const std::vector<LiveInstance>& aInstances,
                 const Ownership& aOwnership);

  /// \brief \returns the owners of a service by zone; empty for an unknown service.
  const OwnersByZone& owners(const ServiceKey& aService) const;

  /// \brief \returns the zones that have owners of a service, in order of delay from \a aFrom.
  std::vector<ZoneName> zonesByDelay(const Document& aDocument,
                                     const ServiceKey& aService,
                                     const ZoneName& aFrom) const;

private:
  std::unordered_map<ServiceKey, OwnersByZone> mOwners;
};

} // namespace bulrushrun
