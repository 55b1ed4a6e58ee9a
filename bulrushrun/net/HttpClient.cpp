#include "bulrushrun/net/HttpClient.h"

#include <algorithm>
#include <utility>

namespace bulrushrun {

namespace {

/// A connection that completed an exchange this recently is assumed to be open still.
constexpr Duration kRecentlyVerifiedSpan = std::chrono::milliseconds(500);
constexpr std::size_t kMaxIdlePerEndpoint = 64;

} // namespace

void HttpClient::onClosed(HttpConnection& aClosed)
{
  if (aClosed.staleAfter()) {
    mIdleTimeouts.onStaleConnection(aClosed.endpoint(), *aClosed.staleAfter(), EventLoop::now());
  }
  discard(aClosed);
}

HttpConnection* HttpClient::takeIdle(const Endpoint& aEndpoint, ConnectionUse aUse)
{
  if (aUse == ConnectionUse::New) {
    return nullptr;
  }
  for (auto found = mIdle.find(aEndpoint); found != mIdle.end(); found = mIdle.find(aEndpoint)) {
    HttpConnection* newest = found->second.back();
    const TimePoint now = EventLoop::now();
    const Duration idle = now - newest->lastCompletedAt();
    if (idle < mIdleTimeouts.limit(aEndpoint, newest->idleTimeout(), now)) {
      if (aUse == ConnectionUse::RecentlyVerified && idle >= kRecentlyVerifiedSpan) {
        return nullptr;
      }
      if (newest->isQuiet()) {
        removeIdle(*newest);
        return newest;
      }
    }
    discard(*newest);
  }
  return nullptr;
}

HttpConnection* HttpClient::connect(const Endpoint& aEndpoint)
{
  std::unique_ptr<HttpConnection> connection = std::make_unique<HttpConnection>(
    mLoop,
    aEndpoint,
    [this](HttpConnection& aIdle) {
      std::vector<HttpConnection*>& idle = mIdle[aIdle.endpoint()];
      if (idle.size() >= kMaxIdlePerEndpoint) {
        discard(aIdle);
      } else {
        idle.push_back(&aIdle);
      }
    },
    [this](HttpConnection& aClosed) { onClosed(aClosed); });
  if (!connection->isOpen()) {
    return nullptr;
  }
  HttpConnection* raw = connection.get();
  mConnections.emplace(raw, std::move(connection));
  return raw;
}

/// Keeps no entry for an endpoint without idle connections, as endpoints come and go.
void HttpClient::removeIdle(HttpConnection& aConnection)
{
  const auto found = mIdle.find(aConnection.endpoint());
  if (found != mIdle.end() && std::erase(found->second, &aConnection) > 0 &&
      found->second.empty()) {
    mIdle.erase(found);
  }
}

void HttpClient::discard(HttpConnection& aConnection)
{
  removeIdle(aConnection);
  const auto found = mConnections.find(&aConnection);
  if (found == mConnections.end()) {
    return;
  }
  if (aConnection.hasStrayBytes() && mOnStrayBytes) {
    mOnStrayBytes(aConnection.endpoint());
  }
  if (mDiscarded.empty()) {
    mDiscardTimer = mLoop.after(Duration{ 0 }, [this] { mDiscarded.clear(); });
  }
  mDiscarded.push_back(std::move(found->second));
  mConnections.erase(found);
}

ExchangeId HttpClient::start(const Endpoint& aEndpoint,
                             const HttpRequest& aRequest,
                             ConnectionUse aUse,
                             ExchangeListener aListener)
{
  mLastExchange = mLastExchange.next();
  const ExchangeId exchange = mLastExchange;
  HttpConnection* connection = takeIdle(aEndpoint, aUse);
  if (connection == nullptr) {
    connection = connect(aEndpoint);
  }
  if (connection == nullptr) {
    mLoop.after(Duration{ 0 }, [listener = std::move(aListener)] {
      listener.mOnEnd(ExchangeResult::NotSent, "cannot start to connect");
    });
    return exchange;
  }
  mExchanges.emplace(exchange.value(), connection);
  aListener.mOnEnd = [this, exchange, onResult = std::move(aListener.mOnEnd)](
                       ExchangeResult aResult, const std::string& aReason) {
    mExchanges.erase(exchange.value());
    onResult(aResult, aReason);
  };
  connection->start(aRequest, std::move(aListener));
  return exchange;
}

void HttpClient::abort(ExchangeId aExchange)
{
  const auto found = mExchanges.find(aExchange.value());
  if (found == mExchanges.end()) {
    return;
  }
  HttpConnection* connection = found->second;
  mExchanges.erase(found);
  connection->abort();
  discard(*connection);
}

void HttpClient::resume(ExchangeId aExchange)
{
  const auto found = mExchanges.find(aExchange.value());
  if (found != mExchanges.end()) {
    found->second->resume();
  }
}

} // namespace bulrushrun
