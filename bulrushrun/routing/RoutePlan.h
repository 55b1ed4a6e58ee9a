#pragma once

#include "bulrushrun/core.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief One part of a weighted split.
struct WeightedService
{
  ServiceName mService;
  double mWeight = 1;
};

/// \brief One route: which requests it takes, where they go, what may be done with them.
struct Route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  /// It may run more than once.
  bool mIdempotent = false;
  /// Its answers are large.
  bool mLargeAnswers = false;
  /// Longest time for which a request may be kept waiting.
  Duration mTimeout = std::chrono::seconds(10);
  /// Time within which an answer counts fully.
  Duration mLatencyTarget = std::chrono::seconds(1);
  /// Rank; 0 is the highest.
  int mPriority = 0;
  /// Most targets that one request may be sent to.
  int mMaxAttempts = 1;
  /// A target that handled an object recently handles it faster.
  bool mSticky = false;
  /// Services with their weights; at least one.
  std::vector<WeightedService> mServices;
  /// Regions in which it may be served; empty for all.
  std::vector<RegionName> mHomeRegions;
};

/// \brief Terms of one service.
struct ServicePolicy
{
  ServiceName mName;
  std::string mHealthPath;
  int mMaxConnections = 0;
  /// Time after its start for which a target is cold.
  Duration mColdStartDuration{ 0 };
  /// Requests a second that a cold target tolerates.
  double mColdRequestsPerSecond = 0;
};

/// \brief Bounds on what a caller may send. Zero stands for no bound.
struct CallerLimits
{
  std::size_t mHeaderBytes = 0;
  std::size_t mBodyBytes = 0;
  Duration mHeaderTimeout{ 0 };
  Duration mIdleTimeout{ 0 };
};

/// \brief Configuration in full: routes, services and limits, under one version.
struct RoutePlan
{
  ConfigurationVersion mVersion;
  std::vector<Route> mRoutes;
  std::vector<ServicePolicy> mServices;
  CallerLimits mLimits;

  /// \brief Orders the routes for match(); to be called once after the routes are complete.
  void buildIndex();
  /// \brief \returns the route of the host with the longest prefix that begins the path, or
  /// nullptr. O(log hosts + routes of the host).
  const Route* match(std::string_view aHost, std::string_view aPath) const;
  /// \brief \returns the terms of a service, or nullptr.
  const ServicePolicy* servicePolicy(const ServiceName& aService) const;

private:
  /// Positions of the routes of each host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> mByHost;
};

/// \brief Deals requests out to the parts of a split in proportion to their weights (smooth
/// weighted round robin), so that any run of requests is close to the proportions.
class WeightedRoundRobin
{
public:
  /// \brief \returns the part that takes the next request; \a aServices must not be empty.
  const ServiceName& next(const std::vector<WeightedService>& aServices);

private:
  std::map<ServiceName, double> mCredit;
};

} // namespace bulrushrun
