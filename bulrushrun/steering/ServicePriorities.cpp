#include "bulrushrun/steering/ServicePriorities.h"

#include <algorithm>
#include <set>

namespace bulrushrun {

ServicePriorities::ServicePriorities(const RoutePlan& aPlan)
  : mHasCustomers(aPlan.mCustomers.has_value())
{
  std::set<int> ofCustomers;
  if (aPlan.mCustomers) {
    for (const Customer& customer : aPlan.mCustomers->customers()) {
      if (customer.mPriority) {
        ofCustomers.insert(*customer.mPriority);
      }
    }
  }
  std::map<ServiceName, std::set<int>> priorities;
  for (const Route& route : aPlan.mRoutes) {
    for (const WeightedService& service : route.mServices) {
      std::set<int>& ofService = priorities[service.mService];
      ofService.insert(route.mPriority);
      ofService.insert(ofCustomers.begin(), ofCustomers.end());
    }
  }
  for (const auto& [service, ofService] : priorities) {
    mPriorities[service] = { ofService.begin(), ofService.end() };
  }
}

PriorityLevel ServicePriorities::levelOf(const ServiceName& aService, int aPriority) const
{
  const auto found = mPriorities.find(aService);
  if (found == mPriorities.end()) {
    return {};
  }
  const std::vector<int>& priorities = found->second;
  const auto next = std::upper_bound(priorities.begin(), priorities.end(), aPriority);
  const int level = static_cast<int>(next - priorities.begin()) - 1;
  return PriorityLevel{ std::max(level, 0), static_cast<int>(priorities.size()) };
}

} // namespace bulrushrun
