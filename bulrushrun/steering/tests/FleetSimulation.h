#pragma once

#include "bulrushrun/steering.h"
#include "platform/Adapter.h"
#include "standins/InMemoryRowStore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun::steering_test {

/// \brief Responder that records the response.
class RecordingResponder
{
public:
  void start(const ResponseHead& aHead) { mHead = aHead; }
  std::size_t write(std::string_view aBytes)
  {
    mBody.append(aBytes);
    return 0;
  }
  void finish() { end(true); }
  void abort() { end(false); }
  bool isDisconnected() { return mDisconnected; }
  static bool mayCollect(std::size_t) { return true; }
  static bool isWaiting() { return false; }

  std::function<void()> mOnWritable;
  std::function<void()> mOnDisconnect;
  /// Runs when the response ended; the flag is true when it is complete.
  std::function<void(bool)> mOnEnd;
  ResponseHead mHead;
  std::string mBody;
  std::optional<bool> mComplete;
  bool mDisconnected = false;

private:
  void end(bool aComplete)
  {
    mComplete = aComplete;
    if (mOnEnd) {
      mOnEnd(aComplete);
    }
  }
};

/// \brief One exchange in progress, as seen by the receiver of the request.
struct PendingExchange
{
  Endpoint mFrom;
  Endpoint mTo;
  HttpRequest mRequest;
  ConnectionUse mUse = ConnectionUse::Pooled;
  ExchangeListener mListener;
};

class FleetSimulation;

/// \brief Host of one instance in the simulation.
class SimulatedHost
{
public:
  using ResponderType = RecordingResponder;

  SimulatedHost(FleetSimulation& aWorld, const Endpoint& aOwnEndpoint, std::uint64_t aSeed)
    : mSimulation(aWorld)
    , mOwnEndpoint(aOwnEndpoint)
    , mRandom(aSeed)
  {
  }

  TimePoint now() const;
  Random& random() { return mRandom; }
  TimerId after(Duration aDelay, TimerQueue::Callback aCallback);
  void cancelTimer(TimerId aTimer);
  ExchangeId startExchange(const Endpoint& aTo,
                           HttpRequest aRequest,
                           ConnectionUse aUse,
                           ExchangeListener aListener);
  void abortExchange(ExchangeId aExchange);
  void resumeExchange(ExchangeId) {}
  void sendToPeer(const Endpoint& aPeer, const std::string& aBytes);
  void log(const Event& aEvent, const std::string& aText);

  /// Log lines, as event name and text.
  std::vector<std::string> mLog;

private:
  FleetSimulation& mSimulation;
  Endpoint mOwnEndpoint;
  Random mRandom;
};

using SimulatedInstance = SteeringInstance<SimulatedHost, platform::Adapter>;

/// \brief Instances, a store and targets under a virtual clock. Exchanges with targets stay pending
/// until the test responds to them.
class FleetSimulation
{
public:
  static constexpr Duration kLinkLatency = std::chrono::milliseconds(2);
  static constexpr std::uint16_t kTargetPort = 9000;
  static constexpr Endpoint kStoreEndpoint{ 0x0a090909, 8642 };

  /// \param aSeed  of the random latencies and losses
  explicit FleetSimulation(std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
  }

