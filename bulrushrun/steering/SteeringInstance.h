#pragma once

#include "bulrushrun/drain.h"
#include "bulrushrun/health/LeavingNoticeQueue.h"
#include "bulrushrun/host.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/placement.h"
#include "bulrushrun/steering/LoadReportExchange.h"
#include "bulrushrun/steering/RequestProxy.h"
#include "bulrushrun/steering/StartupQueue.h"
#include "bulrushrun/steering/SteeringSettings.h"
#include "bulrushrun/steering/TargetRateAnnouncer.h"
#include "bulrushrun/store.h"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief One instance on a platform that keeps configuration and registrations in a row store.
///
/// Reads the change feeds of the operator's table and of the target table, proxies requests
/// straight to targets, and learns of the other instances by gossip. Persists nothing itself:
/// after a restart it reads everything from the store.
///
/// \tparam Adapter  adapter to the platform's protocols, chosen at compile time
template<class HostType, class Adapter>
class SteeringInstance
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;

  /// \param aOnExit  runs when the drain has ended, with the number of requests that it aborted
  SteeringInstance(HostType& aHost,
                   const SteeringSettings& aSettings,
                   std::function<void(std::size_t)> aOnExit);

  /// \brief Starts to read the store.
  void start();
  /// \brief Handles a caller's request.
  void handleCaller(HttpRequest aRequest, ResponderPtr aResponder)
  {
    if (isInitialized()) {
      mProxy.accept(std::move(aRequest), std::move(aResponder), mHost.now());
    } else {
      mStartupRequests.hold(std::move(aRequest), std::move(aResponder));
    }
  }
  /// \brief \returns true for a request that may run while earlier ones of its connection are in
  /// progress. \sa RequestProxy::mayRunAhead
  bool mayRunAhead(const HttpRequest& aRequest) const
  {
    return isInitialized() && mProxy.mayRunAhead(aRequest);
  }
  /// \brief Handles a caller's lookup of instances.
  void handleLookup(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  /// \brief Handles a readiness check of the platform.
  void handleReadiness(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  /// \brief Handles a peer's request for table changes.
  void handlePeerRequest(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  /// \brief Handles a request for the metrics.
  void handleMetrics(const ResponderPtr& aResponder);
  /// \brief Handles a gossip message of a peer.
  void handleGossip(const std::string& aBytes);
  /// \brief Applies changed bounds.
  void setBounds(const FleetBounds& aBounds);
  /// \brief Starts a graceful shutdown.
  void stop() { mDrain.begin(); }

  /// \brief \returns true when callers may use this instance.
  bool isReady() const { return isInitialized() && !mDrain.isDraining(); }
  /// \brief \returns this instance's replica of a table.
  const TableReplica& replica(ReplicatedTable aTable) const
  {
    return mReplicas[static_cast<std::size_t>(aTable)];
  }
  /// \brief Sets the callback for the moment from which a draining instance accepts no requests.
  void setOnAcceptingEnded(std::function<void()> aOnAcceptingEnded)
  {
    mOnAcceptingEnded = std::move(aOnAcceptingEnded);
  }
  /// \brief Sets the function that counts the responses not yet sent completely.
  void setOpenResponseCount(std::function<std::size_t()> aCount)
  {
    mOpenResponseCount = std::move(aCount);
  }
  /// \brief Sets the function that appends the metrics of the caller's connections.
  void setConnectionMetrics(std::function<void(std::string&)> aRender)
  {
    mConnectionMetrics = std::move(aRender);
  }
  /// \brief Sets the callback for changed limits on callers.
  void setOnLimits(std::function<void(const CallerLimits&)> aOnLimits)
  {
    mOnLimits = std::move(aOnLimits);
  }

private:
  using StoreProtocol = typename Adapter::StoreProtocol;
  using FeedReader = TableFeedReader<HostType, StoreProtocol>;
  using Table = std::vector<StoreRow>;

  /// Interval at which disconnected callers and expired entries are removed.
  static constexpr Duration kSweepPeriod = std::chrono::milliseconds(150);
  /// Time for which a caller may cache the response to a lookup.
  static constexpr Duration kLookupTimeToLive = std::chrono::seconds(2);
  /// Part of the grace period that is left for the process to exit.
  static constexpr Duration kExitMargin = std::chrono::milliseconds(300);
  /// Part of the grace period, before that, that is left for forwarding the targets' last
  /// responses.
  static constexpr Duration kForwardingMargin = std::chrono::milliseconds(250);
  /// Fraction of the grace period after which no more requests are accepted; the rest is for those
  /// in progress.
  static constexpr double kAcceptingShare = 0.5;
  /// Time after which the other instances know one that was never registered before. Until then
  /// they leave it no quota of the rate limit on cold targets.
  static constexpr Duration kNewInstanceDelay = std::chrono::seconds(2);
  /// Time for which a new instance accrues no tokens of quotas while it does not see all registered
  /// instances: those may be cut off, and would not leave it a part.
  static constexpr Duration kMaxAccrualDelay = std::chrono::seconds(60);
  /// Time after which gossip knows enough members to assign the store readers.
  static constexpr Duration kRoleSettleTime = std::chrono::seconds(1);
  /// Time after which gossip knows all running instances.
  static constexpr Duration kGossipSettleTime = std::chrono::seconds(10);
  static constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(400);
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 1024 } * 1024;
  static constexpr std::size_t kMaxLookupAddresses = 64;

  /// Fractions of the tightest propagation bound: the interval at which an instance confirms that
  /// its tables are current, and the staleness from which it reads the store itself. The difference
  /// allows for one lost response; the rest of the bound is for reading.
  static constexpr double kReplicationPeriodShare = 0.36;
  static constexpr double kStaleShare = 0.56;
  /// The store is asked after so many responses without proof: the next one often has it.
  static constexpr int kMaxUnprovenResponses = 2;
  /// The registrations of all instances are spread over this time after a rise of the epoch.
  static constexpr Duration kRewriteSpread = std::chrono::milliseconds(1000);
  /// Shortest time between two reads of a table because replicas differ.
  static constexpr Duration kMinReadAgainPeriod = std::chrono::seconds(10);

  /// \returns true when configuration and targets were read.
  bool isInitialized() const
  {
    return mSteeringState.mPlan != nullptr && mSteeringState.mTargets.isComplete();
  }
  Duration tightestPropagationBound() const;
  Duration replicationPeriod() const;
  DrainCallbacks drainCallbacks(std::function<void(std::size_t)> aOnExit);
  GossipListener gossipListener();

  // Tables of the store.
  TableFeedListener tableFeedListener(ReplicatedTable aTable);
  /// Applies rows with a function of the replica, logs the adoption, and processes what was new.
  template<class Adopt>
  void adoptRows(ReplicatedTable aTable,
                 const std::string& aSource,
                 const Table& aRows,
                 const Adopt& aAdopt);
  void onTableChanges(ReplicatedTable aTable, const Table& aChanges);
  // Epochs of the store.
  void observeEpoch(StoreEpoch aEpoch, const std::string& aSource);
  void replaceTable(ReplicatedTable aTable,
                    const std::string& aSource,
                    const Table& aRows,
                    RecordVersion aVersion,
                    StoreEpoch aEpoch);
  bool isReturnedRowFollowed(ReplicatedTable aTable, const StoreRow& aRow) const;
  void logNotFollowed(ReplicatedTable aTable, const StoreRow& aRow, const char* aReason);
  bool adoptPeerEpoch(ReplicatedTable aTable, const PeerChanges& aChanges, const Endpoint& aPeer);
  void rewriteRegistration(StoreEpoch aEpoch);
  bool areTablesRead() const;
  void startReplication();
  void setCurrent(ReplicatedTable aTable, TimePoint aWhen);
  void updateReaderRole();
  void onOperatorRow(const StoreRow& aRow);
  void applyPlanText(const std::string& aText);
  void setEvacuated(std::set<ZoneName> aZones);
  void onTargetRow(const StoreRow& aRow);
  PeerChangesRequest localProgress() const;
  PeerChangesRequest makePeerRequest() const;
  PeerChanges makePeerChanges(const ReplicationProgress& aProgress) const;
  void applyPeerChanges(const PeerChanges& aChanges, const Endpoint& aPeer);
  void onDivergence(ReplicatedTable aTable, const Endpoint& aPeer);
  std::optional<Endpoint> chooseReplicationPeer(bool aLastPeerFailed);
  void onTargetUpdate(const TargetAttempt& aAttempt);
  void onLeavingNotice(const LeavingNotice& aNotice);

  // Membership.
  void registerSelf();
  void onRegistered(Incarnation aIncarnation);
  void readInstances(const std::string& aFrom);
  void onInstances(const RowBatch& aBatch, StoreEpoch aEpoch);
  std::string ownRegistration() const;
  void joinGossipWhenReady();
  void updateMembership();
  TargetQuota coldTargetQuota(const std::vector<Member>& aMembers) const;
  TimePoint quotaAccruesFrom(const std::vector<Member>& aMembers);
  TargetQuota fleetQuota(const std::vector<Member>& aMembers) const;
  TargetQuota quotaAmong(const std::set<std::string>& aInstances) const;
  std::vector<Endpoint> selectInstances(const LookupQuery& aQuery) const;

  void respondToLookup(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  Duration acceptingPeriod() const;
  void beginDrain();
  void sweep();
  std::string metricsText();

  HostType& mHost;
  SteeringSettings mSettings;
  SteeringState mSteeringState;
  QuotaGate<HostType> mQuotaGate;
  RequestProxy<HostType, Adapter> mProxy;
  StartupQueue<HostType> mStartupRequests;
  StartupQueue<HostType> mStartupLookups;
  std::array<FeedReader, kReplicatedTables> mFeedReaders;
  std::array<TableReplica, kReplicatedTables> mReplicas;
  StoreEpochTracker mEpochs;
  /// When each table was last known to match the store's.
  std::array<TimePoint, kReplicatedTables> mSyncedAt;
  /// Peers cannot prove that their changes of the table are complete, so the store is asked.
  std::array<bool, kReplicatedTables> mStoreNeeded{};
  /// Responses in a row that did not prove that they are complete.
  std::array<int, kReplicatedTables> mUnprovenResponses{};
  std::array<TimePoint, kReplicatedTables> mReadAgainAt;
  PeerReplicator<HostType> mPeerReplication;
  PlacementAnnouncer<HostType> mPlacementAnnouncer;
  PlacementArchive<HostType, StoreProtocol> mPlacementArchive;
  LoadReportExchange<HostType> mLoadReports;
  TargetRateAnnouncer<HostType> mTargetRates;
  DrainSequence<HostType> mDrain;
  std::unique_ptr<Gossip<HostType>> mGossip;
  ReplicationRoles mReplicationRoles;
  /// Registrations read at the start: peers, all instances, those of this zone, and whether this
  /// instance was registered before.
  std::vector<Endpoint> mStoredPeers;
  std::set<std::string> mRegisteredInstances;
  std::set<std::string> mRegisteredInZone;
  bool mWasRegistered = false;
  /// The row of the previous incarnation equals the one that this incarnation would write.
  bool mRegistrationCurrent = false;
  TimePoint mRegisteredAt;
  /// When this instance began to accrue tokens of quotas.
  std::optional<TimePoint> mQuotaAccruesFrom;
  std::uint64_t mRegistrationCalls = 0;
  std::set<std::string> mReportedInvalidEntries;
  LeavingNoticeQueue mLeavingNotices;
  std::function<void(const CallerLimits&)> mOnLimits;
  std::function<void()> mOnAcceptingEnded;
  std::function<std::size_t()> mOpenResponseCount;
  std::function<void(std::string&)> mConnectionMetrics;
  bool mReadyLogged = false;
  bool mReplicationStarted = false;
};

} // namespace bulrushrun

// Definitions of the member functions: tables of the store.
#include "bulrushrun/steering/SteeringInstanceTables.h"
// Replication of the tables between peers.
#include "bulrushrun/steering/SteeringInstanceReplication.h"
// Epochs of the store.
#include "bulrushrun/steering/SteeringInstanceEpoch.h"
// Rows of the tables.
#include "bulrushrun/steering/SteeringInstanceRows.h"
// Membership.
#include "bulrushrun/steering/SteeringInstanceMembership.h"
// Lookups, readiness, metrics and the drain.
#include "bulrushrun/steering/SteeringInstanceService.h"
