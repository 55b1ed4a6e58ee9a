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

void AdmissionMetrics::onCompleted(const ServiceName& aService,
                                   Duration aExpected,
                                   Duration aActual)
{
  const std::string direction = aActual > aExpected ? "later" : "earlier";
  findSeries(mErrors, serviceLabel(aService) + ",direction=\"" + direction + "\"", kMaxSeries)
    .add(std::chrono::abs(aActual - aExpected));
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
  const auto appendHistogram = [&aText](const std::string& aName,
                                        const std::string& aHelp,
                                        const std::map<std::string, LatencyHistogram>& aSeries) {
    if (!aSeries.empty()) {
      aText += "# HELP " + aName + " " + aHelp + "\n# TYPE " + aName + " histogram\n";
    }
    for (const auto& [labels, values] : aSeries) {
      values.render(aName, labels, aText);
    }
  };
  appendHistogram(
    "bulrushrun_expected_completion_seconds", "Expected time to the target's response.", mExpected);
  appendHistogram("bulrushrun_completion_error_seconds",
                  "Difference between the actual and the expected time, by direction.",
                  mErrors);
}

} // namespace bulrushrun
