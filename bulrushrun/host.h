#pragma once

/// \file
/// \brief Umbrella header of the host module: the runtime environment of an instance.

#include "bulrushrun/host/Http.h"
// Channel for the response to an incoming request.
#include "bulrushrun/host/Responder.h"
// Numbered log events.
#include "bulrushrun/host/Event.h"
#include "bulrushrun/host/EventCatalogue.h"
// The concept of the runtime environment.
#include "bulrushrun/host/Host.h"
