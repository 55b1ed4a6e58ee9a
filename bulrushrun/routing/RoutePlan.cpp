#include "bulrushrun/routing/RoutePlan.h"

#include <algorithm>
#include <cassert>

namespace bulrushrun {

void RoutePlan::buildIndex()
{
  mByHost.clear();
  for (std::size_t i = 0; i < mRoutes.size(); ++i) {
    mByHost[mRoutes[i].mHost].push_back(i);
  }
  for (auto host = mByHost.begin(); host != mByHost.end(); ++host) {
    std::stable_sort(
      host->second.begin(), host->second.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return mRoutes[aLeft].mPathPrefix.size() > mRoutes[aRight].mPathPrefix.size();
      });
  }
}

const Route* RoutePlan::match(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mByHost.find(aHost);
  if (host == mByHost.end()) {
    return nullptr;
  }
  for (const std::size_t position : host->second) {
    if (aPath.starts_with(mRoutes[position].mPathPrefix)) {
      return &mRoutes[position];
    }
  }
  return nullptr;
}

const ServicePolicy* RoutePlan::servicePolicy(const ServiceName& aService) const
{
  const auto found =
    std::find_if(mServices.begin(), mServices.end(), [&](const ServicePolicy& aTerms) {
      return aTerms.mName == aService;
    });
  return found == mServices.end() ? nullptr : &*found;
}

const ServiceName& WeightedRoundRobin::next(const std::vector<WeightedService>& aServices)
{
  assert(!aServices.empty() && "a split has at least one part");
  double total = 0;
  const WeightedService* chosen = &aServices.front();
  for (const WeightedService& part : aServices) {
    total += part.mWeight;
    mCredit[part.mService] += part.mWeight;
    if (mCredit[part.mService] > mCredit[chosen->mService]) {
      chosen = &part;
    }
  }
  mCredit[chosen->mService] -= total;
  return chosen->mService;
}

} // namespace bulrushrun
