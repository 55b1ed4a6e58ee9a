#pragma once

/// \file
/// \brief Umbrella header of the administration module: HTTP API for operators.

#include "bulrushrun/administration/AccessControl.h"
#include "bulrushrun/administration/AdminResponses.h"
#include "bulrushrun/administration/RateLimiter.h"
// The API itself.
#include "bulrushrun/administration/AdminApi.h"
