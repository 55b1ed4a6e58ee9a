#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: reading the store's tables.

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
  , mQuotaGate(aHost, mSettings.mInstance, mSettings.mPeer)
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
        [this] { return makePeerRequest(); },
        [this](const ReplicationProgress& aProgress) { return makePeerChanges(aProgress); },
        [this](const PeerChanges& aChanges, const Endpoint& aPeer) {
          applyPeerChanges(aChanges, aPeer);
        },
        [this](bool aLastPeerFailed) { return chooseReplicationPeer(aLastPeerFailed); } })
  , mPlacementAnnouncer(aHost, mProxy.placements())
  , mPlacementArchive(aHost,
                      mProxy.placements(),
                      { aSettings.mStore,
                        Adapter::kInstanceTable,
                        aSettings.mPeerKeys,
                        [this] { return chooseReplicationPeer(true); } })
  , mLoadReports(
      aHost,
      mSteeringState.mContext.mZones,
      [this](const TargetLoad& aLoad) { mProxy.onPeerLoad(aLoad); },
      [this](const TargetSlowdown& aSlowdown) { mProxy.onPeerSlowdown(aSlowdown); })
  , mTargetRates(aHost, [this](const TargetRate& aRate) { mProxy.onPeerRate(aRate); })
  , mDrain(aHost, drainCallbacks(std::move(aOnExit)))
{
  mSteeringState.mContext.mZones = ZoneTopology{ mSettings.mZone, mSettings.mRegions };
  mSteeringState.mContext.mTargets = &mSteeringState.mTargets;
  mSteeringState.mContext.mInstanceHash = hashText(mSettings.mInstance.text());
  setBounds(mSettings.mBounds);
  mProxy.setQuotaGate(mQuotaGate);
  mProxy.setOnTargetUpdate([this](const TargetAttempt& aAttempt) { onTargetUpdate(aAttempt); });
  mProxy.setOnLoadReport([this](const TargetId& aTarget, const LoadReport& aReport) {
    mLoadReports.onReport(aTarget, aReport);
  });
  mProxy.setOnTargetRate([this](const TargetRate& aRate) { mTargetRates.announce(aRate); });
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
  mSteeringState.mContext.mMaxShift = aBounds.mMaxShift;
  mQuotaGate.setBounds(aBounds.mQuota);
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
  const std::string name = "table=" + tableText(aTable);
  TableFeedListener listener;
  listener.mOnSnapshot =
    [this, aTable, index](const Table& aRows, RecordVersion aVersion, TimePoint aMadeAt) {
      const StoreEpoch epoch = mFeedReaders[index].epoch();
      observeEpoch(epoch, "store");
      setCurrent(aTable, aMadeAt);
      mStoreNeeded[index] = false;
      mUnprovenResponses[index] = 0;
      if (epoch > mReplicas[index].epoch()) {
        replaceTable(aTable, "read", aRows, aVersion, epoch);
        return;
      }
      adoptRows(aTable, "read", aRows, [&](TableReplica& aReplica) {
        return aReplica.applySnapshot(aRows, aVersion);
      });
    };
  listener.mOnChanges = [this, aTable, index](const Table& aRows, TimePoint aMadeAt) {
    setCurrent(aTable, aMadeAt);
    mStoreNeeded[index] = false;
    mUnprovenResponses[index] = 0;
    updateReaderRole();
    adoptRows(aTable, "feed", aRows, [&](TableReplica& aReplica) {
      return aReplica.apply(aRows, mFeedReaders[index].version());
    });
  };
  listener.mOnNewEpoch = [this](StoreEpoch aEpoch) { observeEpoch(aEpoch, "store"); };
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
template<class Adopt>
void SteeringInstance<HostType, Adapter>::adoptRows(ReplicatedTable aTable,
                                                    const std::string& aSource,
                                                    const Table& aRows,
                                                    const Adopt& aAdopt)
{
  TableReplica& replica = mReplicas[static_cast<std::size_t>(aTable)];
  const RecordVersion before = replica.completeVersion();
  const Table applied = aAdopt(replica);
  if (!aRows.empty() || replica.completeVersion() != before) {
    mHost.log(events::kRowsAdopted,
              "table=" + tableText(aTable) + " source=" + aSource +
                " from=" + std::to_string(before.value()) +
                " to=" + std::to_string(replica.completeVersion().value()) +
                " newest=" + std::to_string(replica.newestVersion().value()) + " rows=" +
                std::to_string(aRows.size()) + " applied=" + std::to_string(applied.size()));
  }
  onTableChanges(aTable, applied);
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTableChanges(ReplicatedTable aTable,
                                                         const Table& aChanges)
{
  // Before the rows are processed: decoding a large configuration takes a slow instance long, and
  // the time would add up over the peers between the store and the last instance.
  mPeerReplication.respondToPendingRequests();
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
  joinGossipWhenReady();
}

template<class HostType, class Adapter>
bool SteeringInstance<HostType, Adapter>::areTablesRead() const
{
  return std::none_of(
    mSyncedAt.begin(), mSyncedAt.end(), [](TimePoint aWhen) { return aWhen == TimePoint{}; });
}

} // namespace bulrushrun
