#pragma once

/// \file
/// \brief Umbrella of the administration slice: the operators' API.

#include "bulrushrun/administration/AccessControl.h"
#include "bulrushrun/administration/AdminResponses.h"
#include "bulrushrun/administration/RateLimiter.h"
// The API on top.
#include "bulrushrun/administration/AdminApi.h"
