#pragma once

#include "bulrushrun/membership/MemberTable.h"

#include <algorithm>
#include <vector>

namespace bulrushrun {

/// \brief Number of instances per zone that probe other zones.
inline constexpr std::size_t kRelaysPerZone = 2;

/// \brief \returns the relays of a zone: those of its alive or suspected members whose ids have the
/// lowest hashes, so that all instances select the same ones.
inline std::vector<Member> relaysOf(const MemberTable& aTable, const ZoneName& aZone)
{
  std::vector<Member> members;
  for (const Member& member : aTable.all()) {
    const bool usable =
      member.mState == MemberState::Alive || member.mState == MemberState::Suspect;
    if (usable && member.mZone == aZone) {
      members.push_back(member);
    }
  }
  const std::size_t count = std::min(kRelaysPerZone, members.size());
  std::partial_sort(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(count),
                    members.end(),
                    [](const Member& aLeft, const Member& aRight) {
                      return hashText(aLeft.mId.text()) < hashText(aRight.mId.text());
                    });
  members.resize(count);
  return members;
}

} // namespace bulrushrun
