#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/metrics/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace bulrushrun {

/// \brief What requests that compete for scarce capacity were refused for and what they expected.
///
/// The number of time series is limited; beyond it, requests are counted with the label "other".
class AdmissionMetrics
{
public:
  /// \brief Records a refused request.
  /// \param aLevel  rank of its priority at the service, 0 for the most urgent
  void onRefused(const ServiceName& aService, int aLevel, const char* aReason);
  /// \brief Records by how much a response came earlier or later than expected.
  void onCompleted(const ServiceName& aService, Duration aExpected, Duration aActual);
  /// \brief Records the expected time to the response of a request that is sent.
  void onSent(const ServiceName& aService, Duration aExpected);

  /// \brief Appends all metrics in Prometheus text format; nothing when no request competed.
  void render(std::string& aText) const;

private:
  static constexpr std::size_t kMaxSeries = 128;

  std::map<std::string, std::uint64_t> mRefusals;
  std::map<std::string, LatencyHistogram> mExpected;
  /// Absolute differences of expected and actual times, by direction.
  std::map<std::string, LatencyHistogram> mErrors;
};

} // namespace bulrushrun