  /// \brief Adds an instance without starting it; one of the same name must have been killed
  /// before.
  SimulatedInstance& add(const std::string& aName, const std::string& aZone);
  SimulatedInstance& node(const std::string& aName) { return *mNodes.at(aName).mNode; }
  SimulatedHost& host(const std::string& aName) { return *mNodes.at(aName).mHost; }
  /// \brief Makes an instance fail without notice.
  void kill(const std::string& aName);
  TimePoint now() const { return mNow; }
  /// \brief Advances the virtual clock and runs the timers that are due.
  void run(Duration aDuration);
  /// \brief Registers a target in the store.
  void putTarget(const std::string& aId,
                 const std::string& aState = "ready",
                 int aSlots = 4,
                 int aColdMillis = 0,
                 const std::string& aZone = "za",
                 int aBorn = 1);
  /// \brief Removes the registration of a target.
  void removeTarget(const std::string& aId) { mStore.remove("servers", aId); }
  /// \brief Writes a configuration with one route, `/a/` of host `shop`, to service `s`.
  /// \param aExtra  further fields of the route
  /// \param aMembers  further members of the document
  void putPlan(int aVersion,
               const std::string& aKind,
               const std::string& aExtra = "",
               const std::string& aMembers = "");
  /// \brief Sends a caller's request to an instance.
  std::shared_ptr<RecordingResponder> sendRequest(const std::string& aNode,
                                                  const std::string& aId,
                                                  const std::string& aAffinityKey = "",
                                                  const Headers& aHeaders = {});
  /// \brief \returns the pending exchanges with targets, oldest first.
  std::vector<ExchangeId> targetExchanges() const;
  const PendingExchange& exchange(ExchangeId aExchange) const
  {
    return mExchanges.at(aExchange.value());
  }
  /// \brief Responds to an exchange as its target.
  void respondTo(ExchangeId aExchange, int aStatus, Headers aHeaders, const std::string& aBody);
  /// \brief Writes a response to the connection of an exchange, with exactly these headers. As a
  /// connection does, skips it when the listener says that it belongs to another request.
  void writeResponse(ExchangeId aExchange, int aStatus, Headers aHeaders, const std::string& aBody);
  /// \brief Responds with status 200 and a signature.
  void respondOk(ExchangeId aExchange);
  /// \brief Ends an exchange without a response.
  void failExchange(ExchangeId aExchange, ExchangeResult aResult = ExchangeResult::Interrupted);

  /// Bound of the instances that are added.
  double mMaxShift = FleetBounds{}.mMaxShift;
  InMemoryRowStore mStore;
  /// Instances to which the store does not respond.
  std::set<std::string> mStoreUnreachableFrom;
  /// Virtual time that writing a log line takes.
  Duration mLogDuration{ 0 };
  /// Exchanges with the store and between instances take up to this much longer, at random.
  Duration mMaxExtraLatency{ 0 };
  /// Probability that the response of such an exchange is lost.
  double mLostResponseShare = 0;
  /// Additional time that responses between instances take.
  Duration mPeerResponseDelay{ 0 };
  /// Rate of each instance's link in each direction, in bytes per second, for exchanges with the
  /// store and between instances; unlimited if 0. Concurrent transfers share a link.
  double mLinkBytesPerSecond = 0;
  /// Bytes of the responses to peer replication requests.
  std::size_t mPeerReplicationBytes = 0;
  /// Messages that instances sent to each other.
  std::size_t mPeerMessages = 0;
  /// Requests that reached the store.
  std::size_t mStoreCalls = 0;
  /// Instances whose planned stop has ended, and when.
  std::map<std::string, TimePoint> mExitedAt;

private:
  friend class SimulatedHost;

  struct SimulatedNode
  {
    std::unique_ptr<SimulatedHost> mHost;
    std::unique_ptr<SimulatedInstance> mNode;
    SteeringSettings mSettings;
  };

  void deliver(ExchangeId aExchange);
  void deliverToStore(ExchangeId aExchange);
  void deliverToInstance(SimulatedNode& aSimulatedNode, ExchangeId aExchange);
  void finish(ExchangeId aExchange, const HttpResponse& aResponse);
  void complete(ExchangeId aExchange);
  /// Transfers the next part of a response's body over the links of both sides.
  void transfer(ExchangeId aExchange,
                const std::shared_ptr<const HttpResponse>& aResponse,
                std::size_t aOffset);
  /// \returns when both links have sent a part that begins now or when they are free.
  TimePoint reserveLinks(const PendingExchange& aExchange, std::size_t aBytes);
  Duration extraLatency(const Endpoint& aTo);
  void answerPendingFeeds();
  SimulatedNode* nodeAt(std::uint32_t aAddress);

  TimePoint mNow{ std::chrono::seconds(1000) };
  TimerQueue mTimers;
  std::map<std::string, SimulatedNode> mNodes;
  /// Killed instances that were added again.
  std::vector<SimulatedNode> mFailedNodes;
  std::map<std::string, Endpoint> mTargets;
  std::map<std::uint64_t, PendingExchange> mExchanges;
  std::set<std::uint64_t> mPendingFeeds;
  ExchangeId mLastExchange;
  /// When the links out of and into each address are free.
  std::map<std::uint32_t, TimePoint> mOutgoingFreeAt;
  std::map<std::uint32_t, TimePoint> mIncomingFreeAt;
  std::uint32_t mLastAddress = 0x0a000000;
  Random mRandom{ 1 };
};

} // namespace bulrushrun::steering_test
