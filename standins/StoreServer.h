#pragma once

#include "bulrushrun/net.h"
#include "standins/RowsStore.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bulrushrun::standins {

/// \brief What is wrong with one address of the store.
struct StoreTrouble
{
  /// Calls get this status at once.
  std::optional<int> mRefusal;
  /// Calls are taken and never answered; nothing is done.
  bool mSilent = false;
  /// Probability that a call is done and not answered.
  double mLost = 0;
  /// Every answer takes this much longer.
  Duration mDelay{ 0 };
};

/// \brief The rows store over HTTP, at any number of addresses, each with its own trouble: so the
/// store can turn some instances away and serve the others.
class StoreServer
{
public:
  StoreServer(EventLoop& aLoop, std::uint64_t aSeed)
    : mLoop(aLoop)
    , mRandom(aSeed)
  {
  }

  /// \brief Opens one more address.
  void open(const Endpoint& aEndpoint);
  StoreTrouble& trouble(const Endpoint& aEndpoint) { return mDoors.at(aEndpoint).mTrouble; }
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
    StoreTrouble mTrouble;
    std::unique_ptr<HttpServer> mServer;
  };
  /// Feed call that waits for a change.
  struct Waiting
  {
    HttpRequest mRequest;
    ResponderPtr mResponder;
    const StoreTrouble* mTrouble;
    TimePoint mUntil;
  };

  void handle(const StoreTrouble& aTrouble, HttpRequest aRequest, const ResponderPtr& aResponder);
  void answer(const StoreTrouble& aTrouble,
              const HttpResponse& aResponse,
              const ResponderPtr& aResponder);
  void answerWaiting();

  EventLoop& mLoop;
  Random mRandom;
  RowsStore mRows;
  std::map<Endpoint, Door> mDoors;
  std::list<Waiting> mWaiting;
  /// Requests that are never answered.
  std::vector<ResponderPtr> mHeld;
};

} // namespace bulrushrun::standins
