#include "bulrushrun/configuration/Document.h"

#include <algorithm>

namespace bulrushrun {

const RequestClass* Service::requestClass(const ClassName& aName) const
{
  if (aName.empty() && !mClasses.empty()) {
    return &mClasses.front();
  }
  const auto found =
    std::find_if(mClasses.begin(), mClasses.end(), [&](const RequestClass& aClass) {
      return aClass.mName == aName;
    });
  return found == mClasses.end() ? nullptr : &*found;
}

const Region* Document::regionOf(const ZoneName& aZone) const
{
  const auto found = std::find_if(mRegions.begin(), mRegions.end(), [&](const Region& aRegion) {
    return std::find(aRegion.mZones.begin(), aRegion.mZones.end(), aZone) != aRegion.mZones.end();
  });
  return found == mRegions.end() ? nullptr : &*found;
}

const Tenant* Document::tenant(const TenantName& aTenant) const
{
  const auto found = std::find_if(mTenants.begin(), mTenants.end(), [&](const Tenant& aCandidate) {
    return aCandidate.mName == aTenant;
  });
  return found == mTenants.end() ? nullptr : &*found;
}

const Service* Document::service(const ServiceKey& aKey) const
{
  const Tenant* owner = tenant(aKey.mTenant);
  if (owner == nullptr) {
    return nullptr;
  }
  const auto found =
    std::find_if(owner->mServices.begin(), owner->mServices.end(), [&](const Service& aCandidate) {
      return aCandidate.mName == aKey.mService;
    });
  return found == owner->mServices.end() ? nullptr : &*found;
}

Link Document::linkBetween(const RegionName& aFirst, const RegionName& aSecond) const
{
  for (const Link& link : mLinks) {
    const bool forward = link.mFirst == aFirst && link.mSecond == aSecond;
    const bool backward = link.mFirst == aSecond && link.mSecond == aFirst;
    if (forward || backward) {
      return link;
    }
  }
  return { aFirst, aSecond, mLinkDefaults.mCapacity, mLinkDefaults.mDelay };
}

Duration Document::delayBetween(const ZoneName& aFirst, const ZoneName& aSecond) const
{
  if (aFirst == aSecond) {
    return Duration{ 0 };
  }
  const Region* first = regionOf(aFirst);
  const Region* second = regionOf(aSecond);
  if (first == second || first == nullptr || second == nullptr) {
    return mDefaults.mZoneDelay;
  }
  return linkBetween(first->mName, second->mName).mDelay;
}

bool Document::isLeaving(const TargetSpec& aTarget, UnixSeconds aNow) const
{
  return std::any_of(mExceptions.begin(), mExceptions.end(), [&](const ExceptionRule& aException) {
    const bool matches = aException.mTarget == aTarget.mId || aException.mZone == aTarget.mZone;
    return aException.mLeaving && matches && aException.isInForce(aNow);
  });
}

} // namespace bulrushrun
