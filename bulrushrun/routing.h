#pragma once

/// \file
/// \brief Umbrella of the routing slice: which instance owns a target, which target gets a request.

#include "bulrushrun/routing/Rendezvous.h"
// Owners of targets.
#include "bulrushrun/routing/Ownership.h"
// Owners by service and zone.
#include "bulrushrun/routing/OwnerDirectory.h"
// All that one instance knows of the fleet.
#include "bulrushrun/routing/FleetView.h"
// The queue before the owned targets.
#include "bulrushrun/routing/PooledTarget.h"
#include "bulrushrun/routing/ServicePool.h"
#include "bulrushrun/routing/ZoneTopology.h"
// Routes by host and prefix, weighted splits.
#include "bulrushrun/routing/RoutePlan.h"
