#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief \returns a name as a field of a log line: in quotes if it has spaces or letters beyond
/// ASCII.
std::string logText(const CustomerName& aName);

/// \brief Limit on the requests of one customer, over all instances together.
struct CustomerQuota
{
  /// Requests per second; 0 for no limit.
  double mRatePerSecond = 0;
  /// Requests that may exceed the rate at once.
  double mBurst = 0;

  bool isLimited() const { return mRatePerSecond > 0; }
};

/// \brief One customer of the configuration.
struct Customer
{
  CustomerName mName;
  /// Takes precedence over the route's priority; 0 is the highest.
  std::optional<int> mPriority;
  CustomerQuota mQuota;
  /// Regions in which requests may be served; empty for all regions.
  std::vector<RegionName> mHomeRegions;
};

} // namespace bulrushrun
