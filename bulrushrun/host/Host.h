#pragma once

#include "bulrushrun/host/Event.h"
#include "bulrushrun/host/Http.h"
#include "bulrushrun/host/Responder.h"
#include "bulrushrun/store/Platform.h"

#include <concepts>
#include <functional>
#include <string>

namespace bulrushrun {

/// \brief What a node needs of its surroundings: time, chance, connections, the platform, a log.
///
/// The daemon's host is built on the event loop; the scenario runner's has a virtual clock. The
/// same node runs on both.
///
/// - `now()` is read afresh at each call, so that a paused process sees that time has passed.
/// - `startExchange` sends one request; its events come later, never from within the call.
/// - `ResponderType` is the answer channel of an incoming request.
/// - `abortExchange` closes the exchange's connection; no event follows.
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
