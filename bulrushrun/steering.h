#pragma once

/// \file
/// \brief Umbrella of the steering slice: the instance that took a request sends it to a target.

#include "bulrushrun/steering/CallFacts.h"
#include "bulrushrun/steering/EarlyRequests.h"
#include "bulrushrun/steering/SteeringSettings.h"
// Which target gets a request: pure.
#include "bulrushrun/steering/TargetPicker.h"
#include "bulrushrun/steering/TargetStats.h"
// Requests in progress.
#include "bulrushrun/steering/RequestCarrier.h"
#include "bulrushrun/steering/SteeredRequest.h"
// The instance that ties them together.
#include "bulrushrun/steering/SteeringInstance.h"
