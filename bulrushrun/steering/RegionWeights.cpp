#include "bulrushrun/steering/RegionWeights.h"

#include <algorithm>

namespace bulrushrun {

RegionWeights::RegionWeights(const ZoneMap& aZones, const std::vector<const KnownTarget*>& aTargets)
{
  std::map<RegionName, double> slots;
  double all = 0;
  for (const KnownTarget* target : aTargets) {
    slots[aZones.regionOf(target->mEntry.mZone)] += target->mEntry.mSlots;
    all += target->mEntry.mSlots;
  }
  const RegionName& own = aZones.regionOf(aZones.own());
  const double part = all / static_cast<double>(std::max<std::size_t>(aZones.regionCount(), 1));
  double spare = 0;
  for (const auto& [region, count] : slots) {
    const double beyond = region == own ? 0 : std::max(0.0, count - part);
    mWeights[region] = std::max(beyond / count, kNoneToSpare);
    spare += mWeights[region] * (region == own ? 0 : count);
  }
  const auto home = slots.find(own);
  if (home != slots.end()) {
    const double stay = std::min(1.0, home->second / part);
    const double weight = stay < 1 ? stay / (1 - stay) * spare / home->second : kOwnFirst;
    mWeights[own] = std::min(weight, kOwnFirst);
  }
}

double RegionWeights::weight(const RegionName& aRegion) const
{
  const auto found = mWeights.find(aRegion);
  return found == mWeights.end() ? kNoneToSpare : found->second;
}

} // namespace bulrushrun
