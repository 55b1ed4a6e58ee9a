#pragma once

/// \file
/// \brief Umbrella header of the drain module: graceful shutdown of an instance.

#include "bulrushrun/drain/DrainSequence.h"
