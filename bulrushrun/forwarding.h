#pragma once

/// \file
/// \brief Umbrella header of the forwarding module: requests from admission to the last byte.

#include "bulrushrun/forwarding/Refusal.h"
// Control headers of a request.
#include "bulrushrun/forwarding/RequestParametersReader.h"
// State machine and retry budget.
#include "bulrushrun/forwarding/RequestStateMachine.h"
#include "bulrushrun/forwarding/RetryBudget.h"
// Choice of an instance to relay to.
#include "bulrushrun/forwarding/RelayChoice.h"
// Requests in progress and the forwarder.
#include "bulrushrun/forwarding/ActiveRequest.h"
#include "bulrushrun/forwarding/Forwarder.h"
