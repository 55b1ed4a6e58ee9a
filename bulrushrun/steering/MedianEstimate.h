#pragma once

#include "bulrushrun/core.h"

#include <algorithm>

namespace bulrushrun {

/// \brief Running median of durations.
///
/// Each sample moves the estimate by a fraction of itself towards the sample, whatever the
/// distance, so that a few very long executions do not raise it as they raise a mean. The fraction
/// falls from a half to kSmallestStep, so that the first samples count most.
class MedianEstimate
{
public:
  void add(Duration aSample)
  {
    if (mSamples == 0) {
      mMedian = toSeconds(aSample);
    }
    mSamples = std::min(mSamples + 1, kSteps);
    const double step = 1 + 1.0 / (mSamples + 1);
    mMedian = toSeconds(aSample) > mMedian ? mMedian * step : mMedian / step;
  }
  /// \brief \returns the median, or zero before the first sample.
  Duration value() const { return fromSeconds(mMedian); }

private:
  static constexpr int kSteps = 32;

  /// Seconds.
  double mMedian = 0;
  int mSamples = 0;
};

} // namespace bulrushrun
