#include "bulrushrun/steering/tests/FleetSimulation.h"

namespace bulrushrun::steering_test {

namespace {

constexpr std::uint16_t kCallerPort = 8001;
constexpr std::uint16_t kReplicationPort = 8004;
constexpr std::uint16_t kPeerPort = 8005;

} // namespace

void SimulatedHost::log(const Event& aEvent, const std::string& aText)
{
  mLog.push_back(std::string{ aEvent.mName } + " " + aText);
  mSimulation.mNow += mSimulation.mLogDuration;
}

TimePoint SimulatedHost::now() const
{
  return mSimulation.mNow;
}

TimerId SimulatedHost::after(Duration aDelay, TimerQueue::Callback aCallback)
{
  return mSimulation.mTimers.add(mSimulation.mNow + aDelay, std::move(aCallback));
}

void SimulatedHost::cancelTimer(TimerId aTimer)
{
  mSimulation.mTimers.cancel(aTimer);
}

ExchangeId SimulatedHost::startExchange(const Endpoint& aTo,
                                        HttpRequest aRequest,
                                        ConnectionUse aUse,
                                        ExchangeListener aListener)
{
  const ExchangeId id = mSimulation.mLastExchange = mSimulation.mLastExchange.next();
  mSimulation.mExchanges[id.value()] = {
    mOwnEndpoint, aTo, std::move(aRequest), aUse, std::move(aListener)
  };
  after(FleetSimulation::kLinkLatency + mSimulation.extraLatency(aTo),
        [this, id] { mSimulation.deliver(id); });
  return id;
}

void SimulatedHost::abortExchange(ExchangeId aExchange)
{
  mSimulation.mExchanges.erase(aExchange.value());
  mSimulation.mPendingFeeds.erase(aExchange.value());
}

void SimulatedHost::sendToPeer(const Endpoint& aPeer, const std::string& aBytes)
{
  ++mSimulation.mPeerMessages;
  after(FleetSimulation::kLinkLatency, [this, aPeer, aBytes] {
    if (FleetSimulation::SimulatedNode* simulatedNode = mSimulation.nodeAt(aPeer.mAddress)) {
      simulatedNode->mNode->handleGossip(aBytes);
    }
  });
}

SimulatedInstance& FleetSimulation::add(const std::string& aName, const std::string& aZone)
{
  SimulatedNode& simulatedNode = mNodes[aName];
  SteeringSettings& settings = simulatedNode.mSettings;
  const std::uint32_t address = ++mLastAddress;
  settings.mInstance = InstanceId{ aName };
  settings.mZone = ZoneName{ aZone };
  settings.mRegions = { { ZoneName{ "za" }, RegionName{ "ra" } },
                        { ZoneName{ "zb" }, RegionName{ "rb" } } };
  settings.mListen = { address, kCallerPort };
  settings.mPeerReplication = { address, kReplicationPort };
  settings.mPeer = { address, kPeerPort };
  settings.mStore = kStoreEndpoint;
  settings.mSeeds = { { 0x0a000001, kPeerPort } };
  settings.mPeerKeys = { "a key for the tests" };
  settings.mBounds.mRetryRatio = 0.2;
  settings.mBounds.mRetrySlack = 100;
  settings.mBounds.mMaxShift = mMaxShift;
  simulatedNode.mHost = std::make_unique<SimulatedHost>(*this, settings.mListen, address);
  simulatedNode.mNode = std::make_unique<SimulatedInstance>(
    *simulatedNode.mHost, settings, [this, aName](std::size_t) { mExitedAt[aName] = mNow; });
  return *simulatedNode.mNode;
}

FleetSimulation::SimulatedNode* FleetSimulation::nodeAt(std::uint32_t aAddress)
{
  for (auto simulatedNode = mNodes.begin(); simulatedNode != mNodes.end(); ++simulatedNode) {
    if (simulatedNode->second.mSettings.mListen.mAddress == aAddress) {
      return &simulatedNode->second;
    }
  }
  return nullptr;
}

void FleetSimulation::kill(const std::string& aName)
{
  // The timers of the failed instance stay armed, so it is only disconnected from all others.
  mNodes.at(aName).mSettings.mListen = {};
  mStoreUnreachableFrom.insert(aName);
}

void FleetSimulation::run(Duration aDuration)
{
  const TimePoint until = mNow + aDuration;
  while (const std::optional<TimePoint> due = mTimers.nextDue()) {
    if (*due > until) {
      break;
    }
    mNow = std::max(mNow, *due);
    mTimers.runOne(mNow);
    answerPendingFeeds();
  }
  mNow = until;
}

void FleetSimulation::deliver(ExchangeId aExchange)
{
  const auto found = mExchanges.find(aExchange.value());
  if (found == mExchanges.end()) {
    return;
  }
  const Endpoint to = found->second.mTo;
  const std::function<bool()> beforeSend = found->second.mListener.mBeforeSend;
  if (beforeSend && !beforeSend()) {
    return;
  }
  if (to == kStoreEndpoint) {
    deliverToStore(aExchange);
  } else if (SimulatedNode* simulatedNode = nodeAt(to.mAddress)) {
    deliverToInstance(*simulatedNode, aExchange);
  }
}

void FleetSimulation::deliverToStore(ExchangeId aExchange)
{
  const PendingExchange& pending = mExchanges.at(aExchange.value());
  const SimulatedNode* requester = nodeAt(pending.mFrom.mAddress);
  if (requester == nullptr ||
      mStoreUnreachableFrom.contains(requester->mSettings.mInstance.text())) {
    return;
  }
  ++mStoreCalls;
  mStore.setNow(mNow.time_since_epoch());
  if (const std::optional<HttpResponse> response = mStore.handle(pending.mRequest)) {
    finish(aExchange, *response);
    return;
  }
  mPendingFeeds.insert(aExchange.value());
  mTimers.add(mNow + std::chrono::milliseconds(900), [this, aExchange] {
    if (mPendingFeeds.erase(aExchange.value()) > 0) {
      mStore.setNow(mNow.time_since_epoch());
      // Changes made at this moment must be in the response.
      const HttpRequest& request = mExchanges.at(aExchange.value()).mRequest;
      finish(aExchange, mStore.handle(request).value_or(mStore.emptyFeedResponse()));
    }
  });
}

/// Responds to pending feed requests once a row has changed.
void FleetSimulation::answerPendingFeeds()
{
  const std::set<std::uint64_t> waiting = mPendingFeeds;
  mStore.setNow(mNow.time_since_epoch());
  for (const std::uint64_t number : waiting) {
    const std::optional<HttpResponse> response = mStore.handle(mExchanges.at(number).mRequest);
    if (response) {
      mPendingFeeds.erase(number);
      finish(ExchangeId{ number }, *response);
    }
  }
}

void FleetSimulation::deliverToInstance(SimulatedNode& aSimulatedNode, ExchangeId aExchange)
{
  const std::shared_ptr<RecordingResponder> responder = std::make_shared<RecordingResponder>();
  RecordingResponder* raw = responder.get();
  responder->mOnEnd = [this, raw, aExchange](bool) {
    mPeerReplicationBytes += raw->mBody.size();
    finish(aExchange, { raw->mHead, raw->mBody });
  };
  aSimulatedNode.mNode->handlePeerRequest(mExchanges.at(aExchange.value()).mRequest, responder);
}

void FleetSimulation::finish(ExchangeId aExchange, const HttpResponse& aResponse)
{
  const auto exchange = mExchanges.find(aExchange.value());
  if (exchange == mExchanges.end()) {
    return;
  }
  const Endpoint to = exchange->second.mTo;
  const bool isTarget = to.mPort == kTargetPort;
  if (!isTarget && mLostResponseShare > 0 && mRandom.unit() < mLostResponseShare) {
    return;
  }
  const Duration delay = to.mPort == kReplicationPort ? mPeerResponseDelay : Duration{ 0 };
  const std::shared_ptr<const HttpResponse> response = std::make_shared<HttpResponse>(aResponse);
  mTimers.add(mNow + kLinkLatency + delay + extraLatency(to), [this, aExchange, response] {
    const auto found = mExchanges.find(aExchange.value());
    if (found == mExchanges.end()) {
      return;
    }
    const ExchangeListener listener = found->second.mListener;
    if (listener.mOnHead) {
      listener.mOnHead(response->mHead);
    }
    transfer(aExchange, response, 0);
  });
}

Duration FleetSimulation::extraLatency(const Endpoint& aTo)
{
  if (mMaxExtraLatency == Duration{ 0 } || aTo.mPort == kTargetPort) {
    return Duration{ 0 };
  }
  return fromSeconds(toSeconds(mMaxExtraLatency) * mRandom.unit());
}

void FleetSimulation::putTarget(const std::string& aId,
                                const std::string& aState,
                                int aSlots,
                                int aColdMillis,
                                const std::string& aZone,
                                int aBorn)
{
  if (!mTargets.contains(aId)) {
    mTargets[aId] = { 0x0a800000 + static_cast<std::uint32_t>(mTargets.size()), kTargetPort };
  }
  mStore.put("servers",
             aId,
             R"({"address":")" + mTargets[aId].text() + R"(","born":)" + std::to_string(aBorn) +
               R"(,"info":{"service":"s","version":"v1","zone":")" + aZone + R"(","slots":)" +
               std::to_string(aSlots) + R"(},"status":{"state":")" + aState +
               R"(","sequence":1,"coldRemainingMs":)" + std::to_string(aColdMillis) + "}}");
}

