#include "scenario/Simulation.h"

#include <algorithm>
#include <cstdio>

namespace bulrushrun::scenario {

namespace {

constexpr std::uint32_t kFirstAddress = 0x7f010000;
constexpr const char* kOperatorToken = "scenario-operator-token";

Settings settingsFor(const ZoneName& aZone, std::size_t aNumber, Duration aDrainLimit)
{
  Settings settings;
  settings.mZone = aZone;
  settings.mInstance = InstanceId{ aZone.text() + "-" + std::to_string(aNumber) };
  const std::uint32_t address = kFirstAddress + static_cast<std::uint32_t>(aNumber);
  settings.mListen = { address, 8080 };
  settings.mAdmin = { address, 8081 };
  settings.mPeer = { address, 8082 };
  settings.mSeeds = { { kFirstAddress + 1, 8082 }, { kFirstAddress + 2, 8082 } };
  settings.mPeerKeys = { "scenario-peer-key" };
  settings.mViewerToken = "scenario-viewer-token";
  settings.mOperatorToken = kOperatorToken;
  settings.mDrainLimit = aDrainLimit;
  return settings;
}

} // namespace

Simulation::Simulation(const SimulationOptions& aOptions, const Document& aDocument)
  : mDocument(aDocument)
  , mSeed(aOptions.mSeed)
  , mTrace(aOptions.mTrace)
  , mNetwork(aDocument, aOptions.mSeed)
  , mPlatform(mNetwork, aOptions.mPlatformZone, aOptions.mStoreServiceTime)
{
  addTargets(aOptions);
  addNodes(aOptions);
}

void Simulation::addTargets(const SimulationOptions& aOptions)
{
  for (const Tenant& tenant : mDocument.mTenants) {
    for (const Service& service : tenant.mServices) {
      for (const TargetSpec& spec : service.mTargets) {
        std::unique_ptr<FakeTarget>& slot = mTargets[spec.mEndpoint];
        slot = std::make_unique<FakeTarget>(mNetwork,
                                            mChecker,
                                            spec,
                                            aOptions.mResponseTime,
                                            shiftCapOf(aOptions, service, spec.mZone));
        slot->mOnLateRequest = [this, spec] {
          trace("late request to leaving target " + spec.mId.text());
        };
        mTargetOrder.push_back(slot.get());
      }
    }
  }
}

/// The configured share of the zone's slots, plus one for each instance of its region: the pool of
/// each instance may use at least one slot.
FakeTarget::ShiftCap Simulation::shiftCapOf(const SimulationOptions& aOptions,
                                            const Service& aService,
                                            const ZoneName& aZone) const
{
  int slots = 0;
  for (const TargetSpec& target : aService.mTargets) {
    slots += target.mZone == aZone ? target.mSlots : 0;
  }
  int owners = 0;
  for (const ZoneName& zone : mDocument.regionOf(aZone)->mZones) {
    const auto count = aOptions.mInstances.find(zone);
    owners += count == aOptions.mInstances.end() ? 0 : count->second;
  }
  return { aZone.text() + " " + aService.mName.text(),
           mDocument.mDefaults.mShiftCapTotal * slots + owners };
}

void Simulation::addNodes(const SimulationOptions& aOptions)
{
  for (const auto& [zone, count] : aOptions.mInstances) {
    for (int i = 0; i < count; ++i) {
      const NodeIndex index = mNetwork.addNode(zone);
      mNodes.emplace_back();
      mNodes.back().mSettings = settingsFor(zone, index + 1, aOptions.mDrainLimit);
      mNodesByListenEndpoint[mNodes.back().mSettings.mListen] = index;
      mNodesByPeerEndpoint[mNodes.back().mSettings.mPeer] = index;
    }
  }
  for (NodeIndex node = 0; node < mNodes.size(); ++node) {
    startNode(node);
  }
}

void Simulation::startNode(NodeIndex aNode)
{
  Node& node = mNodes[aNode];
  SimulationPorts ports;
  ports.mRequest = [this](NodeIndex aFrom,
                          const Endpoint& aTo,
                          const HttpRequest& aRequest,
                          const ResponseSink& aResponseSink) {
    return deliverRequest(aFrom, aTo, aRequest, aResponseSink);
  };
  ports.mPeer = [this](NodeIndex aFrom, const Endpoint& aTo, const std::string& aBytes) {
    const auto found = mNodesByPeerEndpoint.find(aTo);
    if (found == mNodesByPeerEndpoint.end() || mNetwork.random().chance(mNetwork.loss())) {
      return;
    }
    const NodeIndex to = found->second;
    const ZoneName& fromZone = mNetwork.zoneOf(aFrom);
    const ZoneName& toZone = mNetwork.zoneOf(to);
    if (!mNetwork.isCut(fromZone, toZone)) {
      mNetwork.atNode(to, mNetwork.delay(fromZone, toZone), [this, to, aBytes] {
        mNodes[to].mInstance->handleGossip(aBytes);
      });
    }
  };
  ports.mLog = [this](NodeIndex aFrom, const Event& aEvent, const std::string& aText) {
    trace(mNodes[aFrom].mSettings.mInstance.text() + " BR-" + std::to_string(aEvent.mNumber) + " " +
          aEvent.mName + " " + aText);
  };
  const std::uint64_t seed = combineHashes(mSeed, aNode * 1000 + ++node.mIncarnations);
  node.mHost = std::make_unique<VirtualHost>(mNetwork, mPlatform, ports, aNode, seed);
  node.mInstance = std::make_unique<Instance<VirtualHost>>(
    *node.mHost, node.mSettings, [this, aNode](std::size_t aCut) { onExit(aNode, aCut); });
  mNetwork.atNode(aNode, Duration{ 0 }, [this, aNode] { mNodes[aNode].mInstance->start(); });
}

std::optional<NodeIndex> Simulation::nodeByName(const std::string& aName) const
{
  const auto found = std::find_if(mNodes.begin(), mNodes.end(), [&](const Node& aNode) {
    return aNode.mSettings.mInstance.text() == aName;
  });
  if (found == mNodes.end()) {
    return std::nullopt;
  }
  return static_cast<NodeIndex>(found - mNodes.begin());
}

FakeTarget* Simulation::targetByName(const std::string& aName)
{
  const std::optional<Endpoint> endpoint = parseEndpoint(aName);
  const auto found = endpoint ? mTargets.find(*endpoint) : mTargets.end();
  return found == mTargets.end() ? nullptr : found->second.get();
}

std::uint64_t Simulation::openRequestCount(NodeIndex aNode)
{
  std::uint64_t open = 0;
  for (const std::weak_ptr<VirtualResponder>& weak : mNodes[aNode].mOpenResponders) {
    const std::shared_ptr<VirtualResponder> responder = weak.lock();
    open += responder && responder->isOpen() ? 1U : 0U;
  }
  return open;
}

void Simulation::trace(const std::string& aText)
{
  if (mTrace) {
    std::printf("%10.3f %s\n", toSeconds(mNetwork.now().time_since_epoch()), aText.c_str());
  }
}

void Simulation::crash(NodeIndex aNode)
{
  if (!mNetwork.isUp(aNode)) {
    return;
  }
  mNetwork.kill(aNode);
  Node& node = mNodes[aNode];
  for (const std::weak_ptr<VirtualResponder>& weak : std::exchange(node.mOpenResponders, {})) {
    if (const std::shared_ptr<VirtualResponder> responder = weak.lock()) {
      responder->interrupt();
    }
  }
  node.mHost->disconnectAll();
}

void Simulation::restart(NodeIndex aNode)
{
  if (mNetwork.isUp(aNode)) {
    return;
  }
  mFormerInstances.push_back(std::move(mNodes[aNode].mInstance));
  mFormerHosts.push_back(std::move(mNodes[aNode].mHost));
  mNetwork.revive(aNode);
  startNode(aNode);
}

void Simulation::stop(NodeIndex aNode)
{
  mNetwork.atNode(aNode, Duration{ 0 }, [this, aNode] { mNodes[aNode].mInstance->stop(); });
}

void Simulation::onExit(NodeIndex aNode, std::size_t aCut)
{
  // The drain limit permits the interrupted requests that the instance reports itself; any others
  // are violations.
  const std::uint64_t open = openRequestCount(aNode);
  mChecker.onCutByShutdown(open > aCut ? open - aCut : 0);
  trace("exit of " + mNodes[aNode].mSettings.mInstance.text() + " with " + std::to_string(open) +
        " open requests");
  mNetwork.after(Duration{ 0 }, [this, aNode] { crash(aNode); });
}

void Simulation::applyConfiguration(NodeIndex aNode, const std::string& aText)
{
  if (!mNetwork.isUp(aNode)) {
    return;
  }
  const std::uint64_t base = mNodes[aNode].mInstance->configuration().mVersion.value();
  const HttpRequest request{ "PUT",
                             "/v1/configuration?base=" + std::to_string(base),
                             { { "Authorization", std::string("Bearer ") + kOperatorToken },
                               { "Bulrush-Author", "scenario" },
                               { "Bulrush-Reason", "scenario" },
                               { "Idempotency-Key", mNetwork.random().token() } },
                             aText };
  const std::shared_ptr<VirtualResponder> responder =
    std::make_shared<VirtualResponder>([](const ResponseEvent&) {});
  mNetwork.atNode(aNode, Duration{ 0 }, [this, aNode, request, responder] {
    mNodes[aNode].mInstance->handleAdmin(request, responder);
  });
}

} // namespace bulrushrun::scenario
