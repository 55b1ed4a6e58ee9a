#pragma once

#include "bulrushrun/configuration/ExceptionRule.h"
#include "bulrushrun/configuration/Link.h"
#include "bulrushrun/configuration/Service.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Region and the availability zones in it.
struct Region
{
  RegionName mName;
  std::vector<ZoneName> mZones;
};

/// \brief Tenant and its services.
struct Tenant
{
  TenantName mName;
  std::vector<Service> mServices;
};

/// \brief Settings of the whole fleet.
struct Defaults
{
  Duration mLookupTimeToLive = kLookupTimeToLive;
  /// Allowed retries, as a share of the first attempts of the same service.
  double mRetryBudget = 0.1;
  /// How long a claim is kept in the platform's table.
  UnixSeconds mClaimRetention{ 7 * 24 * 3600 };
  /// Longest time after which a caller may still send a duplicate of a request.
  UnixSeconds mRepeatWindow{ 24 * 3600 };
  /// One-way delay between zones of one region.
  Duration mZoneDelay{ 1500 };
  /// Largest growth per second of the share of a pool's slots that serves other regions.
  double mShiftCapPerSecond = 0.05;
  /// Largest share of a pool's slots that may serve other regions.
  double mShiftCapTotal = 0.5;
  /// Largest share of a service's targets that may be ejected at once.
  double mEjectionCap = 0.34;
};

/// \brief One configuration: settings of the fleet, its regions, tenants and exception rules.
///
/// Immutable once accepted; identified by its version and content hash.
struct Document
{
  Defaults mDefaults;
  std::vector<Region> mRegions;
  LinkDefaults mLinkDefaults;
  std::vector<Link> mLinks;
  std::vector<Tenant> mTenants;
  std::vector<ExceptionRule> mExceptions;

  /// \brief \returns the region of a zone, or nullptr.
  const Region* regionOf(const ZoneName& aZone) const;
  /// \brief \returns the tenant, or nullptr.
  const Tenant* tenant(const TenantName& aTenant) const;
  /// \brief \returns the service of a tenant, or nullptr.
  const Service* service(const ServiceKey& aKey) const;
  /// \brief \returns the link between two regions; the defaults where none is listed.
  Link linkBetween(const RegionName& aFirst, const RegionName& aSecond) const;
  /// \brief \returns the one-way delay between two zones.
  Duration delayBetween(const ZoneName& aFirst, const ZoneName& aSecond) const;
  /// \brief \returns true when an unexpired exception rule marks the target or its zone as leaving.
  bool isLeaving(const TargetSpec& aTarget, UnixSeconds aNow) const;
};

} // namespace bulrushrun
