#pragma once

#include "bulrushrun/routing/RoutePlan.h"
#include "bulrushrun/steering/QueueLimit.h"

#include <map>
#include <vector>

namespace bulrushrun {

/// \brief Priorities that compete for the targets of each service of one configuration.
///
/// A priority ranks among those of the service's routes and of all customers.
class ServicePriorities
{
public:
  ServicePriorities() = default;
  /// \brief O(routes + customers), so it is made once for each configuration.
  explicit ServicePriorities(const RoutePlan& aPlan);

  /// \brief \returns the rank of a priority at a service. A priority that the configuration does
  /// not contain ranks with the next more urgent one.
  PriorityLevel levelOf(const ServiceName& aService, int aPriority) const;

  /// \brief \returns true when the configuration names customers, who compete at all services.
  bool hasCustomers() const { return mHasCustomers; }

private:
  /// In ascending order, so that the most urgent one is first.
  std::map<ServiceName, std::vector<int>> mPriorities;
  bool mHasCustomers = false;
};

} // namespace bulrushrun
