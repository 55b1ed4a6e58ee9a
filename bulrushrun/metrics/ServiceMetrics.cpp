#include "bulrushrun/metrics/ServiceMetrics.h"

namespace bulrushrun {

template<class Value>
Value& ServiceMetrics::findSeries(std::map<std::string, Value>& aSeries, const std::string& aLabels)
{
  const auto found = aSeries.find(aLabels);
  if (found != aSeries.end()) {
    return found->second;
  }
  return aSeries[aSeries.size() < kMaxSeries ? aLabels : "other=\"true\""];
}

void ServiceMetrics::onRequest(const std::string& aRoute,
                               const ServiceName& aService,
                               const std::string& aOutcome,
                               Duration aLatency)
{
  const std::string service = "service=\"" + aService.text() + "\"";
  findSeries(mLatenciesByService, service).add(aLatency);
  findSeries(mLatenciesByRoute, "route=\"" + aRoute + "\"").add(aLatency);
  ++findSeries(mOutcomes, service + ",outcome=\"" + aOutcome + "\"");
}

void ServiceMetrics::render(std::string& aText) const
{
  const auto appendHistogram = [&aText](const std::string& aName,
                                        const std::string& aHelp,
                                        const std::map<std::string, LatencyHistogram>& aSeries) {
    aText += "# HELP " + aName + " " + aHelp + "\n# TYPE " + aName + " histogram\n";
    for (const auto& [labels, latencies] : aSeries) {
      latencies.render(aName, labels, aText);
    }
  };
  appendHistogram(
    "bulrushrun_service_seconds", "Time to the end of a request, by service.", mLatenciesByService);
  appendHistogram(
    "bulrushrun_route_seconds", "Time to the end of a request, by route.", mLatenciesByRoute);
  const std::string outcomes = "bulrushrun_service_outcomes_total";
  aText +=
    "# HELP " + outcomes + " Requests by service and outcome.\n# TYPE " + outcomes + " counter\n";
  for (const auto& [labels, count] : mOutcomes) {
    aText += outcomes + "{" + labels + "} " + std::to_string(count) + "\n";
  }
}

} // namespace bulrushrun
