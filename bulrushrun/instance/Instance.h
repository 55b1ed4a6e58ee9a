#pragma once

#include "bulrushrun/administration.h"
#include "bulrushrun/configuration.h"
#include "bulrushrun/drain.h"
#include "bulrushrun/forwarding.h"
#include "bulrushrun/health.h"
#include "bulrushrun/host.h"
#include "bulrushrun/instance/StatusReport.h"
#include "bulrushrun/lookup.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief One instance of the system, composed of all modules. All instances have the same role.
///
/// Runs on any Host: that of the daemon, or that of the scenario runner with its virtual clock.
template<class HostType>
class Instance
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;

  /// \param aOnExit  runs after a graceful shutdown, with the number of requests that it aborted
  Instance(HostType& aHost, const Settings& aSettings, std::function<void(std::size_t)> aOnExit);

  /// \brief Starts gossip, health checks and the polling of the configuration.
  void start();

  /// \brief Handles a request from a caller or a relaying peer.
  void handleCaller(HttpRequest aRequest, ResponderPtr aResponder);
  /// \brief Handles a request to the administration API.
  void handleAdmin(const HttpRequest& aRequest, const ResponderPtr& aResponder)
  {
    mAdmin.handle(aRequest, aResponder);
  }
  /// \brief Handles a control message from a peer.
  void handleGossip(const std::string& aBytes) { mGossip.receive(aBytes); }
  /// \brief \returns the precomputed response to a lookup path, or nullptr.
  const std::string* lookup(std::string_view aPath) const { return mLookup.find(aPath); }

  /// \brief Starts a graceful shutdown; a second call shortens it.
  void stop() { mDrain.begin(); }

  /// \brief \returns true once a configuration is active, so that callers may use this instance.
  bool isReady() const { return mConfiguration.active().mDocument != nullptr; }
  /// \brief \returns the active configuration of this instance.
  const ActiveConfiguration& configuration() const { return mConfiguration.active(); }
  const Gossip<HostType>& gossip() const { return mGossip; }
  Forwarder<HostType>& forwarder() { return mForwarder; }
  Metrics& metrics() { return mMetrics; }

private:
  static constexpr Duration kSweepPeriod = std::chrono::milliseconds(200);
  static constexpr Duration kInstanceListPeriod = std::chrono::seconds(1);
  static constexpr std::size_t kPollersPerZone = 2;
  /// Fleet-wide limit of claim transactions per second, divided among the live instances.
  static constexpr double kFleetTransactionsPerSecond = 300;

  static Member selfMember(const Settings& aSettings, UnixSeconds aNow);
  GossipListener gossipListener();
  DrainCallbacks drainCallbacks(std::function<void(std::size_t)> aOnExit);
  AdminCallbacks adminCallbacks();

  void rebuildFleetView();
  void sweep();
  void pollInstanceList();
  void onInstanceList(const InstanceListResult& aResult);
  void pollUncheckedTargets();
  void onPause();
  void requestInstanceList();
  void onHealthCheck(const TargetId& aTarget, bool aLeaving);
  void updateLeaving();
  std::vector<LiveInstance> liveInstances() const;
  std::vector<TargetSpec> ownedTargets(bool aUncheckedOnly) const;
  bool isPoller() const;
  std::string status();
  std::string explain(const std::string& aQuery);

  HostType& mHost;
  Settings mSettings;
  Metrics mMetrics;
  ConfigurationSync<HostType> mConfiguration;
  Gossip<HostType> mGossip;
  Forwarder<HostType> mForwarder;
  HealthChecker<HostType> mHealth;
  DrainSequence<HostType> mDrain;
  AdminApi<HostType> mAdmin;
  std::shared_ptr<const FleetView> mView;
  LookupTable mLookup;
  LeavingTargets mLeaving;
  bool mPlatformAvailable = true;
};

} // namespace bulrushrun

// Member functions, by task: construction and dispatch of requests.
#include "bulrushrun/instance/InstanceWiring.h"
// Periodic tasks.
#include "bulrushrun/instance/InstancePeriodicTasks.h"
