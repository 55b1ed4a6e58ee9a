#include "bulrushrun/metrics/Metrics.h"

namespace bulrushrun {

namespace {

constexpr const char* kLatencyName = "bulrushrun_request_seconds";
constexpr const char* kOutcomeName = "bulrushrun_requests_total";
constexpr std::array kOutcomeOrder{ Outcome::Answered,
                                    Outcome::NotRun,
                                    Outcome::Unknown,
                                    Outcome::Failed };

std::string escapeLabelValue(const std::string& aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      escaped.push_back('\\');
    }
    escaped.push_back(c);
  }
  return escaped;
}

std::string formatLabels(const Metrics::Series& aSeries)
{
  return "tenant=\"" + escapeLabelValue(aSeries.mService.mTenant.text()) + "\",service=\"" +
         escapeLabelValue(aSeries.mService.mService.text()) + "\",class=\"" +
         escapeLabelValue(aSeries.mClass.text()) + "\"";
}

} // namespace

void Metrics::onRequest(const Series& aSeries, Outcome aOutcome, Duration aLatency)
{
  SeriesState& state = mSeries[aSeries];
  ++state.mOutcomes[static_cast<std::size_t>(aOutcome)];
  state.mLatency.add(aLatency);
}

std::uint64_t Metrics::counter(const std::string& aName) const
{
  const auto found = mCounters.find(aName);
  return found == mCounters.end() ? 0 : found->second;
}

std::string Metrics::render() const
{
  std::string text = std::string("# TYPE ") + kLatencyName + " histogram\n";
  for (const auto& [series, state] : mSeries) {
    state.mLatency.render(kLatencyName, formatLabels(series), text);
  }
  text += std::string("# TYPE ") + kOutcomeName + " counter\n";
  for (const auto& [series, state] : mSeries) {
    for (const Outcome outcome : kOutcomeOrder) {
      text += std::string(kOutcomeName) + "{" + formatLabels(series) + ",outcome=\"" +
              outcomeText(outcome) + "\"} " +
              std::to_string(state.mOutcomes[static_cast<std::size_t>(outcome)]) + "\n";
    }
  }
  for (const auto& [name, value] : mCounters) {
    text += "# TYPE bulrushrun_" + name + "_total counter\nbulrushrun_" + name + "_total " +
            std::to_string(value) + "\n";
  }
  for (const auto& [name, value] : mGauges) {
    text += "# TYPE bulrushrun_" + name + " gauge\nbulrushrun_" + name + " " +
            std::to_string(value) + "\n";
  }
  return text;
}

} // namespace bulrushrun
