#pragma once

#include "bulrushrun/core.h"

#include <cstdint>

namespace bulrushrun {

/// \brief Hash of a service and an affinity key.
using ObjectKey = StrongNumber<struct ObjectKeyTag>;
/// \brief Hash of a target's id.
using TargetHash = StrongNumber<struct TargetHashTag>;
/// \brief Number of times that an object was placed, from 1.
using PlacementGeneration = StrongNumber<struct PlacementGenerationTag>;

/// \brief Assignment of an object to the target that keeps its data warm.
struct Placement
{
  ObjectKey mObject;
  TargetHash mTarget;
  PlacementGeneration mGeneration;

  /// \brief \returns true when this placement replaces another one of the same object. A total
  /// order, so that instances that placed an object at the same time agree.
  bool supersedes(const Placement& aOther) const
  {
    return mGeneration != aOther.mGeneration ? mGeneration > aOther.mGeneration
                                             : mTarget > aOther.mTarget;
  }
};

} // namespace bulrushrun
