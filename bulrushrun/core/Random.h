#pragma once

#include "bulrushrun/core/Hash.h"

#include <cassert>
#include <cmath>
#include <cstdint>
#include <string>

namespace bulrushrun {

/// \brief Pseudo-random number generator (SplitMix64); the same seed yields the same sequence.
///
/// \code
/// Random random{seed};
/// Duration jitter{random.below(1000)};
/// \endcode
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  /// \brief \returns the next 64 random bits.
  std::uint64_t next()
  {
    mState += 0x9e3779b97f4a7c15ULL;
    return mixBits(mState);
  }

  /// \brief \returns an integer in [0, \a aBound).
  std::uint64_t below(std::uint64_t aBound)
  {
    assert(aBound > 0 && "Random::below needs a positive bound");
    return next() % aBound;
  }

  /// \brief \returns a real number in [0, 1).
  double unit() { return toUnitInterval(next()); }

  /// \brief \returns true with the given probability.
  bool chance(double aProbability) { return unit() < aProbability; }

  /// \brief \returns an exponentially distributed number with the given mean.
  double exponential(double aMean) { return -aMean * std::log1p(-unit()); }

  /// \brief \returns 32 random hexadecimal digits, for tokens and unique ids.
  std::string token() { return toHex(next()) + toHex(next()); }

private:
  std::uint64_t mState;
};

} // namespace bulrushrun
