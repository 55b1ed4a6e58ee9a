#pragma once

/// \file
/// \brief Umbrella header of the limits module: limits on traffic shifted between regions, on
/// retries, on requests to cold targets and to targets that named a rate, and on the use of idle
/// connections. Fleet-wide limits are divided into quotas of single instances, which need no
/// coordination.

#include "bulrushrun/limits/ColdTargetRateLimiter.h"
#include "bulrushrun/limits/IdleTimeouts.h"
#include "bulrushrun/limits/RegionShareLimiter.h"
#include "bulrushrun/limits/RetryBudgetShare.h"
#include "bulrushrun/limits/ReturnRamp.h"
#include "bulrushrun/limits/StaggeredWindow.h"
#include "bulrushrun/limits/TargetQuota.h"
#include "bulrushrun/limits/TargetRateLimiter.h"
#include "bulrushrun/limits/TrafficShiftLimiter.h"
#include "bulrushrun/limits/WindowQuota.h"
