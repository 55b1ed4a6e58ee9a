#pragma once

/// \file
/// \brief Umbrella of the limits slice: how much traffic may shift, be repeated, go to cold
/// targets or on idle connections. Shares of what is bounded for the fleet, without agreement.

#include "bulrushrun/limits/ColdTargetQuota.h"
#include "bulrushrun/limits/ColdTargetRateLimiter.h"
#include "bulrushrun/limits/IdleTimeouts.h"
#include "bulrushrun/limits/RetryBudgetShare.h"
#include "bulrushrun/limits/TrafficShiftLimiter.h"
