#pragma once

#include "bulrushrun/core.h"

#include <map>
#include <set>
#include <utility>

namespace bulrushrun {

/// \brief Distance of a zone from this instance's zone.
enum class Distance
{
  SameZone,
  SameRegion,
  OtherRegion,
};

/// \brief Zones and regions of the deployment, with distances relative to one zone.
class ZoneTopology
{
public:
  ZoneTopology() = default;
  ZoneTopology(ZoneName aOwn, std::map<ZoneName, RegionName> aRegions)
    : mOwn(std::move(aOwn))
    , mRegions(std::move(aRegions))
  {
    std::set<RegionName> names;
    for (const auto& [zone, region] : mRegions) {
      names.insert(region);
    }
    mRegionCount = names.size();
  }

  const ZoneName& own() const { return mOwn; }
  /// \brief \returns the region of a zone, or an empty name when the zone is unknown.
  const RegionName& regionOf(const ZoneName& aZone) const
  {
    static const RegionName kUnknown;
    const auto found = mRegions.find(aZone);
    return found == mRegions.end() ? kUnknown : found->second;
  }
  bool knows(const ZoneName& aZone) const { return mRegions.contains(aZone); }
  Distance distance(const ZoneName& aZone) const
  {
    if (aZone == mOwn) {
      return Distance::SameZone;
    }
    return regionOf(aZone) == regionOf(mOwn) ? Distance::SameRegion : Distance::OtherRegion;
  }
  std::size_t regionCount() const { return mRegionCount; }
  std::size_t zoneCount() const { return mRegions.size(); }

private:
  ZoneName mOwn;
  std::map<ZoneName, RegionName> mRegions;
  std::size_t mRegionCount = 0;
};

} // namespace bulrushrun
