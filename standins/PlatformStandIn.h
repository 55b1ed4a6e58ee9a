#pragma once

#include "bulrushrun/net.h"

#include <deque>
#include <map>
#include <string>

namespace bulrushrun::standins {

/// \brief Stand-in for the platform over HTTP: table, object store and instance list.
///
/// PUT /control injects faults: `outage=1` (reject all requests), `delay_ms=N` (delay responses),
/// `lose=P` (execute a request and, with probability P, never respond), `silent=1` (execute
/// requests and never respond).
class PlatformStandIn
{
public:
  PlatformStandIn(EventLoop& aLoop, const Endpoint& aEndpoint);

private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void handle(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  HttpResponse makeResponse(const HttpRequest& aRequest);
  HttpResponse transact(const std::string& aBody);
  HttpResponse read(const std::string& aBody);
  HttpResponse object(const HttpRequest& aRequest);
  HttpResponse control(const std::string& aBody);

  EventLoop& mLoop;
  std::map<std::string, TableRecord> mTable;
  std::map<std::string, std::string> mObjects;
  std::vector<ListedInstance> mInstances;
  bool mOutage = false;
  bool mSilent = false;
  double mLostResponseProbability = 0;
  Duration mDelay{ 0 };
  Random mRandom{ 1 };
  std::uint64_t mTransactions = 0;
  std::uint64_t mReads = 0;
  /// Responders of requests that are never answered.
  std::deque<ResponderPtr> mUnanswered;
  HttpServer mServer;
};

} // namespace bulrushrun::standins
