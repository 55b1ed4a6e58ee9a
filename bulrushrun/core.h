#pragma once

/// \file
/// \brief Umbrella header of the core module: value types, time units, findings and utilities.

#include "bulrushrun/core/ForwardDeclarations.h"
// Time units come first because the other headers may use them.
#include "bulrushrun/core/Time.h"
// Constants shared by several modules.
#include "bulrushrun/core/Constants.h"
// Value types.
#include "bulrushrun/core/BytesLoan.h"
#include "bulrushrun/core/SharedBytes.h"
#include "bulrushrun/core/StrongName.h"
#include "bulrushrun/core/StrongNumber.h"
// Network addresses.
#include "bulrushrun/core/Endpoint.h"
// Utilities.
#include "bulrushrun/core/Files.h"
#include "bulrushrun/core/Findings.h"
#include "bulrushrun/core/Hash.h"
#include "bulrushrun/core/JsonText.h"
#include "bulrushrun/core/Random.h"
#include "bulrushrun/core/ScopeGuard.h"
#include "bulrushrun/core/TimerQueue.h"
