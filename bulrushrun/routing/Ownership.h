#pragma once

#include "bulrushrun/configuration/Document.h"

#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Live instance as routing sees it.
struct LiveInstance
{
  InstanceId mId;
  ZoneName mZone;
  /// Where callers and relaying peers reach it.
  Endpoint mListen;
};

/// \brief Who owns a target.
struct Owner
{
  InstanceId mInstance;
  /// True when the owner belongs to another zone, because the target's own has no live instance.
  bool mInOtherZone = false;
};

/// \brief Which live instance owns each target: the only one that sends to it.
///
/// The owner is an instance of the target's zone, by rendezvous hashing; with none left there, one
/// of the region's other zones; with none in the region, nobody. Every instance works this out
/// from its own view of the members; views may differ for a moment.
class Ownership
{
public:
  Ownership() = default;
  /// \brief Works out the owners. O(targets x instances of a zone).
  Ownership(const Document& aDocument, const std::vector<LiveInstance>& aInstances);

  /// \brief \returns the owner of a target, or nullptr.
  const Owner* ownerOf(const TargetId& aTarget) const;

private:
  std::unordered_map<TargetId, Owner> mOwners;
};

} // namespace bulrushrun
