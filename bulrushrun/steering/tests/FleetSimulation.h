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

/// \brief Answer channel that keeps what it was given.
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
  bool isDisconnected() { return mGone; }

  std::function<void()> mOnWritable;
  std::function<void()> mOnDisconnect;
  /// Runs when the answer ended; the flag is true when it is whole.
  std::function<void(bool)> mOnEnd;
  ResponseHead mHead;
  std::string mBody;
  std::optional<bool> mComplete;
  bool mGone = false;

private:
  void end(bool aWhole)
  {
    mComplete = aWhole;
    if (mOnEnd) {
      mOnEnd(aWhole);
    }
  }
};

/// \brief One exchange in progress, as the other end sees it.
struct PendingExchange
{
  Endpoint mFrom;
  Endpoint mTo;
  HttpRequest mRequest;
  ExchangeListener mListener;
};

class FleetSimulation;

/// \brief Surroundings of one instance in the world.
class SimulatedHost
{
public:
  using ResponderType = RecordingResponder;

  SimulatedHost(FleetSimulation& aWorld, const Endpoint& aSelf, std::uint64_t aSeed)
    : mSimulation(aWorld)
    , mSelf(aSelf)
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

  /// All that was logged.
  std::vector<std::string> mLog;

private:
  FleetSimulation& mSimulation;
  Endpoint mSelf;
  Random mRandom;
};

using SimulatedInstance = SteeringInstance<SimulatedHost, platform::Adapter>;

/// \brief Some instances, a store and targets under a virtual clock. Targets hold each exchange
/// until the test answers it.
class FleetSimulation
{
public:
  static constexpr Duration kLinkLatency = std::chrono::milliseconds(2);

  /// \brief Adds an instance, not started yet.
  SimulatedInstance& add(const std::string& aName, const std::string& aZone);
  SimulatedInstance& node(const std::string& aName) { return *mNodes.at(aName).mNode; }
  SimulatedHost& host(const std::string& aName) { return *mNodes.at(aName).mHost; }
  /// \brief Lets an instance vanish without a word.
  void kill(const std::string& aName);
  /// \brief Runs until the virtual time has passed.
  void run(Duration aSpan);
  /// \brief Registers a target in the store.
  void putTarget(const std::string& aId,
                 const std::string& aState = "ready",
                 int aSlots = 4,
                 int aColdMillis = 0,
                 const std::string& aZone = "za");
  /// \brief Writes a configuration with one route, `/a/` of host `shop`, to service `s`.
  void putPlan(int aVersion, const std::string& aKind, const std::string& aExtra = "");
  /// \brief Sends a request of a caller to an instance.
  std::shared_ptr<RecordingResponder> call(const std::string& aNode,
                                           const std::string& aId,
                                           const std::string& aObject = "");
  /// \brief \returns the open exchanges with targets, oldest first.
  std::vector<ExchangeId> targetExchanges() const;
  const PendingExchange& exchange(ExchangeId aExchange) const
  {
    return mExchanges.at(aExchange.value());
  }
  /// \brief Answers an exchange at a target.
  void answer(ExchangeId aExchange, int aStatus, Headers aHeaders, const std::string& aBody);
  /// \brief Answers an exchange well.
  void answerOk(ExchangeId aExchange);
  /// \brief Ends an exchange without an answer.
  void failExchange(ExchangeId aExchange, ExchangeResult aEnd = ExchangeResult::Interrupted);

  InMemoryRowStore mStore;
  /// Instances that the store does not answer.
  std::set<std::string> mStoreUnreachableFrom;
  /// Time that passes at an instance while it writes a line of its log.
  Duration mLogDuration{ 0 };
  /// Bytes of answers to questions for news.
  std::size_t mPeerReplicationBytes = 0;
  /// Calls that reached the store.
  std::size_t mStoreCalls = 0;

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
  void deliverToInstance(SimulatedNode& aPlace, ExchangeId aExchange);
  void finish(ExchangeId aExchange, const HttpResponse& aResponse);
  void answerPendingFeeds();
  SimulatedNode* nodeAt(std::uint32_t aAddress);

  TimePoint mNow{ std::chrono::seconds(1000) };
  TimerQueue mTimers;
  std::map<std::string, SimulatedNode> mNodes;
  std::map<std::string, Endpoint> mTargets;
  std::map<std::uint64_t, PendingExchange> mExchanges;
  std::set<std::uint64_t> mFeeds;
  ExchangeId mLast;
  std::uint32_t mLastAddress = 0x0a000000;
};

} // namespace bulrushrun::testing_world
