#pragma once

#include "bulrushrun/configuration/Service.h"
#include "bulrushrun/forwarding/Refusal.h"
#include "bulrushrun/metrics/LatencyHistogram.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace bulrushrun {

/// \brief Counters and histograms of one instance.
class Metrics
{
public:
  /// \brief Label values that identify the time series of a request.
  struct Series
  {
    ServiceKey mService;
    ClassName mClass;

    auto operator<=>(const Series&) const = default;
  };

  /// \brief Records the outcome and latency of one request as seen by the caller.
  void onRequest(const Series& aSeries, Outcome aOutcome, Duration aLatency);
  /// \brief Increments a counter without labels.
  void count(const std::string& aName, std::uint64_t aIncrement = 1)
  {
    mCounters[aName] += aIncrement;
  }
  void set(const std::string& aName, double aValue) { mGauges[aName] = aValue; }

  /// \brief \returns the value of a counter without labels.
  std::uint64_t counter(const std::string& aName) const;

  /// \brief \returns all metrics in Prometheus text format.
  std::string render() const;

private:
  static constexpr std::size_t kOutcomes = 4;

  struct SeriesState
  {
    LatencyHistogram mLatency;
    std::array<std::uint64_t, kOutcomes> mOutcomes{};
  };

  std::map<Series, SeriesState> mSeries;
  std::map<std::string, std::uint64_t> mCounters;
  std::map<std::string, double> mGauges;
};

} // namespace bulrushrun
