#include "bulrushrun/membership/ReplicationRoles.h"

#include <algorithm>
#include <set>

namespace bulrushrun {

bool ReplicationRoles::isStoreReader(const InstanceId& aInstance) const
{
  return std::any_of(mStoreReaders.begin(), mStoreReaders.end(), [&](const Member& aMember) {
    return aMember.mId == aInstance;
  });
}

bool sameAssignment(const ReplicationRoles& aLeft, const ReplicationRoles& aRight)
{
  const auto sameId = [](const Member& aOne, const Member& aOther) {
    return aOne.mId == aOther.mId;
  };
  const bool sameRelay = aLeft.mZoneRelay.has_value() == aRight.mZoneRelay.has_value() &&
                         (!aLeft.mZoneRelay || sameId(*aLeft.mZoneRelay, *aRight.mZoneRelay));
  return sameRelay && std::equal(aLeft.mStoreReaders.begin(),
                                 aLeft.mStoreReaders.end(),
                                 aRight.mStoreReaders.begin(),
                                 aRight.mStoreReaders.end(),
                                 sameId);
}

ReplicationRoles assignReplicationRoles(const std::vector<Member>& aMembers,
                                        const std::map<ZoneName, RegionName>& aRegions,
                                        const ZoneName& aOwnZone)
{
  std::vector<Member> live;
  std::copy_if(
    aMembers.begin(), aMembers.end(), std::back_inserter(live), [](const Member& aMember) {
      return aMember.mState == MemberState::Alive || aMember.mState == MemberState::Suspect;
    });
  // Sorted by hash, so that the roles are spread over the fleet and few of them change when members
  // join or leave.
  std::sort(live.begin(), live.end(), [](const Member& aLeft, const Member& aRight) {
    const std::uint64_t left = hashText(aLeft.mId.text());
    const std::uint64_t right = hashText(aRight.mId.text());
    return left != right ? left < right : aLeft.mId < aRight.mId;
  });
  ReplicationRoles roles;
  std::set<RegionName> coveredRegions;
  std::vector<Member> candidates;
  for (const Member& member : live) {
    const auto region = aRegions.find(member.mZone);
    const RegionName name = region == aRegions.end() ? RegionName{} : region->second;
    const bool isFirstOfRegion =
      roles.mStoreReaders.size() < kStoreReaders && coveredRegions.insert(name).second;
    (isFirstOfRegion ? roles.mStoreReaders : candidates).push_back(member);
    if (!roles.mZoneRelay && member.mZone == aOwnZone) {
      roles.mZoneRelay = member;
    }
  }
  for (const Member& member : candidates) {
    if (roles.mStoreReaders.size() < kStoreReaders) {
      roles.mStoreReaders.push_back(member);
    }
  }
  return roles;
}

} // namespace bulrushrun
