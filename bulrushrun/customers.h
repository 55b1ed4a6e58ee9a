#pragma once

/// \file
/// \brief Umbrella header of the customers module: who sends a request, as shown by its key, and
/// what the configuration grants that customer.

#include "bulrushrun/customers/Customer.h"
#include "bulrushrun/customers/CustomerDirectory.h"
#include "bulrushrun/customers/HomeRegions.h"
// Keys of requests.
#include "bulrushrun/customers/CallerIdentification.h"
#include "bulrushrun/customers/PresentedKey.h"
// Metrics.
#include "bulrushrun/customers/CustomerMetrics.h"
