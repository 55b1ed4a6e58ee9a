#include "scenario/Simulation.h"

/// \file
/// \brief Simulation: requests of callers and instances on their way to instances and targets.

namespace bulrushrun::scenario {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);

} // namespace

/// Draws the random delay once for the whole exchange, so that its events keep their order.
ResponseSink Simulation::delayedSink(const ZoneName& aFrom, const ZoneName& aTo, ResponseSink aSink)
{
  const Duration delay = mNetwork.delay(aFrom, aTo);
  return [=, this, sink = std::move(aSink)](const ResponseEvent& aEvent) {
    if (!mNetwork.isCut(aFrom, aTo)) {
      mNetwork.after(delay, [sink, aEvent] { sink(aEvent); });
    }
  };
}

std::function<void()> Simulation::deliverRequest(NodeIndex aFrom,
                                                 const Endpoint& aTo,
                                                 const HttpRequest& aRequest,
                                                 const ResponseSink& aResponseSink)
{
  const ResponseSink onNode = [this, aFrom, aResponseSink](const ResponseEvent& aEvent) {
    mNetwork.atNode(aFrom, Duration{ 0 }, [aResponseSink, aEvent] { aResponseSink(aEvent); });
  };
  const ZoneName& zone = mNetwork.zoneOf(aFrom);
  const auto node = mNodesByListenEndpoint.find(aTo);
  if (node != mNodesByListenEndpoint.end()) {
    return callNode(zone, node->second, aRequest, onNode);
  }
  const auto target = mTargets.find(aTo);
  if (target != mTargets.end()) {
    callTarget(zone, *target->second, aRequest, onNode);
  } else {
    mNetwork.after(kConnectTimeout, [onNode] {
      onNode(ExchangeEnded{ ExchangeResult::NotSent, "no process at this endpoint" });
    });
  }
  return [] {};
}

void Simulation::callTarget(const ZoneName& aFrom,
                            FakeTarget& aTarget,
                            const HttpRequest& aRequest,
                            const ResponseSink& aResponseSink)
{
  const ZoneName& to = aTarget.spec().mZone;
  if (mNetwork.isCut(aFrom, to)) {
    mNetwork.after(kConnectTimeout, [aResponseSink] {
      aResponseSink(ExchangeEnded{ ExchangeResult::NotSent, "network partition" });
    });
    return;
  }
  const ResponseSink back = delayedSink(to, aFrom, aResponseSink);
  mNetwork.after(mNetwork.delay(aFrom, to),
                 [&aTarget, aFrom, aRequest, back] { aTarget.receive(aFrom, aRequest, back); });
}

std::function<void()> Simulation::callInstance(const ZoneName& aFrom,
                                               const Endpoint& aInstance,
                                               const HttpRequest& aRequest,
                                               const ResponseSink& aResponseSink)
{
  const auto node = mNodesByListenEndpoint.find(aInstance);
  if (node == mNodesByListenEndpoint.end()) {
    mNetwork.after(kConnectTimeout, [aResponseSink] {
      aResponseSink(ExchangeEnded{ ExchangeResult::NotSent, "no process at this endpoint" });
    });
    return [] {};
  }
  return callNode(aFrom, node->second, aRequest, aResponseSink);
}

std::function<void()> Simulation::callNode(const ZoneName& aFrom,
                                           NodeIndex aNode,
                                           const HttpRequest& aRequest,
                                           const ResponseSink& aResponseSink)
{
  const ZoneName to = mNetwork.zoneOf(aNode);
  if (mNetwork.isCut(aFrom, to)) {
    mNetwork.after(kConnectTimeout, [aResponseSink] {
      aResponseSink(ExchangeEnded{ ExchangeResult::NotSent, "network partition" });
    });
    return [] {};
  }
  const ResponseSink back = delayedSink(to, aFrom, aResponseSink);
  const std::shared_ptr<VirtualResponder> responder = std::make_shared<VirtualResponder>(back);
  mNetwork.after(mNetwork.delay(aFrom, to), [=, this] {
    if (!mNetwork.isUp(aNode)) {
      back(ExchangeEnded{ ExchangeResult::NotSent, "connection refused" });
      return;
    }
    std::vector<std::weak_ptr<VirtualResponder>>& open = mNodes[aNode].mOpenResponders;
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
    mNetwork.atNode(aNode, delay, [responder] { responder->disconnect(); });
  };
}

} // namespace bulrushrun::scenario
