#pragma once

#include "bulrushrun/host/Http.h"
#include "bulrushrun/limits/IdleTimeouts.h"
#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/HttpConnection.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief HTTP/1.1 client with a connection pool per endpoint.
///
/// start() never calls the listener itself; its events come later, from the event loop.
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient() { mLoop.cancelTimer(mDiscardTimer); }

  /// \brief Sets the callback for endpoints that sent bytes which belong to no request. The bytes
  /// are discarded and the connection is closed.
  void setOnStrayBytes(std::function<void(const Endpoint&)> aOnStrayBytes)
  {
    mOnStrayBytes = std::move(aOnStrayBytes);
  }
  /// \brief Sends one request. \sa Host
  ExchangeId start(const Endpoint& aEndpoint,
                   const HttpRequest& aRequest,
                   ConnectionUse aUse,
                   ExchangeListener aListener);
  /// \brief Aborts an exchange and closes its connection; no event follows.
  void abort(ExchangeId aExchange);
  /// \brief Resumes reading after the listener paused it.
  void resume(ExchangeId aExchange);

private:
  using Connections = std::list<std::unique_ptr<HttpConnection>>;

  void onClosed(HttpConnection& aClosed);
  HttpConnection* takeIdle(const Endpoint& aEndpoint, ConnectionUse aUse);
  HttpConnection* connect(const Endpoint& aEndpoint);
  void removeIdle(HttpConnection& aConnection);
  void discard(HttpConnection& aConnection);

  EventLoop& mLoop;
  std::unordered_map<HttpConnection*, std::unique_ptr<HttpConnection>> mConnections;
  std::map<Endpoint, std::vector<HttpConnection*>> mIdle;
  IdleTimeouts mIdleTimeouts;
  std::unordered_map<std::uint64_t, HttpConnection*> mExchanges;
  Connections mDiscarded;
  TimerId mDiscardTimer;
  std::function<void(const Endpoint&)> mOnStrayBytes;
  ExchangeId mLastExchange;
};

} // namespace bulrushrun
