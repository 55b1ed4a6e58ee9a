#pragma once

#include "bulrushrun/placement/Placement.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief Message between instances about the placement of objects.
struct PlacementMessage
{
  /// The receiver is to forward the placements to the other instances of its zone.
  bool mForward = false;
  std::vector<Placement> mPlacements;
};

/// \brief \returns the placements as messages in MessagePack, each small enough for one Ethernet
/// frame.
std::vector<std::string> encodePlacements(const std::vector<Placement>& aPlacements, bool aForward);

/// \brief \returns the placements as one message of any size.
std::string encodeAllPlacements(const std::vector<Placement>& aPlacements);
/// \brief \returns as many of the placements as fit into a row of the store.
std::string encodeSavedPlacements(const std::vector<Placement>& aPlacements);

/// \brief \returns the message, or nothing when the bytes are malformed.
std::optional<PlacementMessage> decodePlacements(std::string_view aBytes);

} // namespace bulrushrun
