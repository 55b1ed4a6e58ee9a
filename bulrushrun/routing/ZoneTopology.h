#pragma once

#include "bulrushrun/core.h"

#include <cstddef>
#include <iterator>
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
  static constexpr int kUnknownRegion = -1;

  /// \brief Where a zone is.
  struct Location
  {
    Distance mDistance = Distance::OtherRegion;
    /// Number that is the same for all zones of a region.
    int mRegion = kUnknownRegion;
  };

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
    for (const auto& [zone, region] : mRegions) {
      mLocations[zone] = { distance(zone),
                           static_cast<int>(std::distance(names.begin(), names.find(region))) };
    }
  }

  const ZoneName& own() const { return mOwn; }
  /// \brief \returns the region of a zone, or an empty name when the zone is unknown.
  const RegionName& regionOf(const ZoneName& aZone) const
  {
    static const RegionName kUnknown;
    const auto found = mRegions.find(aZone);
    return found == mRegions.end() ? kUnknown : found->second;
  }
  /// \brief \returns a number that is the same for all zones of a region; kUnknownRegion for an
  /// unknown zone.
  int regionIndex(const ZoneName& aZone) const { return locate(aZone).mRegion; }
  /// \brief \returns distance and region of a zone with a single lookup.
  Location locate(const ZoneName& aZone) const
  {
    const auto found = mLocations.find(aZone);
    return found == mLocations.end() ? Location{} : found->second;
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
  std::map<ZoneName, Location> mLocations;
  std::size_t mRegionCount = 0;
};

} // namespace bulrushrun
