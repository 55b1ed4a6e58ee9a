#pragma once

/// \file
/// \brief Umbrella of the forwarding slice: requests in progress, from admission to the last byte.

#include "bulrushrun/forwarding/Refusal.h"
// What a request asks for.
#include "bulrushrun/forwarding/RequestParametersReader.h"
// What may be done with it.
#include "bulrushrun/forwarding/RequestStateMachine.h"
#include "bulrushrun/forwarding/RetryBudget.h"
// Where it goes.
#include "bulrushrun/forwarding/RelayChoice.h"
// The request and the forwarder.
#include "bulrushrun/forwarding/ActiveRequest.h"
#include "bulrushrun/forwarding/Forwarder.h"
