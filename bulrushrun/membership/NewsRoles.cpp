#include "bulrushrun/membership/NewsRoles.h"

#include <algorithm>
#include <set>

namespace bulrushrun {

bool NewsRoles::isReader(const InstanceId& aInstance) const
{
  return std::any_of(mReaders.begin(), mReaders.end(), [&](const Member& aMember) {
    return aMember.mId == aInstance;
  });
}

bool namesSame(const NewsRoles& aLeft, const NewsRoles& aRight)
{
  const auto sameId = [](const Member& aOne, const Member& aOther) {
    return aOne.mId == aOther.mId;
  };
  const bool sameRelay = aLeft.mRelay.has_value() == aRight.mRelay.has_value() &&
                         (!aLeft.mRelay || sameId(*aLeft.mRelay, *aRight.mRelay));
  return sameRelay && std::equal(aLeft.mReaders.begin(),
                                 aLeft.mReaders.end(),
                                 aRight.mReaders.begin(),
                                 aRight.mReaders.end(),
                                 sameId);
}

NewsRoles assignNewsRoles(const std::vector<Member>& aMembers,
                          const std::map<ZoneName, RegionName>& aRegions,
                          const ZoneName& aOwnZone)
{
  std::vector<Member> live;
  std::copy_if(
    aMembers.begin(), aMembers.end(), std::back_inserter(live), [](const Member& aMember) {
      return aMember.mState == MemberState::Alive || aMember.mState == MemberState::Suspect;
    });
  // By hash, so that the roles are spread over the fleet and change little when it changes.
  std::sort(live.begin(), live.end(), [](const Member& aLeft, const Member& aRight) {
    const std::uint64_t left = hashText(aLeft.mId.text());
    const std::uint64_t right = hashText(aRight.mId.text());
    return left != right ? left < right : aLeft.mId < aRight.mId;
  });
  NewsRoles roles;
  std::set<RegionName> covered;
  std::vector<Member> rest;
  for (const Member& member : live) {
    const auto region = aRegions.find(member.mZone);
    const RegionName name = region == aRegions.end() ? RegionName{} : region->second;
    const bool wanted = roles.mReaders.size() < kNewsReaders && covered.insert(name).second;
    (wanted ? roles.mReaders : rest).push_back(member);
    if (!roles.mRelay && member.mZone == aOwnZone) {
      roles.mRelay = member;
    }
  }
  for (const Member& member : rest) {
    if (roles.mReaders.size() < kNewsReaders) {
      roles.mReaders.push_back(member);
    }
  }
  return roles;
}

} // namespace bulrushrun
