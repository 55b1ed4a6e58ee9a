#include "bulrushrun/membership/MemberTable.h"

#include <algorithm>
#include <tuple>

namespace bulrushrun {

MemberTable::Change MemberTable::merge(const Member& aMember, TimePoint aNow)
{
  const auto [entry, added] = mEntries.try_emplace(aMember.mId, Entry{ aMember, aNow });
  if (added) {
    return Change::State;
  }
  Member& known = entry->second.mMember;
  const bool isNewer =
    std::tuple(aMember.mIncarnation, aMember.mState) > std::tuple(known.mIncarnation, known.mState);
  const bool isCurrentIncarnation = aMember.mIncarnation >= known.mIncarnation;
  const ConfigurationVersion version =
    isCurrentIncarnation ? std::max(known.mVersion, aMember.mVersion) : known.mVersion;
  const bool versionIncreased = version > known.mVersion;
  if (isNewer) {
    const bool isVisibleChange = known.mState != aMember.mState ||
                                 known.mListen != aMember.mListen || known.mPeer != aMember.mPeer ||
                                 known.mZone != aMember.mZone;
    known = aMember;
    known.mVersion = version;
    if (isVisibleChange) {
      entry->second.mChangedAt = aNow;
    }
    return Change::State;
  }
  known.mVersion = version;
  return versionIncreased ? Change::Version : Change::Nothing;
}

void MemberTable::removeExpiredDead(TimePoint aNow, Duration aRetention)
{
  std::erase_if(mEntries, [&](const std::pair<const InstanceId, Entry>& aEntry) {
    return aEntry.second.mMember.mState == MemberState::Dead &&
           aNow - aEntry.second.mChangedAt > aRetention;
  });
}

const Member* MemberTable::find(const InstanceId& aId) const
{
  const auto found = mEntries.find(aId);
  return found == mEntries.end() ? nullptr : &found->second.mMember;
}

std::uint64_t MemberTable::digest() const
{
  std::uint64_t result = 0;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mMember.mState == MemberState::Dead) {
      continue;
    }
    const std::uint64_t state =
      (entry.mMember.mIncarnation.value() << 2U) | static_cast<std::uint64_t>(entry.mMember.mState);
    result ^= combineHashes(hashText(id.text()), state);
  }
  return result;
}

std::vector<Member> MemberTable::all() const
{
  std::vector<Member> members;
  members.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    members.push_back(entry.mMember);
  }
  return members;
}

} // namespace bulrushrun
