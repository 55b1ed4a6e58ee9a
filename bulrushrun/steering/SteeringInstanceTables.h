#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: how the store's tables are read, followed and told.

namespace bulrushrun {

template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::tightestPropagationBound() const
{
  return std::min(mSettings.mBounds.mDrain, mSettings.mBounds.mConfigurationApply);
}

/// Readers hear from the store this often, and the others from them, even when nothing changed.
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
  , mProxy(aHost, mView)
  , mStartupRequests(aHost,
                     [this](HttpRequest aRequest, ResponderPtr aResponder, TimePoint aArrived) {
                       mProxy.accept(std::move(aRequest), std::move(aResponder), aArrived);
                     })
  , mStartupLookups(aHost,
                    [this](const HttpRequest& aRequest, const ResponderPtr& aResponder, TimePoint) {
                      answerLookup(aRequest, aResponder);
                    })
  , mFeedReaders{ Follower{ aHost,
                            aSettings.mStore,
                            Adapter::kOperatorTable,
                            { replicationPeriod(), replicationPeriod() / 2 },
                            tableFeedListener(ReplicatedTable::Operator) },
                  Follower{ aHost,
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
        [this](const PeerChanges& aNews) { applyPeerChanges(aNews); },
        [this](bool aDisappointed) { return chooseReplicationPeer(aDisappointed); } })
  , mDrain(aHost, aSettings.mBounds.mGrace - kExitMargin, drainCallbacks(std::move(aOnExit)))
{
  mView.mContext.mZones = ZoneTopology{ mSettings.mZone, mSettings.mRegions };
  setBounds(mSettings.mBounds);
  mProxy.setOnTargetUpdate([this](const TargetId& aTarget, const ResponseMetadata& aFacts) {
    onTargetUpdate(aTarget, aFacts);
  });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::setBounds(const FleetBounds& aBounds)
{
  mSettings.mBounds = aBounds;
  mView.mRetryBudgetPolicy = { aBounds.mRetryRatio, aBounds.mRetrySlack, aBounds.mRetryWindow };
  mView.mColdFactor = aBounds.mColdFactor;
  mView.mColdSlack = aBounds.mColdSlack;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::start()
{
  mHost.log(events::kInstanceStarted, "listen=" + mSettings.mListen.text());
  for (Follower& follower : mFeedReaders) {
    follower.start();
  }
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
  mCurrentAt[index] = std::max(mCurrentAt[index], aWhen);
  mView.mCurrentAt = mCurrentAt[static_cast<std::size_t>(ReplicatedTable::Targets)];
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTableChanges(ReplicatedTable aTable, const Table& aNews)
{
  for (const StoreRow& row : aNews) {
    if (aTable == ReplicatedTable::Operator) {
      onOperatorRow(row);
    } else {
      onTargetRow(row);
    }
  }
  if (aTable == ReplicatedTable::Targets &&
      mCurrentAt[static_cast<std::size_t>(aTable)] != TimePoint{}) {
    mView.mTargets.setComplete();
  }
  if (isInitialized()) {
    mStartupRequests.release();
    mStartupLookups.release();
  }
  if (areTablesRead()) {
    startReplication();
  }
  mPeerReplication.answerPendingRequests();
  joinGossipWhenReady();
}

template<class HostType, class Adapter>
bool SteeringInstance<HostType, Adapter>::areTablesRead() const
{
  return std::none_of(
    mCurrentAt.begin(), mCurrentAt.end(), [](TimePoint aWhen) { return aWhen == TimePoint{}; });
}

/// Peers tell changes. Whole tables come from the store, which many instances may read at once,
/// unless it does not answer: each of a few peers would have to send them to a large part of the
/// fleet.
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
  PeerChangesRequest own;
  const TimePoint now = mHost.now();
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    own.mProgress[i] = { mReplicas[i].completeVersion(), mReplicas[i].newestVersion() };
    own.mStaleness = std::max(own.mStaleness, now - mCurrentAt[i]);
  }
  return own;
}

template<class HostType, class Adapter>
PeerChanges SteeringInstance<HostType, Adapter>::makePeerChanges(
  const ReplicationProgress& aProgress) const
{
  PeerChanges news;
  const PeerChangesRequest own = localProgress();
  news.mStaleness = own.mStaleness;
  news.mProgress = own.mProgress;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    if (aProgress[i] != news.mProgress[i]) {
      news.mRows[i] = mReplicas[i].changesSince(aProgress[i].mCompleteVersion);
    }
  }
  return news;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::applyPeerChanges(const PeerChanges& aNews)
{
  const TimePoint currentAt = mHost.now() - aNews.mStaleness;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    const ReplicatedTable table = static_cast<ReplicatedTable>(i);
    if (aNews.mProgress[i].mCompleteVersion > RecordVersion{}) {
      setCurrent(table, currentAt);
    }
    mFeedReaders[i].advanceTo(aNews.mProgress[i].mCompleteVersion);
    onTableChanges(table, mReplicas[i].apply(aNews.mRows[i], aNews.mProgress[i].mCompleteVersion));
  }
}

/// Few instances read the store for all; one whose news grows old reads for itself.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::updateReaderRole()
{
  const Duration stale = fromSeconds(kStaleShare * toSeconds(tightestPropagationBound()));
  const bool joined = mGossip && mHost.now() - mRegisteredAt >= kRoleSettleTime;
  const bool appointed = joined && mReplicationRoles.isStoreReader(mSettings.mInstance);
  const bool reader = appointed || (areTablesRead() && localProgress().mStaleness > stale);
  for (Follower& follower : mFeedReaders) {
    follower.setActive(reader);
  }
}

} // namespace bulrushrun
