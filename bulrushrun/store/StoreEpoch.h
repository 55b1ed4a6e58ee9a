#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace bulrushrun {

/// \brief Number that rises by one each time the store comes back from an older copy. Versions are
/// ordered within one epoch only; a store that states no epoch is at 0.
using StoreEpoch = StrongNumber<struct StoreEpochTag>;

/// \brief Derives the incarnation of an instance from the write of its registration, ordered by
/// epoch and then version: versions go back when the store does, and peers ignore an instance that
/// returns with a lower incarnation.
///
/// At epoch 0, the incarnation equals the version. Larger epochs than kMaxOrderedEpoch are not told
/// apart.
inline Incarnation incarnationOf(StoreEpoch aEpoch, RecordVersion aVersion)
{
  constexpr unsigned kVersionBits = 40;
  constexpr std::uint64_t kMaxOrderedEpoch = (std::uint64_t{ 1 } << (64U - kVersionBits)) - 1;
  constexpr std::uint64_t kMaxOrderedVersion = (std::uint64_t{ 1 } << kVersionBits) - 1;
  if (aEpoch == StoreEpoch{}) {
    return Incarnation{ aVersion.value() };
  }
  return Incarnation{ (std::min(aEpoch.value(), kMaxOrderedEpoch) << kVersionBits) |
                      std::min(aVersion.value(), kMaxOrderedVersion) };
}

/// \brief Newest epoch that this instance has seen, in responses of the store or from peers.
class StoreEpochTracker
{
public:
  /// \brief Records an epoch. \returns true when it is newer than all before
  bool observe(StoreEpoch aEpoch)
  {
    const bool isNewer = aEpoch > mEpoch;
    // The first epoch that an instance sees is no rise.
    mRises += isNewer && mObserved ? 1 : 0;
    mObserved = true;
    mEpoch = std::max(mEpoch, aEpoch);
    return isNewer;
  }
  StoreEpoch epoch() const { return mEpoch; }
  /// \brief \returns how often the epoch rose while this instance was running.
  std::uint64_t rises() const { return mRises; }

private:
  StoreEpoch mEpoch;
  std::uint64_t mRises = 0;
  bool mObserved = false;
};

} // namespace bulrushrun
