#pragma once

/// \file
/// \brief Umbrella header of the discovery module: registered targets and changes to them.

#include "bulrushrun/discovery/TargetEntry.h"
// All registered targets and their lifecycle state.
#include "bulrushrun/discovery/TargetTable.h"
