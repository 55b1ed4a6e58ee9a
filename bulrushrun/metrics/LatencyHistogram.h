#pragma once

#include "bulrushrun/core.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace bulrushrun {

/// \brief Histogram of request latencies with count, sum, maximum and estimated quantiles.
///
/// Uses constant memory; quantiles are estimated by the P-square algorithm of Boost.Accumulators.
class LatencyHistogram
{
public:
  /// \brief Upper bounds of the buckets, in seconds; one more bucket counts larger values.
  static constexpr std::array<double, 14> kBounds{ 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                   0.1,    0.2,   0.5,   1,     2,    5,    10 };
  /// \brief Estimated quantiles.
  static constexpr std::array<double, 3> kQuantiles{ 0.5, 0.99, 0.999 };

  void add(Duration aLatency);

  std::uint64_t count() const { return boost::accumulators::count(mSummary); }
  /// \brief \returns the sum of all latencies in seconds.
  double sum() const { return boost::accumulators::sum(mSummary); }
  /// \brief \returns the estimated quantile kQuantiles[\a aIndex] in seconds.
  double quantile(std::size_t aIndex) const;

  /// \brief Appends this histogram in Prometheus text format.
  /// \param aLabels  labels without braces, such as `tenant="a",class="b"`
  void render(const std::string& aName, const std::string& aLabels, std::string& aText) const;

private:
  using Summary = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square>>;

  Summary mSummary{ boost::accumulators::tag::extended_p_square::probabilities = kQuantiles };
  std::array<std::uint64_t, kBounds.size() + 1> mBuckets{};
};

} // namespace bulrushrun
