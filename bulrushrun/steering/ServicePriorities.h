#pragma once

#include "bulrushrun/routing/RoutePlan.h"
#include "bulrushrun/steering/QueueLimit.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrushrun {

/// \brief Priorities that compete for the targets of each service of one configuration.
///
/// Admission by priority applies to services whose routes have different priorities, and to all
/// services when the configuration names customers.
class ServicePriorities
{
public:
  ServicePriorities() = default;
  /// \brief O(routes + customers), so it is made once for each configuration.
  explicit ServicePriorities(const RoutePlan& aPlan);

  /// \brief \returns the rank of a priority at a service, or nothing when admission by priority
  /// does not apply there. A priority that the configuration does not contain ranks with the next
  /// more urgent one.
  std::optional<PriorityLevel> levelOf(const ServiceName& aService, int aPriority) const;

  /// \brief \returns true when requests compete by priority at any service.
  bool isCompetitive() const { return mIsCompetitive; }

private:
  /// In ascending order, so that the most urgent one is first.
  std::map<ServiceName, std::vector<int>> mPriorities;
  bool mHasCustomers = false;
  bool mIsCompetitive = false;
};

} // namespace bulrushrun
