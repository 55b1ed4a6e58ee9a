#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: replicating the store's tables between peers.

namespace bulrushrun {

/// Peers replicate changes only. Complete tables are read from the store, which serves many
/// instances at once; each of a few peers would have to send them to a large part of the fleet.
/// Only when the store is unavailable do they come from a peer.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::startReplication()
{
  if (!std::exchange(mReplicationStarted, true)) {
    mPeerReplication.start();
  }
}

template<class HostType, class Adapter>
PeerChangesRequest SteeringInstance<HostType, Adapter>::localProgress() const
{
  PeerChangesRequest local;
  const TimePoint now = mHost.now();
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    local.mProgress[i] = { mReplicas[i].completeVersion(),
                           mReplicas[i].newestVersion(),
                           mReplicas[i].epoch() };
    local.mStaleness = std::max(local.mStaleness, now - mSyncedAt[i]);
  }
  return local;
}

/// Requests the whole table of a peer when only the store could prove that changes are complete, or
/// send the table of a newer epoch, and the store does not respond.
template<class HostType, class Adapter>
PeerChangesRequest SteeringInstance<HostType, Adapter>::makePeerRequest() const
{
  PeerChangesRequest request = localProgress();
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    const bool isBehind = mReplicas[i].epoch() < mEpochs.epoch();
    if ((mStoreNeeded[i] || isBehind) && mFeedReaders[i].isFailing()) {
      // A peer with an older table does not send it.
      request.mProgress[i] = { {}, {}, mEpochs.epoch() };
    }
  }
  return request;
}

/// Versions of different epochs can't be compared: to a requester of another epoch, only the epoch
/// is stated, or the whole table sent, if that is requested and of use.
template<class HostType, class Adapter>
PeerChanges SteeringInstance<HostType, Adapter>::makePeerChanges(
  const ReplicationProgress& aProgress) const
{
  PeerChanges changes;
  const PeerChangesRequest local = localProgress();
  changes.mStaleness = local.mStaleness;
  changes.mProgress = local.mProgress;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    const StoreEpoch epoch = mReplicas[i].epoch();
    const bool wantsWholeTable =
      aProgress[i].mCompleteVersion == RecordVersion{} && aProgress[i].mEpoch <= epoch;
    if (aProgress[i].mEpoch != epoch && !wantsWholeTable) {
      changes.mProgress[i] = { {}, {}, epoch };
      continue;
    }
    changes.mSummaries[i] = { mReplicas[i].removalsKnownFrom(), mReplicas[i].digest() };
    if (aProgress[i] != changes.mProgress[i]) {
      changes.mRows[i] = mReplicas[i].changesSince(aProgress[i].mCompleteVersion);
    }
  }
  return changes;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::applyPeerChanges(const PeerChanges& aChanges,
                                                           const Endpoint& aPeer)
{
  const TimePoint currentAt = mHost.now() - aChanges.mStaleness;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    const ReplicatedTable table = static_cast<ReplicatedTable>(i);
    if (!adoptPeerEpoch(table, aChanges, aPeer)) {
      continue;
    }
    PeerAdoption adoption;
    adoptRows(table, "peer peer=" + aPeer.text(), aChanges.mRows[i], [&](TableReplica& aReplica) {
      adoption = adoptPeerRows(aReplica,
                               aChanges.mRows[i],
                               aChanges.mRequested[i],
                               aChanges.mProgress[i],
                               aChanges.mSummaries[i]);
      if (adoption.mComplete) {
        setCurrent(table, currentAt);
        mFeedReaders[i].advanceTo(aReplica.epoch(), aReplica.completeVersion());
      }
      return adoption.mApplied;
    });
    if (adoption.mComplete) {
      mUnprovenResponses[i] = 0;
      mStoreNeeded[i] = false;
    } else if (aChanges.mProgress[i].mCompleteVersion > RecordVersion{}) {
      mStoreNeeded[i] = ++mUnprovenResponses[i] >= kMaxUnprovenResponses;
    }
    if (adoption.mDiverged) {
      onDivergence(table, aPeer);
    }
  }
  updateReaderRole();
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onDivergence(ReplicatedTable aTable,
                                                       const Endpoint& aPeer)
{
  TimePoint& readAgainAt = mReadAgainAt[static_cast<std::size_t>(aTable)];
  const TimePoint now = mHost.now();
  if (now < readAgainAt) {
    return;
  }
  readAgainAt = now + kMinReadAgainPeriod;
  mHost.log(events::kReplicaDiverged,
            "table=" + tableText(aTable) + " peer=" + aPeer.text() +
              " version=" + std::to_string(replica(aTable).completeVersion().value()));
  mFeedReaders[static_cast<std::size_t>(aTable)].readAgain();
}

/// A few instances read the store for the fleet; one whose tables become stale reads it, too.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::updateReaderRole()
{
  const Duration maxStaleness = fromSeconds(kStaleShare * toSeconds(tightestPropagationBound()));
  const bool hasJoined = mGossip && mHost.now() - mRegisteredAt >= kRoleSettleTime;
  const bool isAssignedReader = hasJoined && mReplicationRoles.isStoreReader(mSettings.mInstance);
  const bool readsStore =
    isAssignedReader || (areTablesRead() && localProgress().mStaleness > maxStaleness);
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    mFeedReaders[i].setActive(readsStore || mStoreNeeded[i]);
  }
}

} // namespace bulrushrun
