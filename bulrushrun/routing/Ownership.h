#pragma once

#include "bulrushrun/configuration/Document.h"

#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Identity, zone and address of a live instance, as used for routing.
struct LiveInstance
{
  InstanceId mId;
  ZoneName mZone;
  /// Address at which callers and relaying peers connect.
  Endpoint mListen;
};

/// \brief Owner of a target.
struct Owner
{
  InstanceId mInstance;
  /// True when the owner is in another zone, because the target's zone has no live instance.
  bool mInOtherZone = false;
};

/// \brief Maps each target to its owner, the only live instance that sends requests to it.
///
/// The owner is chosen by rendezvous hashing among the live instances of the target's zone. If
/// that zone has none, an instance of another zone of the region is chosen; if the region has
/// none, the target has no owner. Each instance computes this from its own membership view, so
/// instances may disagree briefly.
class Ownership
{
public:
  Ownership() = default;
  /// \brief Computes the owners. O(targets x instances of a zone).
  Ownership(const Document& aDocument, const std::vector<LiveInstance>& aInstances);

  /// \brief \returns the owner of a target, or nullptr.
  const Owner* ownerOf(const TargetId& aTarget) const;

private:
  std::unordered_map<TargetId, Owner> mOwners;
};

} // namespace bulrushrun
