#pragma once

/// \file
/// \brief Umbrella header of the placement module: which target keeps the data of an object warm.

#include "bulrushrun/placement/Placement.h"
// Known placements, and the choice of a target for a new object; no I/O.
#include "bulrushrun/placement/PlacementPolicy.h"
#include "bulrushrun/placement/PlacementTable.h"
// Exchange between instances, and the copy in the store.
#include "bulrushrun/placement/PlacementAnnouncer.h"
#include "bulrushrun/placement/PlacementArchive.h"
#include "bulrushrun/placement/PlacementMessage.h"
