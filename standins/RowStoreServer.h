#pragma once

#include "bulrushrun/net.h"
#include "standins/InMemoryRowStore.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bulrushrun::standins {

/// \brief Faults injected at one address of the store.
struct StoreFaults
{
  /// All requests fail at once with this status.
  std::optional<int> mErrorStatus;
  /// Requests are accepted but neither executed nor answered.
  bool mSilent = false;
  /// Probability that a request is executed but never answered.
  double mLostResponseProbability = 0;
  /// Additional delay of every response.
  Duration mDelay{ 0 };
};

/// \brief Serves an InMemoryRowStore over HTTP at any number of addresses. Each address has its
/// own faults, so the store can reject some instances and serve the others.
class RowStoreServer
{
public:
  RowStoreServer(EventLoop& aLoop, std::uint64_t aSeed)
    : mLoop(aLoop)
    , mRandom(aSeed)
  {
  }

  /// \brief Listens on one more address.
  void open(const Endpoint& aEndpoint);
  StoreFaults& faults(const Endpoint& aEndpoint) { return mListeners.at(aEndpoint).mFaults; }
  /// \brief Writes a row on behalf of another writer, such as the operator.
  void put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  /// \brief Removes a row on behalf of another writer.
  void remove(const std::string& aTable, const std::string& aKey);
  /// \brief Replaces the rows by a copy of this age.
  void restore(Duration aAge);
  /// \brief Discards the change history.
  void compact() { mStore.compact(); }

private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  struct Listener
  {
    StoreFaults mFaults;
    std::unique_ptr<HttpServer> mServer;
  };
  /// Feed request that waits for a change.
  struct PendingFeed
  {
    HttpRequest mRequest;
    ResponderPtr mResponder;
    const StoreFaults* mFaults;
    TimePoint mDeadline;
  };

  void handle(const StoreFaults& aFaults, HttpRequest aRequest, const ResponderPtr& aResponder);
  void sendResponse(const StoreFaults& aFaults,
                    const HttpResponse& aResponse,
                    const ResponderPtr& aResponder);
  void answerPendingFeeds();

  EventLoop& mLoop;
  Random mRandom;
  InMemoryRowStore mStore;
  std::map<Endpoint, Listener> mListeners;
  std::list<PendingFeed> mPendingFeeds;
  /// Requests that are never answered.
  std::vector<ResponderPtr> mUnanswered;
};

} // namespace bulrushrun::standins
