#include "bulrushrun/store/PeerAdoption.h"

#include <algorithm>

namespace bulrushrun {

namespace {

/// \returns true when equal digests say that both replicas hold the table of one version.
bool isComparable(const TableReplica& aReplica,
                  const TableProgress& aProgress,
                  const ReplicaSummary& aSummary)
{
  return aSummary.mDigest != 0 && aProgress.mNewestVersion <= aProgress.mCompleteVersion &&
         aReplica.completeVersion() <= aProgress.mCompleteVersion &&
         aReplica.newestVersion() <= aProgress.mCompleteVersion;
}

} // namespace

PeerAdoption adoptPeerRows(TableReplica& aReplica,
                           const std::vector<StoreRow>& aRows,
                           const TableProgress& aRequested,
                           const TableProgress& aProgress,
                           const ReplicaSummary& aSummary)
{
  const RecordVersion unread{};
  const RecordVersion complete = aProgress.mCompleteVersion;
  PeerAdoption adoption;
  if (complete == unread) {
    adoption.mApplied = aReplica.apply(aRows, unread);
    return adoption;
  }
  const bool isWholeTable = aRequested.mCompleteVersion == unread;
  // An instance of an older version does not state from when on it knows removals.
  const bool knowsRemovals = aSummary.mRemovalsKnownFrom != unread &&
                             aSummary.mRemovalsKnownFrom <= aReplica.completeVersion();
  if (isWholeTable) {
    adoption.mApplied = aReplica.applySnapshot(aRows, complete);
  } else {
    adoption.mApplied = aReplica.apply(aRows, knowsRemovals ? complete : unread);
  }
  const bool isEqual =
    isComparable(aReplica, aProgress, aSummary) && aReplica.digest() == aSummary.mDigest;
  if (isEqual) {
    aReplica.setEqualTo(complete,
                        knowsRemovals ? aReplica.removalsKnownFrom() : aSummary.mRemovalsKnownFrom);
  }
  adoption.mComplete = isWholeTable || knowsRemovals || isEqual;
  adoption.mDiverged =
    adoption.mComplete && !isEqual && isComparable(aReplica, aProgress, aSummary);
  return adoption;
}

} // namespace bulrushrun
