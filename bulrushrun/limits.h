#pragma once

/// \file
/// \brief Umbrella of the limits slice: how much traffic may shift, be repeated, go to cold
/// targets or on idle connections. Shares of what is bounded for the fleet, without agreement.

#include "bulrushrun/limits/ColdAdmission.h"
#include "bulrushrun/limits/ColdShares.h"
#include "bulrushrun/limits/IdleLimits.h"
#include "bulrushrun/limits/RetryShare.h"
#include "bulrushrun/limits/ShiftCap.h"
