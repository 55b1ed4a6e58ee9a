#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/net/EventLogger.h"
#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/HttpClient.h"
#include "bulrushrun/net/HttpResponder.h"
#include "bulrushrun/net/PeerSocket.h"

#include <random>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Host of an instance on the event loop: system clocks, timers, sockets and log.
/// \sa DaemonHost
class EventLoopHost
{
public:
  using ResponderType = HttpResponder;

  EventLoopHost(EventLoop& aLoop, const Endpoint& aPeer, PeerSocket::Receiver aReceiver)
    : mLoop(aLoop)
    , mClient(aLoop)
    , mPeers(aLoop, aPeer, std::move(aReceiver))
    , mRandom((std::uint64_t{ std::random_device{}() } << 32U) | std::random_device{}())
  {
    mClient.setOnStrayBytes([](const Endpoint& aEndpoint) {
      logEvent(events::kAnswerCrossed, "address=" + aEndpoint.text() + " reason=\"no request\"");
    });
  }

  TimePoint now() const { return EventLoop::now(); }
  UnixSeconds wallTime() const
  {
    return std::chrono::duration_cast<UnixSeconds>(
      std::chrono::system_clock::now().time_since_epoch());
  }
  Random& random() { return mRandom; }

  TimerId after(Duration aDelay, TimerQueue::Callback aCallback)
  {
    return mLoop.after(aDelay, std::move(aCallback));
  }
  void cancelTimer(TimerId aTimer) { mLoop.cancelTimer(aTimer); }

  ExchangeId startExchange(const Endpoint& aEndpoint,
                           const HttpRequest& aRequest,
                           ConnectionUse aUse,
                           ExchangeListener aListener)
  {
    return mClient.start(aEndpoint, aRequest, aUse, std::move(aListener));
  }
  void abortExchange(ExchangeId aExchange) { mClient.abort(aExchange); }
  void resumeExchange(ExchangeId aExchange) { mClient.resume(aExchange); }

  void sendToPeer(const Endpoint& aPeer, const std::string& aBytes) { mPeers.send(aPeer, aBytes); }
  void log(const Event& aEvent, const std::string& aText) { logEvent(aEvent, aText); }

private:
  EventLoop& mLoop;
  HttpClient mClient;
  PeerSocket mPeers;
  Random mRandom;
};

} // namespace bulrushrun
