#pragma once

#include "bulrushrun/discovery/TargetTable.h"
#include "bulrushrun/routing/ZoneMap.h"

#include <map>
#include <vector>

namespace bulrushrun {

/// \brief Weight of each region's slots when the home of an object is chosen, seen from one region.
///
/// Objects are asked for from one region each, and the regions ask about alike. Objects of the own
/// region stay there as far as its slots reach for its part of the load; the rest goes to the other
/// regions in proportion to the slots that they have beyond their own part. So all slots carry the
/// same load, and no more crosses regions than has to. Pure.
class RegionWeights
{
public:
  /// \param aTargets  targets that may be used, of one service
  RegionWeights(const ZoneMap& aZones, const std::vector<const KnownTarget*>& aTargets);

  /// \brief \returns the weight of one slot in a region.
  double weight(const RegionName& aRegion) const;

private:
  /// Weight of a slot in the own region when that carries all of its load: others come behind it.
  static constexpr double kOwnFirst = 1e6;
  /// Weight of a slot in a region that has none to spare: behind those that have some.
  static constexpr double kNoneToSpare = 1e-6;

  std::map<RegionName, double> mWeights;
};

} // namespace bulrushrun
