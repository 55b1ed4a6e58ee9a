#pragma once

#include "bulrushrun/host/Http.h"
#include "bulrushrun/limits/IdleTimeouts.h"
#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/HttpConnection.h"

#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief HTTP/1.1 client with a pool of connections per address.
///
/// Listener events never come from within start().
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// \brief Sends one request. \sa Host
  ExchangeId start(const Endpoint& aEndpoint,
                   const HttpRequest& aRequest,
                   ConnectionUse aUse,
                   ExchangeListener aListener);
  /// \brief Closes the exchange's connection; no event follows.
  void abort(ExchangeId aExchange);
  /// \brief Reads on after a listener asked to stop.
  void resume(ExchangeId aExchange);

private:
  using Connections = std::list<std::unique_ptr<HttpConnection>>;

  void onClosed(HttpConnection& aClosed);
  HttpConnection* takeIdle(const Endpoint& aEndpoint, ConnectionUse aUse);
  HttpConnection* connect(const Endpoint& aEndpoint);
  void discard(HttpConnection& aConnection);

  EventLoop& mLoop;
  std::unordered_map<HttpConnection*, std::unique_ptr<HttpConnection>> mConnections;
  std::map<Endpoint, std::vector<HttpConnection*>> mIdle;
  IdleTimeouts mIdleTimeouts;
  std::unordered_map<std::uint64_t, HttpConnection*> mExchanges;
  Connections mDiscarded;
  ExchangeId mLast;
};

} // namespace bulrushrun
