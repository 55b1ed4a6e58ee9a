#pragma once

#include "bulrushrun/core.h"

#include <chrono>
#include <optional>

namespace bulrushrun {

/// \brief Estimate of how long an attempt takes, queueing at the target included.
///
/// Smoothed mean and mean deviation, as in TCP's retransmission timer: the upper bound holds for
/// most attempts, also when they differ much.
class RunTimeEstimate
{
public:
  void add(Duration aElapsed)
  {
    if (mMean == Duration{ 0 }) {
      mMean = aElapsed;
      mDeviation = aElapsed / 2;
      return;
    }
    const Duration error = aElapsed - mMean;
    mMean += error / kMeanSmoothing;
    mDeviation += (std::chrono::abs(error) - mDeviation) / kDeviationSmoothing;
  }

  /// \brief \returns the time within which most attempts end, or nothing before the first add().
  std::optional<Duration> upperBound() const
  {
    if (mMean == Duration{ 0 }) {
      return std::nullopt;
    }
    return mMean + kDeviations * mDeviation;
  }

private:
  static constexpr int kMeanSmoothing = 16;
  static constexpr int kDeviationSmoothing = 8;
  static constexpr int kDeviations = 4;

  Duration mMean{ 0 };
  Duration mDeviation{ 0 };
};

} // namespace bulrushrun
