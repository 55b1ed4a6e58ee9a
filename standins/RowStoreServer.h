#pragma once

#include "bulrushrun/net.h"
#include "standins/InMemoryRowStore.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bulrushrun::standins {

/// \brief What is wrong with one address of the store.
struct StoreFaults
{
  /// Calls get this status at once.
  std::optional<int> mErrorStatus;
  /// Calls are taken and never answered; nothing is done.
  bool mSilent = false;
  /// Probability that a call is done and not answered.
  double mLostResponseProbability = 0;
  /// Every answer takes this much longer.
  Duration mDelay{ 0 };
};

/// \brief The rows store over HTTP, at any number of addresses, each with its own trouble: so the
/// store can turn some instances away and serve the others.
class RowStoreServer
{
public:
  RowStoreServer(EventLoop& aLoop, std::uint64_t aSeed)
    : mLoop(aLoop)
    , mRandom(aSeed)
  {
  }

  /// \brief Opens one more address.
  void open(const Endpoint& aEndpoint);
  StoreFaults& faults(const Endpoint& aEndpoint) { return mDoors.at(aEndpoint).mFaults; }
  /// \brief Writes a row as another writer, such as the operator.
  void put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  /// \brief Removes a row as another writer.
  void remove(const std::string& aTable, const std::string& aKey);
  /// \brief Forgets the history of changes.
  void compact() { mRows.compact(); }

private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  struct Door
  {
    StoreFaults mFaults;
    std::unique_ptr<HttpServer> mServer;
  };
  /// Feed call that waits for a change.
  struct Waiting
  {
    HttpRequest mRequest;
    ResponderPtr mResponder;
    const StoreFaults* mFaults;
    TimePoint mUntil;
  };

  void handle(const StoreFaults& aTrouble, HttpRequest aRequest, const ResponderPtr& aResponder);
  void answer(const StoreFaults& aTrouble,
              const HttpResponse& aResponse,
              const ResponderPtr& aResponder);
  void answerWaiting();

  EventLoop& mLoop;
  Random mRandom;
  InMemoryRowStore mRows;
  std::map<Endpoint, Door> mDoors;
  std::list<Waiting> mWaiting;
  /// Requests that are never answered.
  std::vector<ResponderPtr> mHeld;
};

} // namespace bulrushrun::standins
