#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/customers.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief A service and its weight in a weighted traffic split.
struct WeightedService
{
  ServiceName mService;
  double mWeight = 1;
};

/// \brief A route: the requests it matches, the services that receive them, and how they may be
/// handled.
struct Route
{
  std::string mName;
  std::string mHost;
  /// Starts and ends with a slash.
  std::string mPathPrefix;
  /// Requests may be executed more than once.
  bool mIdempotent = false;
  /// Responses are expected to be large.
  bool mLargeResponses = false;
  /// Maximum time for which a request may wait.
  Duration mTimeout = std::chrono::seconds(10);
  /// Response time within which a response counts fully.
  Duration mLatencyTarget = std::chrono::seconds(1);
  /// Priority; 0 is the highest.
  int mPriority = 0;
  /// Maximum number of targets that one request may be sent to.
  int mMaxAttempts = 1;
  /// Session affinity: a target that recently served an affinity key serves it faster.
  bool mSticky = false;
  /// Services of the traffic split with their weights; at least one.
  std::vector<WeightedService> mServices;
  /// Regions in which requests may be served; empty for all regions.
  std::vector<RegionName> mHomeRegions;
  /// Requests need no key, even where the plan names customers.
  bool mAnonymous = false;
};

/// \brief Limits and health check path of one service.
struct ServicePolicy
{
  ServiceName mName;
  std::string mHealthPath;
  int mMaxConnections = 0;
  /// Duration after its start during which a target is cold.
  Duration mColdStartDuration{ 0 };
  /// Requests per second that a cold target tolerates.
  double mColdRequestsPerSecond = 0;
};

/// \brief Limits on callers' requests and connections. Zero means no limit.
struct CallerLimits
{
  std::size_t mHeaderBytes = 0;
  std::size_t mBodyBytes = 0;
  Duration mHeaderTimeout{ 0 };
  Duration mIdleTimeout{ 0 };
};

/// \brief Complete routing configuration of one version: routes, service policies and caller
/// limits.
struct RoutePlan
{
  ConfigurationVersion mVersion;
  std::vector<Route> mRoutes;
  std::vector<ServicePolicy> mServices;
  CallerLimits mLimits;
  /// Customers and their keys; absent when the configuration does not authenticate callers.
  std::optional<CustomerDirectory> mCustomers;

  /// \brief Builds the index that match() uses; call once after all routes have been added.
  void buildIndex();
  /// \brief \returns the route of the host with the longest matching path prefix, or nullptr.
  /// O(log hosts + routes of the host).
  const Route* match(std::string_view aHost, std::string_view aPath) const;
  /// \brief \returns the number of routes that are restricted to home regions.
  std::size_t homeRouteCount() const;
  /// \brief \returns the policy of a service, or nullptr.
  const ServicePolicy* servicePolicy(const ServiceName& aService) const;

private:
  /// Indices into mRoutes for each host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> mRoutesByHost;
};

/// \brief Distributes requests over the services of a traffic split in proportion to their
/// weights.
///
/// Smooth weighted round robin: any sequence of consecutive requests is close to the proportions.
class WeightedRoundRobin
{
public:
  /// \brief \returns the service for the next request; \a aServices must not be empty.
  const ServiceName& next(const std::vector<WeightedService>& aServices);

private:
  std::map<ServiceName, double> mCurrentWeights;
};

} // namespace bulrushrun
