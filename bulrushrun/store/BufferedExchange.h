#pragma once

#include "bulrushrun/host/Http.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Sends a request and buffers the complete response, subject to a timeout and a size limit.
///
/// \param aTimeout  after this time the exchange is aborted and reported as interrupted
/// \param aMaxBytes  an exchange with a longer response body is aborted and reported as interrupted
/// \param aDone  runs exactly once, never from within the call; the body of an interrupted exchange
/// is what was received of it
template<class HostType>
void startBufferedExchange(HostType& aHost,
                           const Endpoint& aEndpoint,
                           HttpRequest aRequest,
                           Duration aTimeout,
                           std::size_t aMaxBytes,
                           const std::function<void(ExchangeResult, HttpResponse)>& aDone)
{
  struct PendingExchange
  {
    HttpResponse mResponse;
    ExchangeId mExchange;
    TimerId mTimer;
  };
  const std::shared_ptr<PendingExchange> pending = std::make_shared<PendingExchange>();
  const std::function<void()> interrupt = [&aHost, pending, aDone] {
    aHost.cancelTimer(pending->mTimer);
    aHost.abortExchange(pending->mExchange);
    aDone(ExchangeResult::Interrupted, std::move(pending->mResponse));
  };
  ExchangeListener listener;
  listener.mOnHead = [pending](const ResponseHead& aHead) { pending->mResponse.mHead = aHead; };
  listener.mOnBody = [&aHost, pending, aMaxBytes, interrupt](std::string_view aBytes) {
    pending->mResponse.mBody.append(aBytes);
    if (pending->mResponse.mBody.size() > aMaxBytes) {
      aHost.after(Duration{ 0 }, interrupt);
      return false;
    }
    return true;
  };
  listener.mOnEnd = [&aHost, pending, aDone](ExchangeResult aResult, const std::string&) {
    aHost.cancelTimer(pending->mTimer);
    aDone(aResult, std::move(pending->mResponse));
  };
  pending->mExchange =
    aHost.startExchange(aEndpoint, std::move(aRequest), ConnectionUse::Pooled, std::move(listener));
  pending->mTimer = aHost.after(aTimeout, interrupt);
}

} // namespace bulrushrun
