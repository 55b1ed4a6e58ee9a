#pragma once

/// \file
/// \brief Umbrella of the health slice: what targets say of themselves.

#include "bulrushrun/health/HealthChecker.h"
#include "bulrushrun/health/LeavingTargets.h"
