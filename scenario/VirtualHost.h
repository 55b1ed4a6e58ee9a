#pragma once

#include "scenario/FakePlatform.h"
#include "scenario/VirtualNetwork.h"
#include "scenario/VirtualResponder.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

namespace bulrushrun::scenario {

/// \brief What the simulation offers to a host: delivery of requests, peer messages, logging.
struct SimulationPorts
{
  /// Sends a request; the returned function closes the sender's connection.
  std::function<std::function<void()>(NodeIndex, const Endpoint&, HttpRequest, ResponseSink)>
    mRequest;
  std::function<void(NodeIndex, const Endpoint&, const std::string&)> mPeer;
  std::function<void(NodeIndex, const Event&, const std::string&)> mLog;
};

/// \brief Access of one node to the platform.
/// \sa bulrushrun::Platform
class NodePlatform
{
public:
  NodePlatform(FakePlatform& aPlatform, NodeIndex aNode)
    : mPlatform(aPlatform)
    , mNode(aNode)
  {
  }

  void transact(const Transaction& aTransaction,
                const std::function<void(TransactionResult)>& aDone)
  {
    mPlatform.transact(mNode, aTransaction, aDone);
  }
  void read(const std::string& aKey, const std::function<void(ReadResult)>& aDone)
  {
    mPlatform.read(mNode, aKey, aDone);
  }
  void putObject(const std::string& aName,
                 const std::string& aBytes,
                 const std::function<void(bool)>& aDone)
  {
    mPlatform.putObject(mNode, aName, aBytes, aDone);
  }
  void readObject(const std::string& aName, const std::function<void(ObjectResult)>& aDone)
  {
    mPlatform.readObject(mNode, aName, aDone);
  }
  void listInstances(const std::function<void(InstanceListResult)>& aDone)
  {
    mPlatform.listInstances(mNode, aDone);
  }

private:
  FakePlatform& mPlatform;
  NodeIndex mNode;
};

/// \brief Host of a simulated node, under a virtual clock.
/// \sa bulrushrun::Host
class VirtualHost
{
public:
  using ResponderType = VirtualResponder;

  VirtualHost(VirtualNetwork& aNetwork,
              FakePlatform& aPlatform,
              SimulationPorts aPorts,
              NodeIndex aNode,
              std::uint64_t aSeed)
    : mNetwork(aNetwork)
    , mPorts(std::move(aPorts))
    , mNode(aNode)
    , mPlatform(aPlatform, aNode)
    , mRandom(aSeed)
  {
  }

  TimePoint now() const { return mNetwork.now(); }
  UnixSeconds wallTime() const
  {
    constexpr std::int64_t kEpoch = 1800000000;
    return UnixSeconds{ kEpoch } +
           std::chrono::duration_cast<UnixSeconds>(mNetwork.now().time_since_epoch());
  }
  Random& random() { return mRandom; }
  TimerId after(Duration aDelay, std::function<void()> aCallback)
  {
    return mNetwork.atNode(mNode, aDelay, std::move(aCallback));
  }
  void cancelTimer(TimerId aTimer) { mNetwork.cancel(aTimer); }

  ExchangeId startExchange(const Endpoint& aEndpoint,
                           const HttpRequest& aRequest,
                           ConnectionUse,
                           ExchangeListener aListener)
  {
    mLast = mLast.next();
    const std::uint64_t id = mLast.value();
    mExchanges.emplace(id, Exchange{ std::move(aListener), nullptr });
    std::function<void()> disconnect = mPorts.mRequest(
      mNode, aEndpoint, aRequest, [this, id](const ResponseEvent& aEvent) { deliver(id, aEvent); });
    mExchanges.at(id).mDisconnect = std::move(disconnect);
    return mLast;
  }
  void abortExchange(ExchangeId aExchange)
  {
    const auto found = mExchanges.find(aExchange.value());
    if (found == mExchanges.end()) {
      return;
    }
    const std::function<void()> disconnect = std::move(found->second.mDisconnect);
    mExchanges.erase(found);
    disconnect();
  }
  void resumeExchange(ExchangeId) {}
  void sendToPeer(const Endpoint& aPeer, const std::string& aBytes)
  {
    mPorts.mPeer(mNode, aPeer, aBytes);
  }
  void log(const Event& aEvent, const std::string& aText) { mPorts.mLog(mNode, aEvent, aText); }
  NodePlatform& platform() { return mPlatform; }

  /// \brief Closes all outgoing connections of a crashed node.
  void disconnectAll()
  {
    std::unordered_map<std::uint64_t, Exchange> open = std::exchange(mExchanges, {});
    for (auto exchange = open.begin(); exchange != open.end(); ++exchange) {
      exchange->second.mDisconnect();
    }
  }

private:
  struct Exchange
  {
    ExchangeListener mListener;
    std::function<void()> mDisconnect;
  };

  void deliver(std::uint64_t aId, const ResponseEvent& aEvent)
  {
    const auto found = mExchanges.find(aId);
    if (found == mExchanges.end()) {
      return;
    }
    const ExchangeListener listener = found->second.mListener;
    if (const HeadReceived* head = std::get_if<HeadReceived>(&aEvent)) {
      listener.mOnHead(head->mHead);
    } else if (const BodyReceived* body = std::get_if<BodyReceived>(&aEvent)) {
      listener.mOnBody(body->mBytes);
    } else if (const ExchangeEnded* end = std::get_if<ExchangeEnded>(&aEvent)) {
      mExchanges.erase(found);
      listener.mOnEnd(end->mResult, end->mReason);
    }
  }

  VirtualNetwork& mNetwork;
  SimulationPorts mPorts;
  NodeIndex mNode;
  NodePlatform mPlatform;
  Random mRandom;
  std::unordered_map<std::uint64_t, Exchange> mExchanges;
  ExchangeId mLast;
};

static_assert(Host<VirtualHost>);

} // namespace bulrushrun::scenario
