#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <vector>

namespace bulrushrun {

/// \brief Instances of one zone that share the bounds on its cold targets, as one of them knows
/// them.
///
/// A bound is dealt in whole requests, by rendezvous order of the instances for each target. So
/// a bound smaller than the number of instances still lets some of them send, other ones for each
/// target, and the sum stays under the bound without agreement.
class ColdTargetQuota
{
public:
  /// Shares of an instance that does not know the others: it gets nothing.
  ColdTargetQuota() = default;
  /// \param aSelf  hash of the own identity
  /// \param aAll  the same of all instances of the zone that may send, the own one included
  ColdTargetQuota(std::uint64_t aSelf, std::vector<std::uint64_t> aAll)
    : mSelf(aSelf)
    , mAll(std::move(aAll))
  {
  }

  /// \brief \returns the requests of the bound that belong to this instance. O(instances)
  /// \param aTarget  hash of the target's identity
  /// \param aBound  requests that all instances together may send
  std::size_t quota(std::uint64_t aTarget, double aBound) const
  {
    if (mAll.empty() || aBound < 1) {
      return 0;
    }
    const std::size_t whole = static_cast<std::size_t>(aBound);
    const std::size_t left = whole % mAll.size();
    const std::uint64_t own = combineHashes(aTarget, mSelf);
    std::size_t ahead = 0;
    for (const std::uint64_t other : mAll) {
      ahead += combineHashes(aTarget, other) > own ? 1 : 0;
    }
    return whole / mAll.size() + (ahead < left ? 1 : 0);
  }

private:
  std::uint64_t mSelf = 0;
  std::vector<std::uint64_t> mAll;
};

} // namespace bulrushrun
