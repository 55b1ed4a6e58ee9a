#pragma once

#include "bulrushrun/membership/Gossip.h"

#include <set>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Sends payloads to all other instances of the own zone.
template<class HostType>
void sendToOwnZone(Gossip<HostType>& aGossip, const std::vector<std::string>& aPayloads)
{
  const Member& self = aGossip.self();
  for (const Member& member : aGossip.table().all()) {
    const bool isPeer =
      member.mId != self.mId && member.mState != MemberState::Dead && member.mZone == self.mZone;
    for (std::size_t i = 0; isPeer && i < aPayloads.size(); ++i) {
      aGossip.sendPayload(member.mPeer, aPayloads[i]);
    }
  }
}

/// \brief Sends payloads to one relay of each other zone, which is expected to forward them there,
/// so that each payload crosses between two zones once.
/// \param aIncludesZone  function from a zone to true when its relay gets the payloads
template<class HostType, class ZoneFilter>
void sendToZoneRelays(Gossip<HostType>& aGossip,
                      Random& aRandom,
                      const std::vector<std::string>& aPayloads,
                      ZoneFilter aIncludesZone)
{
  std::set<ZoneName> zones;
  for (const Member& member : aGossip.table().all()) {
    if (member.mZone == aGossip.self().mZone || !aIncludesZone(member.mZone) ||
        !zones.insert(member.mZone).second) {
      continue;
    }
    const std::vector<Member> relays = relaysOf(aGossip.table(), member.mZone);
    if (!relays.empty()) {
      const Endpoint& peer = relays[aRandom.below(relays.size())].mPeer;
      for (const std::string& payload : aPayloads) {
        aGossip.sendPayload(peer, payload);
      }
    }
  }
}

} // namespace bulrushrun
