#pragma once

#include "bulrushrun/host/Http.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace bulrushrun {

/// A response that arrives slowly may take up to this multiple of the timeout.
inline constexpr int kMaxTransferFactor = 8;

/// \brief Sends a request and buffers the complete response, subject to a timeout and a size limit.
///
/// \param aTimeout  the exchange is aborted and reported as interrupted when no part of the
/// response arrives for this long, and after kMaxTransferFactor times this long in any case \param
/// aMaxBytes  an exchange with a longer response body is aborted and reported as interrupted \param
/// aDone  runs exactly once, never from within the call; the body of an interrupted exchange is
/// what was received of it
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
    TimePoint mDue;
    std::function<void()> mOnTimer;
    bool mEnded = false;
  };
  const std::shared_ptr<PendingExchange> pending = std::make_shared<PendingExchange>();
  const TimePoint lastDue = aHost.now() + kMaxTransferFactor * aTimeout;
  pending->mDue = aHost.now() + aTimeout;
  const auto end = [&aHost, pending, aDone](ExchangeResult aResult) {
    if (std::exchange(pending->mEnded, true)) {
      return;
    }
    aHost.cancelTimer(pending->mTimer);
    pending->mOnTimer = nullptr;
    aDone(aResult, std::move(pending->mResponse));
  };
  const std::function<void()> interrupt = [&aHost, pending, end] {
    aHost.abortExchange(pending->mExchange);
    end(ExchangeResult::Interrupted);
  };
  ExchangeListener listener;
  const auto onProgress = [&aHost, pending, aTimeout, lastDue] {
    pending->mDue = std::min(aHost.now() + aTimeout, lastDue);
  };
  listener.mOnHead = [pending, onProgress](const ResponseHead& aHead) {
    pending->mResponse.mHead = aHead;
    onProgress();
  };
  listener.mOnBody = [&aHost, pending, aMaxBytes, interrupt, onProgress](std::string_view aBytes) {
    pending->mResponse.mBody.append(aBytes);
    onProgress();
    if (pending->mResponse.mBody.size() > aMaxBytes) {
      aHost.after(Duration{ 0 }, interrupt);
      return false;
    }
    return true;
  };
  listener.mOnEnd = [end](ExchangeResult aResult, const std::string&) { end(aResult); };
  pending->mExchange =
    aHost.startExchange(aEndpoint, std::move(aRequest), ConnectionUse::Pooled, std::move(listener));
  // Moved on only when it is due, so that a part of the response costs no timer.
  pending->mOnTimer = [&aHost, raw = pending.get(), interrupt] {
    if (aHost.now() >= raw->mDue) {
      interrupt();
    } else {
      raw->mTimer = aHost.after(raw->mDue - aHost.now(), raw->mOnTimer);
    }
  };
  pending->mTimer = aHost.after(aTimeout, pending->mOnTimer);
}

} // namespace bulrushrun
