#pragma once

/// \file
/// \brief Umbrella header of the lookup module: which instances a caller should use.

#include "bulrushrun/lookup/LookupTable.h"
