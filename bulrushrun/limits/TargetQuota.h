#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <vector>

namespace bulrushrun {

/// \brief Quota of one instance within limits on requests to a target that several instances share.
///
/// A limit is divided into whole requests; the remainder goes to the instances that are first in
/// the rendezvous order for the target. Thus a limit smaller than the number of instances still
/// lets some of them send, different ones for each target, and the sum of the quotas does not
/// exceed the limit, without coordination between instances.
class TargetQuota
{
public:
  /// \brief Creates the quota of an instance that does not know the other instances: always zero.
  TargetQuota() = default;
  /// \param aSelf  hash of the identity of this instance
  /// \param aInstances  hashes of the identities of all instances that may send, this one
  /// included
  TargetQuota(std::uint64_t aSelf, std::vector<std::uint64_t> aInstances)
    : mSelf(aSelf)
    , mInstances(std::move(aInstances))
  {
  }

  /// \brief \returns the number of requests that this instance may send. O(instances)
  /// \param aTarget  hash of the target's identity
  /// \param aLimit  number of requests that all instances together may send
  std::size_t quota(std::uint64_t aTarget, double aLimit) const
  {
    if (mInstances.empty() || aLimit < 1) {
      return 0;
    }
    const std::size_t wholeRequests = static_cast<std::size_t>(aLimit);
    const std::size_t remainder = wholeRequests % mInstances.size();
    const std::uint64_t ownScore = combineHashes(aTarget, mSelf);
    std::size_t higherScores = 0;
    for (const std::uint64_t other : mInstances) {
      higherScores += combineHashes(aTarget, other) > ownScore ? 1 : 0;
    }
    return wholeRequests / mInstances.size() + (higherScores < remainder ? 1 : 0);
  }

  /// \brief \returns the number of instances that share the limits.
  std::size_t instances() const { return mInstances.size(); }

private:
  std::uint64_t mSelf = 0;
  std::vector<std::uint64_t> mInstances;
};

} // namespace bulrushrun
