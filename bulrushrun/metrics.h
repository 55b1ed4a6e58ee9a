#pragma once

/// \file
/// \brief Umbrella of the metrics slice: histograms per tenant and class, counters, Prometheus
/// text.

#include "bulrushrun/metrics/LatencyHistogram.h"
// All series of one instance.
#include "bulrushrun/metrics/Metrics.h"
// By route and service.
#include "bulrushrun/metrics/ServiceMetrics.h"
