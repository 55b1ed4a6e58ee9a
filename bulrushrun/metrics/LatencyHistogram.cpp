#include "bulrushrun/metrics/LatencyHistogram.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bulrushrun {

namespace {

std::string formatNumber(double aValue)
{
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.9g", aValue);
  return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

void LatencyHistogram::add(Duration aLatency)
{
  const double seconds = toSeconds(aLatency);
  mSummary(seconds);
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), seconds);
  ++mBuckets[static_cast<std::size_t>(bound - kBounds.begin())];
}

double LatencyHistogram::quantile(std::size_t aIndex) const
{
  return boost::accumulators::extended_p_square(mSummary)[static_cast<std::ptrdiff_t>(aIndex)];
}

void LatencyHistogram::render(const std::string& aName,
                              const std::string& aLabels,
                              std::string& aText) const
{
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    cumulative += mBuckets[i];
    const std::string bound = i < kBounds.size() ? formatNumber(kBounds[i]) : "+Inf";
    aText +=
      aName + "_bucket{" + aLabels + ",le=\"" + bound + "\"} " + std::to_string(cumulative) + "\n";
  }
  aText += aName + "_sum{" + aLabels + "} " + formatNumber(sum()) + "\n";
  aText += aName + "_count{" + aLabels + "} " + std::to_string(count()) + "\n";
}

} // namespace bulrushrun
