#pragma once

/// \file
/// \brief Umbrella header of the instance module, which composes all other modules.

#include "bulrushrun/instance/StatusReport.h"
// The instance itself.
#include "bulrushrun/instance/Instance.h"
