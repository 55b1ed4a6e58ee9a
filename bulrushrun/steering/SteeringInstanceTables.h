#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: reading the store's tables and replicating them between peers.

namespace bulrushrun {

template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::tightestPropagationBound() const
{
  return std::min(mSettings.mBounds.mDrain, mSettings.mBounds.mConfigurationApply);
}

/// Interval at which store readers hear from the store, and the other instances from their peers,
/// even when nothing changed.
template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::replicationPeriod() const
{
  return fromSeconds(kReplicationPeriodShare * toSeconds(tightestPropagationBound()));
}

template<class HostType, class Adapter>
SteeringInstance<HostType, Adapter>::SteeringInstance(HostType& aHost,
                                                      const SteeringSettings& aSettings,
                                                      std::function<void(std::size_t)> aOnExit)
  : mHost(aHost)
  , mSettings(aSettings)
  , mProxy(aHost, mSteeringState)
  , mStartupRequests(aHost,
                     [this](HttpRequest aRequest, ResponderPtr aResponder, TimePoint aArrived) {
                       mProxy.accept(std::move(aRequest), std::move(aResponder), aArrived);
                     })
  , mStartupLookups(aHost,
                    [this](const HttpRequest& aRequest, const ResponderPtr& aResponder, TimePoint) {
                      respondToLookup(aRequest, aResponder);
                    })
  , mFeedReaders{ FeedReader{ aHost,
                              aSettings.mStore,
                              Adapter::kOperatorTable,
                              { replicationPeriod(), replicationPeriod() / 2 },
                              tableFeedListener(ReplicatedTable::Operator) },
                  FeedReader{ aHost,
                              aSettings.mStore,
                              Adapter::kTargetTable,
                              { replicationPeriod(), replicationPeriod() / 2 },
                              tableFeedListener(ReplicatedTable::Targets) } }
  , mPeerReplication(
      aHost,
      aSettings.mPeerKeys,
      replicationPeriod(),
      { [this] { return localProgress(); },
        [this](const ReplicationProgress& aProgress) { return makePeerChanges(aProgress); },
        [this](const PeerChanges& aChanges) { applyPeerChanges(aChanges); },
        [this](bool aLastPeerFailed) { return chooseReplicationPeer(aLastPeerFailed); } })
  , mPlacementAnnouncer(aHost, mProxy.placements())
  , mPlacementArchive(aHost,
                      mProxy.placements(),
                      { aSettings.mStore,
                        Adapter::kInstanceTable,
                        aSettings.mPeerKeys,
                        [this] { return chooseReplicationPeer(true); } })
  , mLoadReports(aHost,
                 mSteeringState.mContext.mZones,
                 [this](const TargetLoad& aLoad) { mProxy.onPeerLoad(aLoad); })
  , mDrain(aHost, aSettings.mBounds.mGrace - kExitMargin, drainCallbacks(std::move(aOnExit)))
{
  mSteeringState.mContext.mZones = ZoneTopology{ mSettings.mZone, mSettings.mRegions };
  setBounds(mSettings.mBounds);
  mProxy.setOnTargetUpdate([this](const TargetAttempt& aAttempt) { onTargetUpdate(aAttempt); });
  mProxy.setOnLoadReport([this](const TargetId& aTarget, const LoadReport& aReport) {
    mLoadReports.onReport(aTarget, aReport);
  });
  mProxy.setOnPlaced(
    [this](const Placement& aPlacement) { mPlacementAnnouncer.announce(aPlacement); });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::setBounds(const FleetBounds& aBounds)
{
  mSettings.mBounds = aBounds;
  mSteeringState.mRetryBudgetPolicy = { aBounds.mRetryRatio,
                                        aBounds.mRetrySlack,
                                        aBounds.mRetryWindow };
  mSteeringState.mColdFactor = aBounds.mColdFactor;
  mSteeringState.mColdSlack = aBounds.mColdSlack;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::start()
{
  mHost.log(events::kInstanceStarted, "listen=" + mSettings.mListen.text());
  for (FeedReader& feedReader : mFeedReaders) {
    feedReader.start();
  }
  mPlacementArchive.start();
  readInstances("");
  sweep();
}

template<class HostType, class Adapter>
TableFeedListener SteeringInstance<HostType, Adapter>::tableFeedListener(ReplicatedTable aTable)
{
  const std::size_t index = static_cast<std::size_t>(aTable);
  const std::string name =
    std::string("table=") + (aTable == ReplicatedTable::Operator ? "operator" : "targets");
  TableFeedListener listener;
  listener.mOnSnapshot = [this, aTable, index](const Table& aRows, RecordVersion aVersion) {
    setCurrent(aTable, mHost.now());
    onTableChanges(aTable, mReplicas[index].applySnapshot(aRows, aVersion));
  };
  listener.mOnChanges = [this, aTable, index](const Table& aRows) {
    setCurrent(aTable, mHost.now());
    onTableChanges(aTable, mReplicas[index].apply(aRows, mFeedReaders[index].version()));
  };
  listener.mOnAvailability = [this, index, name](bool aAvailable, const std::string& aReason) {
    startReplication();
    mHost.log(aAvailable ? events::kFeedRegained : events::kFeedLost,
              name + " version=" + std::to_string(mReplicas[index].completeVersion().value()) +
                (aAvailable ? "" : " reason=\"" + aReason + "\""));
  };
  return listener;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::setCurrent(ReplicatedTable aTable, TimePoint aWhen)
{
  const std::size_t index = static_cast<std::size_t>(aTable);
  mSyncedAt[index] = std::max(mSyncedAt[index], aWhen);
  mSteeringState.mSyncedAt = mSyncedAt[static_cast<std::size_t>(ReplicatedTable::Targets)];
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTableChanges(ReplicatedTable aTable,
                                                         const Table& aChanges)
{
  for (const StoreRow& row : aChanges) {
    if (aTable == ReplicatedTable::Operator) {
      onOperatorRow(row);
    } else {
      onTargetRow(row);
    }
  }
  if (aTable == ReplicatedTable::Targets &&
      mSyncedAt[static_cast<std::size_t>(aTable)] != TimePoint{}) {
    mSteeringState.mTargets.setComplete();
  }
  if (isInitialized()) {
    mStartupRequests.release();
    mStartupLookups.release();
  }
  if (areTablesRead()) {
    startReplication();
  }
  mPeerReplication.respondToPendingRequests();
  joinGossipWhenReady();
}

template<class HostType, class Adapter>
bool SteeringInstance<HostType, Adapter>::areTablesRead() const
{
  return std::none_of(
    mSyncedAt.begin(), mSyncedAt.end(), [](TimePoint aWhen) { return aWhen == TimePoint{}; });
}

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
    local.mProgress[i] = { mReplicas[i].completeVersion(), mReplicas[i].newestVersion() };
    local.mStaleness = std::max(local.mStaleness, now - mSyncedAt[i]);
  }
  return local;
}

template<class HostType, class Adapter>
PeerChanges SteeringInstance<HostType, Adapter>::makePeerChanges(
  const ReplicationProgress& aProgress) const
{
  PeerChanges changes;
  const PeerChangesRequest local = localProgress();
  changes.mStaleness = local.mStaleness;
  changes.mProgress = local.mProgress;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    if (aProgress[i] != changes.mProgress[i]) {
      changes.mRows[i] = mReplicas[i].changesSince(aProgress[i].mCompleteVersion);
    }
  }
  return changes;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::applyPeerChanges(const PeerChanges& aChanges)
{
  const TimePoint currentAt = mHost.now() - aChanges.mStaleness;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    const ReplicatedTable table = static_cast<ReplicatedTable>(i);
    if (aChanges.mProgress[i].mCompleteVersion > RecordVersion{}) {
      setCurrent(table, currentAt);
    }
    mFeedReaders[i].advanceTo(aChanges.mProgress[i].mCompleteVersion);
    onTableChanges(table,
                   mReplicas[i].apply(aChanges.mRows[i], aChanges.mProgress[i].mCompleteVersion));
  }
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
  for (FeedReader& feedReader : mFeedReaders) {
    feedReader.setActive(readsStore);
  }
}

} // namespace bulrushrun
