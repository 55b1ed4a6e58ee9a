#pragma once

#include "bulrushrun/drain.h"
#include "bulrushrun/host.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/steering/RequestProxy.h"
#include "bulrushrun/steering/StartupQueue.h"
#include "bulrushrun/steering/SteeringSettings.h"
#include "bulrushrun/store.h"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief One instance on a platform that keeps configuration and registrations in a rows store.
///
/// Follows the operator's table and the targets' table, carries requests straight to targets, and
/// knows the other instances by gossip. Keeps nothing: whatever it needs after a restart, it reads
/// from the store.
///
/// \tparam Adapter  translator between the platform and the product, chosen at compile time
template<class HostType, class Adapter>
class SteeringInstance
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;

  /// \param aOnExit  runs when a planned stop has ended, with the number of requests it cut
  SteeringInstance(HostType& aHost,
                   const SteeringSettings& aSettings,
                   std::function<void(std::size_t)> aOnExit);

  /// \brief Begins to follow the store.
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
  /// \brief Handles a caller's look-up of instances.
  void handleLookup(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  /// \brief Handles the platform's question whether this instance is ready.
  void handleReadiness(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  /// \brief Handles a peer's question for news.
  void handlePeerRequest(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  /// \brief Handles a request for the metrics.
  void handleMetrics(const ResponderPtr& aResponder);
  /// \brief Handles a control message of a peer.
  void handlePeer(const std::string& aBytes);
  /// \brief Takes over bounds that changed.
  void setBounds(const FleetBounds& aBounds);
  /// \brief Begins a planned stop.
  void stop() { mDrain.begin(); }

  /// \brief \returns true when callers may use this instance.
  bool isReady() const { return isInitialized() && !mDrain.isDraining(); }
  /// \brief Sets what runs when a planned stop no longer takes requests.
  void setOnAcceptingEnded(std::function<void()> aOnClosed)
  {
    mOnAcceptingEnded = std::move(aOnClosed);
  }
  /// \brief Sets what counts the answers that have not gone out whole.
  void setOpenResponseCount(std::function<std::size_t()> aCount)
  {
    mOpenResponseCount = std::move(aCount);
  }
  /// \brief Sets what runs when the limits on callers change.
  void setOnLimits(std::function<void(const CallerLimits&)> aOnLimits)
  {
    mOnLimits = std::move(aOnLimits);
  }

private:
  using StoreProtocol = typename Adapter::StoreProtocol;
  using Follower = TableFeedReader<HostType, StoreProtocol>;
  using Table = std::vector<StoreRow>;

  /// Callers that left are looked for, and what has lapsed is dropped, this often.
  static constexpr Duration kSweepPeriod = std::chrono::milliseconds(150);
  /// Time for which a caller may keep a look-up's answer.
  static constexpr Duration kLookupSpan = std::chrono::seconds(2);
  /// Part of the grace that is left for the process to end.
  static constexpr Duration kExitMargin = std::chrono::milliseconds(300);
  /// Part of the grace after which no more requests are taken: the rest is for those in progress.
  static constexpr double kAcceptingShare = 0.5;
  /// Time after which the others know an instance that was never there before. Until then they do
  /// not leave it a share of what cold targets may get.
  static constexpr Duration kNewInstanceDelay = std::chrono::seconds(2);
  /// Time after which gossip knows enough of the others to tell who reads the store.
  static constexpr Duration kRoleSettleTime = std::chrono::seconds(1);
  /// Time after which gossip knows all instances that are running.
  static constexpr Duration kGossipSettleTime = std::chrono::seconds(10);
  static constexpr Duration kWriteLimit = std::chrono::milliseconds(1500);
  static constexpr Duration kWritePause = std::chrono::milliseconds(400);
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{ 1024 } * 1024;
  static constexpr std::size_t kMaxLookupAddresses = 64;

  /// Parts of the tightest bound on news: how often an instance hears that it is current, and the
  /// age from which it asks the store itself. Between them lies one lost answer; what is left of
  /// the bound is for reading.
  static constexpr double kReplicationPeriodShare = 0.36;
  static constexpr double kStaleShare = 0.56;

  /// \returns true when configuration and targets are known.
  bool isInitialized() const { return mView.mPlan != nullptr && mView.mTargets.isComplete(); }
  Duration tightestPropagationBound() const;
  Duration replicationPeriod() const;
  DrainCallbacks drainCallbacks(std::function<void(std::size_t)> aOnExit);
  GossipListener gossipListener();

  // The store's tables.
  TableFeedListener tableFeedListener(ReplicatedTable aTable);
  void onTableChanges(ReplicatedTable aTable, const Table& aNews);
  bool areTablesRead() const;
  void startReplication();
  void setCurrent(ReplicatedTable aTable, TimePoint aWhen);
  void updateReaderRole();
  void onOperatorRow(const StoreRow& aRow);
  void applyPlanText(const std::string& aText);
  void setEvacuated(std::set<ZoneName> aZones);
  void onTargetRow(const StoreRow& aRow);
  PeerChangesRequest localProgress() const;
  PeerChanges makePeerChanges(const ReplicationProgress& aProgress) const;
  void applyPeerChanges(const PeerChanges& aNews);
  std::optional<Endpoint> chooseReplicationPeer(bool aDisappointed);
  void onTargetUpdate(const TargetId& aTarget, const ResponseMetadata& aFacts);

  // The other instances.
  void registerSelf();
  void onRegistered(RecordVersion aVersion);
  void readInstances(const std::string& aFrom);
  void onInstances(const RowBatch& aBatch);
  std::string ownRegistration() const;
  void joinGossipWhenReady();
  void updateMembership();
  ColdTargetQuota coldTargetQuota(const std::vector<Member>& aMembers) const;
  std::vector<Endpoint> instancesFor(const LookupQuery& aQuery) const;

  void answerLookup(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  Duration acceptingPeriod() const;
  void beginDrain();
  void sweep();
  std::string metricsText() const;

  HostType& mHost;
  SteeringSettings mSettings;
  SteeringState mView;
  RequestProxy<HostType, Adapter> mProxy;
  StartupQueue<HostType> mStartupRequests;
  StartupQueue<HostType> mStartupLookups;
  std::array<Follower, kReplicatedTables> mFeedReaders;
  std::array<TableReplica, kReplicatedTables> mReplicas;
  /// When the copy of each table was current at the store.
  std::array<TimePoint, kReplicatedTables> mCurrentAt;
  PeerReplicator<HostType> mPeerReplication;
  DrainSequence<HostType> mDrain;
  std::unique_ptr<Gossip<HostType>> mGossip;
  ReplicationRoles mReplicationRoles;
  /// What the store named at the start: peers, instances of this zone, and whether this one was
  /// among them.
  std::vector<Endpoint> mStoredPeers;
  std::set<std::string> mRegisteredInZone;
  bool mWasRegistered = false;
  /// The own row of an earlier life says what this one would write.
  bool mRegistrationCurrent = false;
  TimePoint mRegisteredAt;
  std::uint64_t mRegistrationCalls = 0;
  std::set<std::string> mReportedInvalidEntries;
  std::function<void(const CallerLimits&)> mOnLimits;
  std::function<void()> mOnAcceptingEnded;
  std::function<std::size_t()> mOpenResponseCount;
  bool mReadyLogged = false;
  bool mReplicationStarted = false;
};

} // namespace bulrushrun

// Member functions, by duty: the store's tables.
#include "bulrushrun/steering/SteeringInstanceTables.h"
// Their rows.
#include "bulrushrun/steering/SteeringInstanceRows.h"
// The other instances.
#include "bulrushrun/steering/SteeringInstanceMembership.h"
// Look-ups, readiness, metrics and the planned stop.
#include "bulrushrun/steering/SteeringInstanceService.h"
