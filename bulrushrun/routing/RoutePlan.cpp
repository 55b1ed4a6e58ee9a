#include "bulrushrun/routing/RoutePlan.h"

#include <algorithm>
#include <cassert>

namespace bulrushrun {

void RoutePlan::buildIndex()
{
  mRoutesByHost.clear();
  for (std::size_t i = 0; i < mRoutes.size(); ++i) {
    mRoutesByHost[mRoutes[i].mHost].push_back(i);
  }
  for (auto host = mRoutesByHost.begin(); host != mRoutesByHost.end(); ++host) {
    std::stable_sort(
      host->second.begin(), host->second.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return mRoutes[aLeft].mPathPrefix.size() > mRoutes[aRight].mPathPrefix.size();
      });
  }
}

const Route* RoutePlan::match(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(aHost);
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  for (const std::size_t position : host->second) {
    if (aPath.starts_with(mRoutes[position].mPathPrefix)) {
      return &mRoutes[position];
    }
  }
  return nullptr;
}

std::size_t RoutePlan::homeRouteCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mRoutes.begin(), mRoutes.end(), [](const Route& aRoute) {
      return !aRoute.mHomeRegions.empty();
    }));
}

const ServicePolicy* RoutePlan::servicePolicy(const ServiceName& aService) const
{
  const auto found =
    std::find_if(mServices.begin(), mServices.end(), [&](const ServicePolicy& aPolicy) {
      return aPolicy.mName == aService;
    });
  return found == mServices.end() ? nullptr : &*found;
}

const ServiceName& WeightedRoundRobin::next(const std::vector<WeightedService>& aServices)
{
  assert(!aServices.empty() && "a traffic split needs at least one service");
  double totalWeight = 0;
  const WeightedService* chosen = &aServices.front();
  for (const WeightedService& candidate : aServices) {
    totalWeight += candidate.mWeight;
    mCurrentWeights[candidate.mService] += candidate.mWeight;
    if (mCurrentWeights[candidate.mService] > mCurrentWeights[chosen->mService]) {
      chosen = &candidate;
    }
  }
  mCurrentWeights[chosen->mService] -= totalWeight;
  return chosen->mService;
}

} // namespace bulrushrun
