#include "bulrushrun/metrics/AdmissionMetrics.h"

namespace bulrushrun {

namespace {

template<class Value>
Value& findSeries(std::map<std::string, Value>& aSeries,
                  const std::string& aLabels,
                  std::size_t aMaxSeries)
{
  const auto found = aSeries.find(aLabels);
  if (found != aSeries.end()) {
    return found->second;
  }
  return aSeries[aSeries.size() < aMaxSeries ? aLabels : "other=\"true\""];
}

std::string serviceLabel(const ServiceName& aService)
{
  return "service=\"" + aService.text() + "\"";
}

} // namespace

void AdmissionMetrics::onRefused(const ServiceName& aService, int aLevel, const char* aReason)
{
  const std::string labels =
    serviceLabel(aService) + ",level=\"" + std::to_string(aLevel) + "\",reason=\"" + aReason + "\"";
  ++findSeries(mRefusals, labels, kMaxSeries);
}

void AdmissionMetrics::onSent(const ServiceName& aService, Duration aExpected)
{
  findSeries(mExpected, serviceLabel(aService), kMaxSeries).add(aExpected);
}

void AdmissionMetrics::render(std::string& aText) const
{
  if (!mRefusals.empty()) {
    const std::string name = "bulrushrun_admission_refusals_total";
    aText += "# HELP " + name + " Refused requests by service, priority and reason.\n# TYPE " +
             name + " counter\n";
    for (const auto& [labels, count] : mRefusals) {
      aText += name + "{" + labels + "} " + std::to_string(count) + "\n";
    }
  }
  if (!mExpected.empty()) {
    const std::string name = "bulrushrun_expected_completion_seconds";
    aText += "# HELP " + name + " Expected time to the target's response.\n# TYPE " + name +
             " histogram\n";
    for (const auto& [labels, expected] : mExpected) {
      expected.render(name, labels, aText);
    }
  }
}

} // namespace bulrushrun
