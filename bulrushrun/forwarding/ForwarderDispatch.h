#pragma once

#include "bulrushrun/forwarding/Forwarder.h"

/// \file
/// \brief Forwarder: dispatch of queued requests, and sending to targets and peers.

namespace bulrushrun {

/// After a pause of the process its view of targets and peers may be outdated: targets get no
/// requests until a new health check, and for at least kPauseRecoveryTime, in which peers' updates
/// arrive.
template<class HostType>
void Forwarder<HostType>::checkForPause()
{
  const TimePoint now = mHost.now();
  const bool paused = mLastSweep != TimePoint{} && now - mLastSweep > kPauseThreshold;
  mLastSweep = paused || mLastSweep == TimePoint{} ? now : mLastSweep;
  if (!paused) {
    return;
  }
  mMetrics.count("pauses");
  for (auto service = mServices.begin(); service != mServices.end(); ++service) {
    service->second.mPool.awaitHealthChecks(kPauseRecoveryTime, now);
  }
  if (mOnPause) {
    mOnPause();
  }
}

template<class HostType>
void Forwarder<HostType>::dispatchQueued(const ServiceKey& aService)
{
  ServiceState& service = state(aService);
  checkForPause();
  if (service.mDispatching) {
    return;
  }
  service.mDispatching = true;
  while (const std::optional<Dispatch> next = service.mPool.next(mHost.now())) {
    dispatch(service, *next);
  }
  service.mDispatching = false;
  if (service.mPool.queueLength() > 0 && !service.mDispatchTimerArmed) {
    service.mDispatchTimerArmed = true;
    mHost.after(kDispatchPeriod, [this, aService] {
      state(aService).mDispatchTimerArmed = false;
      dispatchQueued(aService);
    });
  }
}

/// Sends a request to its target. Deadline and caller are checked again before the first byte is
/// sent, because time has passed since the request was queued.
template<class HostType>
void Forwarder<HostType>::dispatch(ServiceState& aState, const Dispatch& aDispatch)
{
  Request* request = find(aDispatch.mRequest);
  assert(request != nullptr && "a queued request must be in progress");
  request->mAttempt = Attempt{};
  request->mAttempt->mDestination.mTarget = aDispatch.mTarget.mId;
  request->mAttempt->mHoldsSlot = true;
  const TimePoint now = mHost.now();
  const Duration expectedTime = aState.mPool.responseTime(request->mParameters.mClass.mName);
  if (now + expectedTime / 2 >= request->mDeadline) {
    endAttempt(*request, SlotRelease::Cancelled);
    request->mRefusal.mReason = RefusalReason::DeadlinePassed;
    apply(request->mId, RequestEvent::DeadlinePassed);
    return;
  }
  if (request->mResponder->isDisconnected()) {
    onCallerDisconnected(request->mId);
    if (find(aDispatch.mRequest) == nullptr ||
        request->mStateMachine.state() != RequestState::Queued) {
      return;
    }
  }
  send(*request,
       { aDispatch.mTarget.mEndpoint, aDispatch.mTarget.mZone, aDispatch.mTarget.mId, {} });
}

template<class HostType>
void Forwarder<HostType>::relay(Request& aRequest)
{
  const std::optional<ServiceOwner> owner = chooseRelay(
    *mView, aRequest.mParameters.mService, mZone, mSelf, aRequest.mTriedPeers, mHost.random());
  if (!owner) {
    if (aRequest.mRefusal.mReason == RefusalReason::None) {
      aRequest.mRefusal.mReason = RefusalReason::NoTarget;
    }
    apply(aRequest.mId, RequestEvent::Refused);
    return;
  }
  aRequest.mTriedPeers.insert(owner->mInstance.mId);
  aRequest.mAttempt = Attempt{};
  mMetrics.count("relays");
  send(aRequest, { owner->mInstance.mListen, owner->mTargetZone, {}, owner->mInstance.mId });
}

template<class HostType>
HttpRequest Forwarder<HostType>::outgoing(const Request& aRequest,
                                          const Destination& aDestination) const
{
  HttpRequest request = aRequest.mRequest;
  request.mHeaders = endToEndHeaders(request.mHeaders);
  const Duration timeLeft = aRequest.mDeadline - mHost.now();
  setHeader(request.mHeaders, headers::kDeadline, std::to_string(std::max(toMillis(timeLeft), 1L)));
  setHeader(request.mHeaders, headers::kExchange, aRequest.mAttempt->mExchangeName);
  if (!aDestination.mPeer.empty()) {
    setHeader(request.mHeaders, headers::kRelay, mSelf.text());
    const ZoneName& zone = aRequest.mParameters.mCallerZone;
    setHeader(request.mHeaders, headers::kCallerZone, zone.empty() ? mZone.text() : zone.text());
  }
  return request;
}

template<class HostType>
Duration Forwarder<HostType>::firstByteTimeout(const Request& aRequest)
{
  const ServicePool& pool = state(aRequest.mParameters.mService).mPool;
  const Duration expectedTime = pool.responseTime(aRequest.mParameters.mClass.mName);
  return std::max(kMinFirstByteTimeout, kFirstByteFactor * expectedTime);
}

template<class HostType>
void Forwarder<HostType>::send(Request& aRequest, const Destination& aDestination)
{
  const RequestId id = aRequest.mId;
  ++aRequest.mAttempts;
  Attempt& attempt = *aRequest.mAttempt;
  attempt.mDestination = aDestination;
  attempt.mExchangeName = mExchangeNamePrefix + "-" + std::to_string(++mLastExchange);
  attempt.mStarted = mHost.now();
  aRequest.mLastTarget = aDestination.mTarget;
  aRequest.mStateMachine.apply(RequestEvent::Dispatched);
  const bool repeatable = aRequest.mParameters.mClass.mRepeatable;
  ExchangeListener listener;
  listener.mOnHead = [this, id](const ResponseHead& aHead) { onHead(id, aHead); };
  listener.mOnBody = [this, id](std::string_view aBytes) { return onBody(id, aBytes); };
  listener.mOnEnd = [this, id](ExchangeResult aEnd, const std::string& aReason) {
    onEnd(id, aEnd, aReason);
  };
  attempt.mExchange =
    mHost.startExchange(aDestination.mEndpoint,
                        outgoing(aRequest, aDestination),
                        repeatable ? ConnectionUse::Pooled : ConnectionUse::RecentlyVerified,
                        std::move(listener));
  if (repeatable && aDestination.mPeer.empty()) {
    restartProgressTimer(aRequest, firstByteTimeout(aRequest));
  }
}

} // namespace bulrushrun
