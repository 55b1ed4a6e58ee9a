#pragma once

/// \file
/// \brief Umbrella of the discovery slice: targets that come and go.

#include "bulrushrun/discovery/TargetEntry.h"
// All of them, with what is concluded about their lives.
#include "bulrushrun/discovery/TargetTable.h"
