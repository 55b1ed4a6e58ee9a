#pragma once

/// \file
/// \brief Umbrella of the steering slice: the instance that took a request sends it to a target.

#include "bulrushrun/steering/MessageMetadata.h"
#include "bulrushrun/steering/StartupQueue.h"
#include "bulrushrun/steering/SteeringSettings.h"
// Which target gets a request: pure.
#include "bulrushrun/steering/TargetPicker.h"
#include "bulrushrun/steering/TargetStats.h"
// Requests in progress.
#include "bulrushrun/steering/ProxiedRequest.h"
#include "bulrushrun/steering/RequestProxy.h"
// The instance that ties them together.
#include "bulrushrun/steering/SteeringInstance.h"
