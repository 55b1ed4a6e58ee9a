#pragma once

/// \file
/// \brief Umbrella header of the steering module: each instance proxies the requests that it
/// accepts straight to targets.

#include "bulrushrun/steering/MessageMetadata.h"
#include "bulrushrun/steering/StartupQueue.h"
#include "bulrushrun/steering/SteeringSettings.h"
// Selection of targets; no I/O.
#include "bulrushrun/steering/ObjectPlacer.h"
// Requests that compete by priority for scarce capacity; no I/O.
#include "bulrushrun/steering/AdmissionTerms.h"
#include "bulrushrun/steering/CompletionEstimate.h"
#include "bulrushrun/steering/EarlyRepeats.h"
#include "bulrushrun/steering/MedianEstimate.h"
#include "bulrushrun/steering/PickQuery.h"
#include "bulrushrun/steering/QueueLimit.h"
#include "bulrushrun/steering/RegionChoice.h"
#include "bulrushrun/steering/RegionShares.h"
#include "bulrushrun/steering/ReturnTime.h"
#include "bulrushrun/steering/ServicePriorities.h"
#include "bulrushrun/steering/TargetPicker.h"
#include "bulrushrun/steering/TargetStats.h"
// Loads of targets, shared between instances.
#include "bulrushrun/steering/LoadReport.h"
#include "bulrushrun/steering/LoadReportExchange.h"
#include "bulrushrun/steering/LoadReportMessage.h"
// Rates that targets named, shared between instances.
#include "bulrushrun/steering/TargetRateAnnouncer.h"
#include "bulrushrun/steering/TargetRateMessage.h"
// Requests in progress.
#include "bulrushrun/steering/ProxiedRequest.h"
#include "bulrushrun/steering/RequestProxy.h"
#include "bulrushrun/steering/SteeringState.h"
#include "bulrushrun/steering/TargetAttempt.h"
// The instance that combines them.
#include "bulrushrun/steering/SteeringInstance.h"
