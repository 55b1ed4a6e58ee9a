#pragma once

/// \file
/// \brief Umbrella header of the routing module: which instance owns a target, and which target
/// gets a request.

#include "bulrushrun/routing/Rendezvous.h"
// Owner of each target.
#include "bulrushrun/routing/Ownership.h"
// Owners by service and zone.
#include "bulrushrun/routing/OwnerDirectory.h"
// Configuration, live instances and ownership as one instance sees them.
#include "bulrushrun/routing/FleetView.h"
// Request queue of a service and its owned targets.
#include "bulrushrun/routing/PooledTarget.h"
#include "bulrushrun/routing/ServicePool.h"
#include "bulrushrun/routing/ZoneTopology.h"
// Routes by host and path prefix, weighted traffic splits.
#include "bulrushrun/routing/RoutePlan.h"
