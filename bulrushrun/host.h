#pragma once

/// \file
/// \brief Umbrella of the host slice: what a node sees of its surroundings.

#include "bulrushrun/host/Http.h"
// Answer channel of an incoming request.
#include "bulrushrun/host/Responder.h"
// Numbered events.
#include "bulrushrun/host/Event.h"
#include "bulrushrun/host/EventCatalogue.h"
// The concept that ties them together.
#include "bulrushrun/host/Host.h"