void FleetSimulation::putPlan(int aVersion,
                              const std::string& aKind,
                              const std::string& aExtra,
                              const std::string& aMembers)
{
  mStore.put("op",
             "config",
             R"({"version":"r)" + std::to_string(aVersion) +
               R"(","routes":[{"name":"r1","host":"shop","pathPrefix":"/a/","kind":")" + aKind +
               R"(","timeoutMs":2000,"service":"s","maxAttempts":2,"sticky":true)" + aExtra +
               R"(}],"services":[{"name":"s","coldStartS":3.0,"coldPerS":2}],)" +
               R"("limits":{"maxHeaderBytes":1000,"maxBodyBytes":1000})" + aMembers + "}");
}

std::shared_ptr<RecordingResponder> FleetSimulation::sendRequest(const std::string& aNode,
                                                                 const std::string& aId,
                                                                 const std::string& aAffinityKey,
                                                                 const Headers& aHeaders)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mPath = "/a/x";
  request.mAuthority = "shop";
  request.mHeaders = { { "X-Request-Id", aId }, { "X-Request-Timeout-Ms", "3000" } };
  if (!aAffinityKey.empty()) {
    request.mHeaders.push_back({ "X-Affinity-Key", aAffinityKey });
  }
  request.mHeaders.insert(request.mHeaders.end(), aHeaders.begin(), aHeaders.end());
  const std::shared_ptr<RecordingResponder> responder = std::make_shared<RecordingResponder>();
  node(aNode).handleCaller(request, responder);
  run(2 * kLinkLatency);
  return responder;
}

} // namespace bulrushrun::steering_test
