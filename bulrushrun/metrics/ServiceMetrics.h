#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/metrics/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace bulrushrun {

/// \brief Outcomes and latencies of requests, by route and by service. The number of label values
/// is bounded; beyond it requests are counted under "other".
class ServiceMetrics
{
public:
  /// \brief Counts one request that ended.
  void onRequest(const std::string& aRoute,
                 const ServiceName& aService,
                 const std::string& aOutcome,
                 Duration aLatency);

  /// \brief Appends everything in Prometheus text format.
  void render(std::string& aText) const;

private:
  /// Series of one kind that are kept apart.
  static constexpr std::size_t kMaxSeries = 128;

  template<class Value>
  static Value& series(std::map<std::string, Value>& aSeries, const std::string& aLabels);

  std::map<std::string, LatencyHistogram> mByService;
  std::map<std::string, LatencyHistogram> mByRoute;
  std::map<std::string, std::uint64_t> mOutcomes;
};

} // namespace bulrushrun
