#pragma once

#include "bulrushrun/store/PeerReplicationCodec.h"
#include "bulrushrun/store/TableReplica.h"

#include <vector>

namespace bulrushrun {

/// \brief Result of applying a peer's rows of one table.
struct PeerAdoption
{
  /// Rows that were new.
  std::vector<StoreRow> mApplied;
  /// The replica now has every change up to the peer's complete version.
  bool mComplete = false;
  /// The replica should equal the peer's, but their digests differ.
  bool mDiverged = false;
};

/// \brief Applies the rows of one table that a peer sent to a replica.
///
/// The peer's complete version is adopted only if nothing can be missing: the peer sent its whole
/// table, or knows all removals since this replica's complete version, or the digests are equal.
/// \param aRequested  progress that the request stated
PeerAdoption adoptPeerRows(TableReplica& aReplica,
                           const std::vector<StoreRow>& aRows,
                           const TableProgress& aRequested,
                           const TableProgress& aProgress,
                           const ReplicaSummary& aSummary);

} // namespace bulrushrun
