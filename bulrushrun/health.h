#pragma once

/// \file
/// \brief Umbrella header of the health module: health checks of targets, and targets that
/// announced a shutdown.

#include "bulrushrun/health/HealthChecker.h"
#include "bulrushrun/health/LeavingTargets.h"
