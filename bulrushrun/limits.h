#pragma once

/// \file
/// \brief Umbrella header of the limits module: limits on traffic shifted between regions, on
/// retries, on requests to cold targets, and on the use of idle connections. Fleet-wide limits are
/// divided into quotas of single instances, which need no coordination.

#include "bulrushrun/limits/ColdTargetQuota.h"
#include "bulrushrun/limits/ColdTargetRateLimiter.h"
#include "bulrushrun/limits/IdleTimeouts.h"
#include "bulrushrun/limits/RetryBudgetShare.h"
#include "bulrushrun/limits/TrafficShiftLimiter.h"
