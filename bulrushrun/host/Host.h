#pragma once

#include "bulrushrun/host/Event.h"
#include "bulrushrun/host/Http.h"
#include "bulrushrun/host/Responder.h"
#include "bulrushrun/store/Platform.h"

#include <concepts>
#include <functional>
#include <string>

namespace bulrushrun {

/// \brief Runtime environment of an instance: clocks, random numbers, timers, connections, the
/// platform and the log.
///
/// The daemon's host is built on an event loop, that of the simulation on a virtual clock. The same
/// instance code runs on both.
///
/// - `now()` reads the clock at each call, so that a process notices how long it was paused.
/// - `startExchange` sends one request; its callbacks run later, never from within the call.
/// - `abortExchange` closes the connection of an exchange; no callback follows.
/// - `ResponderType` is the channel for the response to an incoming request.
template<class H>
concept Host = requires(H aHost,
                        const Endpoint& aEndpoint,
                        HttpRequest aRequest,
                        ExchangeListener aListener,
                        ExchangeId aExchange,
                        TimerId aTimer,
                        Duration aDelay,
                        std::function<void()> aCallback,
                        std::string aBytes,
                        const Event& aEvent)
{
  {
    aHost.now()
    } -> std::same_as<TimePoint>;
  {
    aHost.wallTime()
    } -> std::same_as<UnixSeconds>;
  {
    aHost.random()
    } -> std::same_as<Random&>;
  {
    aHost.after(aDelay, aCallback)
    } -> std::same_as<TimerId>;
  aHost.cancelTimer(aTimer);
  {
    aHost.startExchange(aEndpoint, aRequest, ConnectionUse::Pooled, aListener)
    } -> std::same_as<ExchangeId>;
  aHost.abortExchange(aExchange);
  aHost.resumeExchange(aExchange);
  aHost.sendToPeer(aEndpoint, aBytes);
  aHost.log(aEvent, aBytes);
  requires Responder<typename H::ResponderType>;
  requires Platform<std::remove_reference_t<decltype(aHost.platform())>>;
};

} // namespace bulrushrun
