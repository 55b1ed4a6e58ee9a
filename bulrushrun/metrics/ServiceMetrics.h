#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/metrics/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace bulrushrun {

/// \brief Outcomes and latencies of requests by route and by service.
///
/// The number of time series is limited; beyond it, requests are counted with the label "other".
class ServiceMetrics
{
public:
  /// \brief Records a completed request.
  void onRequest(const std::string& aRoute,
                 const ServiceName& aService,
                 const std::string& aOutcome,
                 Duration aLatency);

  /// \brief Appends all metrics in Prometheus text format.
  void render(std::string& aText) const;

private:
  /// Maximum number of distinct time series per metric.
  static constexpr std::size_t kMaxSeries = 128;

  template<class Value>
  static Value& findSeries(std::map<std::string, Value>& aSeries, const std::string& aLabels);

  std::map<std::string, LatencyHistogram> mLatenciesByService;
  std::map<std::string, LatencyHistogram> mLatenciesByRoute;
  std::map<std::string, std::uint64_t> mOutcomes;
};

} // namespace bulrushrun
