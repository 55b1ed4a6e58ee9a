#pragma once

/// \file
/// \brief Umbrella header of the metrics module: latency histograms, counters, and their output in
/// Prometheus text format.

#include "bulrushrun/metrics/AdmissionMetrics.h"
#include "bulrushrun/metrics/LatencyHistogram.h"
// Time series by tenant, service and class; counters and gauges.
#include "bulrushrun/metrics/Metrics.h"
// Time series by route and service.
#include "bulrushrun/metrics/ServiceMetrics.h"
