#include "bulrushrun/lookup/LookupTable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace bulrushrun {

namespace {

using Json = nlohmann::json;

/// Number of zones named in a response, in order of delay: the serving zone and one fallback.
constexpr std::size_t kMaxZones = 2;

Json instancesOf(const std::vector<ServiceOwner>& aOwners)
{
  Json list = Json::array();
  for (const ServiceOwner& owner : aOwners) {
    list.push_back({ { "id", owner.mInstance.mId.text() },
                     { "address", owner.mInstance.mListen.text() },
                     { "zone", owner.mInstance.mZone.text() },
                     { "weight", owner.mSlots } });
  }
  return list;
}

std::string responseFor(const FleetView& aView, const ServiceKey& aService, const ZoneName& aZone)
{
  const OwnerDirectory::OwnersByZone& owners = aView.mDirectory.owners(aService);
  const std::vector<ZoneName> zones =
    aView.mDirectory.zonesByDelay(*aView.mDocument, aService, aZone);
  Json response{ { "version", aView.mVersion.value() },
                 { "ttl_ms", toMillis(aView.mDocument->mDefaults.mLookupTimeToLive) },
                 { "zone", aZone.text() },
                 { "instances", Json::array() },
                 { "fallback", Json::array() } };
  for (std::size_t i = 0; i < std::min(zones.size(), kMaxZones); ++i) {
    response[i == 0 ? "instances" : "fallback"] = instancesOf(owners.at(zones[i]));
  }
  return response.dump();
}

std::vector<std::string> splitPath(std::string_view aPath)
{
  std::vector<std::string> segments{ "" };
  for (const char c : aPath) {
    if (c == '/') {
      segments.emplace_back();
    } else {
      segments.back().push_back(c);
    }
  }
  return segments;
}

} // namespace

LookupTable::LookupTable(const FleetView& aView)
{
  for (const Tenant& tenant : aView.mDocument->mTenants) {
    for (const Service& service : tenant.mServices) {
      const ServiceKey key{ tenant.mName, service.mName };
      const std::string prefix =
        std::string(kLookupPrefix) + tenant.mName.text() + "/" + service.mName.text() + "/";
      for (const Region& region : aView.mDocument->mRegions) {
        for (const ZoneName& zone : region.mZones) {
          mResponses.emplace(prefix + zone.text(), responseFor(aView, key, zone));
        }
      }
    }
  }
}

std::string lookupErrorMessage(const Document& aDocument, std::string_view aPath)
{
  const std::vector<std::string> segments = splitPath(aPath.substr(kLookupPrefix.size()));
  if (segments.size() != 3) {
    return "lookup path must be /v1/lookup/TENANT/SERVICE/ZONE";
  }
  const TenantName tenant{ segments[0] };
  if (aDocument.tenant(tenant) == nullptr) {
    return "unknown tenant '" + segments[0] + "'";
  }
  if (aDocument.service({ tenant, ServiceName{ segments[1] } }) == nullptr) {
    return "unknown service '" + segments[1] + "' of tenant '" + segments[0] + "'";
  }
  return "unknown zone '" + segments[2] + "'";
}

} // namespace bulrushrun
