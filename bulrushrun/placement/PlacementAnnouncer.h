#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/placement/PlacementMessage.h"
#include "bulrushrun/placement/PlacementTable.h"

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Announces the placements of this instance to the others and takes theirs.
///
/// An announcement goes to the other instances of the zone and to one instance of each other zone,
/// which forwards it there.
template<class HostType>
class PlacementAnnouncer
{
public:
  PlacementAnnouncer(HostType& aHost, PlacementTable& aPlacements)
    : mHost(aHost)
    , mPlacements(aPlacements)
  {
  }

  void join(Gossip<HostType>& aGossip) { mGossip = &aGossip; }
  /// \brief Announces a placement with the next batch.
  void announce(const Placement& aPlacement);
  /// \brief Takes the placements in a message. \returns false when the message is malformed
  bool receive(std::string_view aPayload);

private:
  /// Placements made within this time are announced together.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(10);

  void sendBatch();

  HostType& mHost;
  PlacementTable& mPlacements;
  Gossip<HostType>* mGossip = nullptr;
  std::vector<Placement> mBatch;
};

template<class HostType>
void PlacementAnnouncer<HostType>::announce(const Placement& aPlacement)
{
  mBatch.push_back(aPlacement);
  if (mBatch.size() == 1) {
    mHost.after(kBatchDelay, [this] { sendBatch(); });
  }
}

template<class HostType>
void PlacementAnnouncer<HostType>::sendBatch()
{
  const std::vector<Placement> batch = std::exchange(mBatch, {});
  if (mGossip == nullptr) {
    return;
  }
  sendToOwnZone(*mGossip, encodePlacements(batch, false));
  sendToZoneRelays(
    *mGossip, mHost.random(), encodePlacements(batch, true), [](const ZoneName&) { return true; });
}

template<class HostType>
bool PlacementAnnouncer<HostType>::receive(std::string_view aPayload)
{
  const std::optional<PlacementMessage> message = decodePlacements(aPayload);
  if (!message) {
    return false;
  }
  mPlacements.merge(message->mPlacements, mHost.now());
  if (message->mForward && mGossip != nullptr) {
    sendToOwnZone(*mGossip, encodePlacements(message->mPlacements, false));
  }
  return true;
}

} // namespace bulrushrun
