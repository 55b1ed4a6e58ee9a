#include "scenario/World.h"

#include <algorithm>
#include <cstdio>

namespace bulrushrun::scenario {

namespace {

constexpr std::uint32_t kFirstAddress = 0x7f010000;
constexpr Duration kConnectLimit = std::chrono::seconds(1);
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

World::World(const WorldOptions& aOptions, const Document& aDocument)
  : mDocument(aDocument)
  , mSeed(aOptions.mSeed)
  , mTrace(aOptions.mTrace)
  , mNetwork(aDocument, aOptions.mSeed)
  , mPlatform(mNetwork, aOptions.mPlatformZone, aOptions.mStoreTime)
{
  addTargets(aOptions);
  addNodes(aOptions);
}

void World::addTargets(const WorldOptions& aOptions)
{
  for (const Tenant& tenant : mDocument.mTenants) {
    for (const Service& service : tenant.mServices) {
      for (const TargetSpec& spec : service.mTargets) {
        std::unique_ptr<FakeTarget>& slot = mTargets[spec.mEndpoint];
        slot = std::make_unique<FakeTarget>(
          mNetwork, mJudge, spec, aOptions.mAnswerTime, shiftBound(aOptions, service, spec.mZone));
        slot->mOnLateWork = [this, spec] { trace("work for leaving " + spec.mId.text()); };
        mTargetOrder.push_back(slot.get());
      }
    }
  }
}

/// The configured share of the zone's slots, and up to one more for each of its region's instances:
/// every pool may use one slot at least.
FakeTarget::ShiftBound World::shiftBound(const WorldOptions& aOptions,
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

void World::addNodes(const WorldOptions& aOptions)
{
  for (const auto& [zone, count] : aOptions.mInstances) {
    for (int i = 0; i < count; ++i) {
      const NodeIndex index = mNetwork.addNode(zone);
      mNodes.emplace_back();
      mNodes.back().mSettings = settingsFor(zone, index + 1, aOptions.mDrainLimit);
      mByListen[mNodes.back().mSettings.mListen] = index;
      mByPeer[mNodes.back().mSettings.mPeer] = index;
    }
  }
  for (NodeIndex node = 0; node < mNodes.size(); ++node) {
    begin(node);
  }
}

void World::begin(NodeIndex aNode)
{
  Node& node = mNodes[aNode];
  WorldPorts ports;
  ports.mRequest = [this](NodeIndex aFrom,
                          const Endpoint& aTo,
                          const HttpRequest& aRequest,
                          const ReplySink& aReply) { return carry(aFrom, aTo, aRequest, aReply); };
  ports.mPeer = [this](NodeIndex aFrom, const Endpoint& aTo, const std::string& aBytes) {
    const auto found = mByPeer.find(aTo);
    if (found == mByPeer.end() || mNetwork.random().chance(mNetwork.loss())) {
      return;
    }
    const NodeIndex to = found->second;
    const ZoneName& fromZone = mNetwork.zoneOf(aFrom);
    const ZoneName& toZone = mNetwork.zoneOf(to);
    if (!mNetwork.isCut(fromZone, toZone)) {
      mNetwork.atNode(to, mNetwork.delay(fromZone, toZone), [this, to, aBytes] {
        mNodes[to].mInstance->handlePeer(aBytes);
      });
    }
  };
  ports.mLog = [this](NodeIndex aFrom, const Event& aEvent, const std::string& aText) {
    trace(mNodes[aFrom].mSettings.mInstance.text() + " BR-" + std::to_string(aEvent.mNumber) + " " +
          aEvent.mName + " " + aText);
  };
  const std::uint64_t seed = combineHashes(mSeed, aNode * 1000 + ++node.mLives);
  node.mHost = std::make_unique<VirtualHost>(mNetwork, mPlatform, ports, aNode, seed);
  node.mInstance = std::make_unique<Instance<VirtualHost>>(
    *node.mHost, node.mSettings, [this, aNode](std::size_t aCut) { onExit(aNode, aCut); });
  mNetwork.atNode(aNode, Duration{ 0 }, [this, aNode] { mNodes[aNode].mInstance->start(); });
}

std::optional<NodeIndex> World::nodeByName(const std::string& aName) const
{
  const auto found = std::find_if(mNodes.begin(), mNodes.end(), [&](const Node& aNode) {
    return aNode.mSettings.mInstance.text() == aName;
  });
  if (found == mNodes.end()) {
    return std::nullopt;
  }
  return static_cast<NodeIndex>(found - mNodes.begin());
}

FakeTarget* World::targetByName(const std::string& aName)
{
  const std::optional<Endpoint> endpoint = parseEndpoint(aName);
  const auto found = endpoint ? mTargets.find(*endpoint) : mTargets.end();
  return found == mTargets.end() ? nullptr : found->second.get();
}

std::uint64_t World::openRequests(NodeIndex aNode)
{
  std::uint64_t open = 0;
  for (const std::weak_ptr<VirtualResponder>& weak : mNodes[aNode].mOpen) {
    const std::shared_ptr<VirtualResponder> responder = weak.lock();
    open += responder && responder->isOpen() ? 1U : 0U;
  }
  return open;
}

void World::trace(const std::string& aText)
{
  if (mTrace) {
    std::printf("%10.3f %s\n", toSeconds(mNetwork.now().time_since_epoch()), aText.c_str());
  }
}

void World::crash(NodeIndex aNode)
{
  if (!mNetwork.isUp(aNode)) {
    return;
  }
  mNetwork.kill(aNode);
  Node& node = mNodes[aNode];
  for (const std::weak_ptr<VirtualResponder>& weak : std::exchange(node.mOpen, {})) {
    if (const std::shared_ptr<VirtualResponder> responder = weak.lock()) {
      responder->cut();
    }
  }
  node.mHost->hangUpAll();
}

void World::restart(NodeIndex aNode)
{
  if (mNetwork.isUp(aNode)) {
    return;
  }
  mFormerInstances.push_back(std::move(mNodes[aNode].mInstance));
  mFormerHosts.push_back(std::move(mNodes[aNode].mHost));
  mNetwork.revive(aNode);
  begin(aNode);
}

void World::stop(NodeIndex aNode)
{
  mNetwork.atNode(aNode, Duration{ 0 }, [this, aNode] { mNodes[aNode].mInstance->stop(); });
}

void World::onExit(NodeIndex aNode, std::size_t aCut)
{
  // The limit of the stop allows what it says it cut; anything beyond is held against the stop.
  const std::uint64_t open = openRequests(aNode);
  mJudge.onCutByStop(open > aCut ? open - aCut : 0);
  trace("exit of " + mNodes[aNode].mSettings.mInstance.text() + " with " + std::to_string(open) +
        " open");
  mNetwork.after(Duration{ 0 }, [this, aNode] { crash(aNode); });
}

void World::apply(NodeIndex aNode, const std::string& aText)
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
    std::make_shared<VirtualResponder>([](const ReplyEvent&) {});
  mNetwork.atNode(aNode, Duration{ 0 }, [this, aNode, request, responder] {
    mNodes[aNode].mInstance->handleAdmin(request, responder);
  });
}

/// Events of one exchange keep their order: the delay is drawn once.
ReplySink World::delayed(const ZoneName& aFrom, const ZoneName& aTo, ReplySink aSink)
{
  const Duration delay = mNetwork.delay(aFrom, aTo);
  return [=, this, sink = std::move(aSink)](const ReplyEvent& aEvent) {
    if (!mNetwork.isCut(aFrom, aTo)) {
      mNetwork.after(delay, [sink, aEvent] { sink(aEvent); });
    }
  };
}

std::function<void()> World::carry(NodeIndex aFrom,
                                   const Endpoint& aTo,
                                   const HttpRequest& aRequest,
                                   const ReplySink& aReply)
{
  const ReplySink onNode = [this, aFrom, aReply](const ReplyEvent& aEvent) {
    mNetwork.atNode(aFrom, Duration{ 0 }, [aReply, aEvent] { aReply(aEvent); });
  };
  const ZoneName& zone = mNetwork.zoneOf(aFrom);
  const auto node = mByListen.find(aTo);
  if (node != mByListen.end()) {
    return callNode(zone, node->second, aRequest, onNode);
  }
  const auto target = mTargets.find(aTo);
  if (target != mTargets.end()) {
    callTarget(zone, *target->second, aRequest, onNode);
  } else {
    mNetwork.after(kConnectLimit, [onNode] {
      onNode(EndArrives{ ExchangeResult::NotSent, "nobody" });
    });
  }
  return [] {};
}

void World::callTarget(const ZoneName& aFrom,
                       FakeTarget& aTarget,
                       const HttpRequest& aRequest,
                       const ReplySink& aReply)
{
  const ZoneName& to = aTarget.spec().mZone;
  if (mNetwork.isCut(aFrom, to)) {
    mNetwork.after(kConnectLimit, [aReply] {
      aReply(EndArrives{ ExchangeResult::NotSent, "cut" });
    });
    return;
  }
  const ReplySink back = delayed(to, aFrom, aReply);
  mNetwork.after(mNetwork.delay(aFrom, to),
                 [&aTarget, aFrom, aRequest, back] { aTarget.receive(aFrom, aRequest, back); });
}

std::function<void()> World::callInstance(const ZoneName& aFrom,
                                          const Endpoint& aInstance,
                                          const HttpRequest& aRequest,
                                          const ReplySink& aReply)
{
  const auto node = mByListen.find(aInstance);
  if (node == mByListen.end()) {
    mNetwork.after(kConnectLimit, [aReply] {
      aReply(EndArrives{ ExchangeResult::NotSent, "nobody" });
    });
    return [] {};
  }
  return callNode(aFrom, node->second, aRequest, aReply);
}

std::function<void()> World::callNode(const ZoneName& aFrom,
                                      NodeIndex aNode,
                                      const HttpRequest& aRequest,
                                      const ReplySink& aReply)
{
  const ZoneName to = mNetwork.zoneOf(aNode);
  if (mNetwork.isCut(aFrom, to)) {
    mNetwork.after(kConnectLimit, [aReply] {
      aReply(EndArrives{ ExchangeResult::NotSent, "cut" });
    });
    return [] {};
  }
  const ReplySink back = delayed(to, aFrom, aReply);
  const std::shared_ptr<VirtualResponder> responder = std::make_shared<VirtualResponder>(back);
  mNetwork.after(mNetwork.delay(aFrom, to), [=, this] {
    if (!mNetwork.isUp(aNode)) {
      back(EndArrives{ ExchangeResult::NotSent, "refused" });
      return;
    }
    std::vector<std::weak_ptr<VirtualResponder>>& open = mNodes[aNode].mOpen;
    std::erase_if(open, [](const std::weak_ptr<VirtualResponder>& aWeak) {
      const std::shared_ptr<VirtualResponder> kept = aWeak.lock();
      return !kept || !kept->isOpen();
    });
    open.push_back(responder);
    mNetwork.atNode(aNode, Duration{ 0 }, [=, this] {
      mNodes[aNode].mInstance->handleCaller(aRequest, responder);
    });
  });
  return [this, aNode, responder, delay = mNetwork.delay(aFrom, to)] {
    mNetwork.atNode(aNode, delay, [responder] { responder->leave(); });
  };
}

} // namespace bulrushrun::scenario
