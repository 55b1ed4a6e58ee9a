#pragma once

#include "bulrushrun/instance.h"
#include "scenario/FakeTarget.h"
#include "scenario/InvariantChecker.h"
#include "scenario/VirtualHost.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::scenario {

/// \brief Parameters of a simulation.
struct SimulationOptions
{
  std::string mConfiguration;
  std::map<ZoneName, int> mInstances;
  ZoneName mPlatformZone;
  Duration mResponseTime{ 8000 };
  Duration mStoreServiceTime{ 3000 };
  Duration mDrainLimit = std::chrono::seconds(30);
  std::uint64_t mSeed = 1;
  /// Prints the events of the nodes, injected faults and violations with their virtual time.
  bool mTrace = false;
};

/// \brief Real instances with simulated network, targets and platform, under a virtual clock.
///
/// A node is the process of one instance: it may crash and start again as a new incarnation.
class Simulation
{
public:
  Simulation(const SimulationOptions& aOptions, const Document& aDocument);

  VirtualNetwork& network() { return mNetwork; }
  FakePlatform& platform() { return mPlatform; }
  InvariantChecker& checker() { return mChecker; }
  const Document& document() const { return mDocument; }

  std::size_t nodeCount() const { return mNodes.size(); }
  std::size_t targetCount() const { return mTargetOrder.size(); }
  FakeTarget& target(std::size_t aIndex) { return *mTargetOrder[aIndex]; }
  /// \brief \returns the index of a node by its id, if there is one.
  std::optional<NodeIndex> nodeByName(const std::string& aName) const;
  /// \brief \returns the target with that endpoint, or nullptr.
  FakeTarget* targetByName(const std::string& aName);
  Instance<VirtualHost>& instance(NodeIndex aNode) { return *mNodes[aNode].mInstance; }
  const Settings& settings(NodeIndex aNode) const { return mNodes[aNode].mSettings; }

  /// \brief Prints a line with the virtual time, if tracing is on.
  void trace(const std::string& aText);
  void crash(NodeIndex aNode);
  void restart(NodeIndex aNode);
  void stop(NodeIndex aNode);
  /// \brief Applies a configuration at a node as an operator does, based on that node's version.
  void applyConfiguration(NodeIndex aNode, const std::string& aText);

  /// \brief Sends a request from a zone to an instance. \returns a function that closes the
  /// sender's connection.
  std::function<void()> callInstance(const ZoneName& aFrom,
                                     const Endpoint& aInstance,
                                     const HttpRequest& aRequest,
                                     const ResponseSink& aResponseSink);

private:
  struct Node
  {
    Settings mSettings;
    std::unique_ptr<VirtualHost> mHost;
    std::unique_ptr<Instance<VirtualHost>> mInstance;
    std::vector<std::weak_ptr<VirtualResponder>> mOpenResponders;
    std::uint64_t mIncarnations = 0;
  };

  void addNodes(const SimulationOptions& aOptions);
  void addTargets(const SimulationOptions& aOptions);
  FakeTarget::ShiftCap shiftCapOf(const SimulationOptions& aOptions,
                                  const Service& aService,
                                  const ZoneName& aZone) const;
  void startNode(NodeIndex aNode);
  void onExit(NodeIndex aNode, std::size_t aCut);
  std::uint64_t openRequestCount(NodeIndex aNode);
  std::function<void()> deliverRequest(NodeIndex aFrom,
                                       const Endpoint& aTo,
                                       const HttpRequest& aRequest,
                                       const ResponseSink& aResponseSink);
  std::function<void()> callNode(const ZoneName& aFrom,
                                 NodeIndex aNode,
                                 const HttpRequest& aRequest,
                                 const ResponseSink& aResponseSink);
  void callTarget(const ZoneName& aFrom,
                  FakeTarget& aTarget,
                  const HttpRequest& aRequest,
                  const ResponseSink& aResponseSink);
  ResponseSink delayedSink(const ZoneName& aFrom, const ZoneName& aTo, ResponseSink aSink);

  const Document& mDocument;
  std::uint64_t mSeed;
  bool mTrace;
  VirtualNetwork mNetwork;
  InvariantChecker mChecker;
  FakePlatform mPlatform;
  std::vector<Node> mNodes;
  std::map<Endpoint, NodeIndex> mNodesByListenEndpoint;
  std::map<Endpoint, NodeIndex> mNodesByPeerEndpoint;
  std::map<Endpoint, std::unique_ptr<FakeTarget>> mTargets;
  std::vector<FakeTarget*> mTargetOrder;
  /// Former incarnations of nodes, kept alive because pending callbacks may refer to them.
  std::vector<std::unique_ptr<Instance<VirtualHost>>> mFormerInstances;
  std::vector<std::unique_ptr<VirtualHost>> mFormerHosts;
};

} // namespace bulrushrun::scenario
