#pragma once

#include "bulrushrun/host/Http.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrushrun {

/// \brief Sends a request and gathers the whole answer, within a time limit.
///
/// \param aLimit  after this span the exchange is given up as broken
/// \param aMaxBytes  a longer answer is given up as broken
/// \param aDone  runs exactly once, never from within the call
template<class HostType>
void startBufferedExchange(HostType& aHost,
                           const Endpoint& aEndpoint,
                           HttpRequest aRequest,
                           Duration aLimit,
                           std::size_t aMaxBytes,
                           const std::function<void(ExchangeResult, HttpResponse)>& aDone)
{
  struct Pending
  {
    HttpResponse mResponse;
    ExchangeId mExchange;
    TimerId mTimer;
  };
  const std::shared_ptr<Pending> pending = std::make_shared<Pending>();
  const std::function<void()> giveUp = [&aHost, pending, aDone] {
    aHost.cancelTimer(pending->mTimer);
    aHost.abortExchange(pending->mExchange);
    aDone(ExchangeResult::Interrupted, {});
  };
  ExchangeListener listener;
  listener.mOnHead = [pending](const ResponseHead& aHead) { pending->mResponse.mHead = aHead; };
  listener.mOnBody = [&aHost, pending, aMaxBytes, giveUp](std::string_view aBytes) {
    pending->mResponse.mBody.append(aBytes);
    if (pending->mResponse.mBody.size() > aMaxBytes) {
      aHost.after(Duration{ 0 }, giveUp);
      return false;
    }
    return true;
  };
  listener.mOnEnd = [&aHost, pending, aDone](ExchangeResult aEnd, const std::string&) {
    aHost.cancelTimer(pending->mTimer);
    aDone(aEnd, std::move(pending->mResponse));
  };
  pending->mExchange =
    aHost.startExchange(aEndpoint, std::move(aRequest), ConnectionUse::Pooled, std::move(listener));
  pending->mTimer = aHost.after(aLimit, giveUp);
}

} // namespace bulrushrun
