#pragma once

#include "bulrushrun/forwarding/Forwarder.h"

/// \file
/// \brief Forwarder: fleet view and admission of requests.

namespace bulrushrun {

template<class HostType>
void Forwarder<HostType>::setView(std::shared_ptr<const FleetView> aView)
{
  const bool first = mView == nullptr;
  mView = std::move(aView);
  for (const Tenant& tenant : mView->mDocument->mTenants) {
    for (const Service& service : tenant.mServices) {
      std::vector<TargetSpec> owned;
      for (const TargetSpec& target : service.mTargets) {
        const Owner* owner = mView->mOwnership.ownerOf(target.mId);
        if (owner != nullptr && owner->mInstance == mSelf) {
          owned.push_back(target);
        }
      }
      state({ tenant.mName, service.mName }).mPool.setTargets(owned, !first, mHost.now());
    }
  }
  updateLeaving();
  for (auto service = mServices.begin(); service != mServices.end(); ++service) {
    service->second.mPool.setEjectionCap(mView->mDocument->mDefaults.mEjectionCap);
    dispatchQueued(service->first);
  }
}

template<class HostType>
void Forwarder<HostType>::updateLeaving()
{
  const UnixSeconds now = mHost.wallTime();
  for (auto service = mServices.begin(); service != mServices.end(); ++service) {
    std::vector<std::pair<TargetId, bool>> states;
    for (const auto& [id, target] : service->second.mPool.targets()) {
      const bool leaving =
        mView->mDocument->isLeaving(target.spec(), now) || mLeavingTargets.contains(id);
      states.emplace_back(id, leaving);
    }
    for (const auto& [id, leaving] : states) {
      service->second.mPool.setLeaving(id, leaving);
    }
  }
}

template<class HostType>
bool Forwarder<HostType>::setLeavingTargets(std::set<TargetId> aTargets)
{
  if (aTargets == mLeavingTargets) {
    return false;
  }
  bool hasNew = false;
  for (const TargetId& target : aTargets) {
    if (!mLeavingTargets.contains(target)) {
      hasNew = true;
      mHost.log(events::kTargetLeaving, "target=" + target.text());
    }
  }
  mLeavingTargets = std::move(aTargets);
  if (mView != nullptr) {
    updateLeaving();
  }
  return hasNew;
}

template<class HostType>
void Forwarder<HostType>::onTargetHealthChecked(const TargetId& aTarget)
{
  for (auto service = mServices.begin(); service != mServices.end(); ++service) {
    if (service->second.mPool.onHealthChecked(aTarget)) {
      dispatchQueued(service->first);
      return;
    }
  }
}

template<class HostType>
typename Forwarder<HostType>::ServiceState& Forwarder<HostType>::state(const ServiceKey& aService)
{
  return mServices.try_emplace(aService, mView->mDocument->mDefaults.mEjectionCap).first->second;
}

template<class HostType>
const ServicePool* Forwarder<HostType>::pool(const ServiceKey& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr : &found->second.mPool;
}

template<class HostType>
typename Forwarder<HostType>::Request* Forwarder<HostType>::find(RequestId aId)
{
  const auto found = mRequests.find(aId.value());
  return found == mRequests.end() ? nullptr : found->second.get();
}

template<class HostType>
std::string Forwarder<HostType>::keyOf(const RequestParameters& aParameters)
{
  return "claim/" + aParameters.mService.mTenant.text() + "/" +
         aParameters.mService.mService.text() + "/" + aParameters.mKey.text();
}

template<class HostType>
void Forwarder<HostType>::rejectRequest(ResponderType& aResponder, const Refusal& aRefusal)
{
  mMetrics.count(std::string("refused_") +
                 (aRefusal.mReason == RefusalReason::NotReady ? "not_ready" : "bad_request"));
  HttpResponse response = refusalResponse(aRefusal);
  response.mHead.mHeaders.push_back({ headers::kInstance, mSelf.text() });
  respond(aResponder, response);
}

template<class HostType>
void Forwarder<HostType>::accept(HttpRequest aRequest, ResponderPtr aResponder)
{
  if (mView == nullptr) {
    rejectRequest(*aResponder,
                  { Outcome::NotRun, RefusalReason::NotReady, "no configuration is active yet" });
    return;
  }
  RequestParametersReader reader{ *mView->mDocument };
  const std::optional<RequestParameters> call = reader.read(aRequest.mHeaders);
  if (!call) {
    rejectRequest(*aResponder, reader.lastRefusal());
    return;
  }
  if (!call->mClass.mRepeatable && joinRequestInProgress(aRequest, aResponder, *call)) {
    return;
  }
  admit(std::move(aRequest), std::move(aResponder), *call);
}

/// Attaches a duplicate to the request in progress that has the same idempotency key.
template<class HostType>
bool Forwarder<HostType>::joinRequestInProgress(const HttpRequest& aRequest,
                                                const ResponderPtr& aResponder,
                                                const RequestParameters& aParameters)
{
  const auto keyed = mRequestsByKey.find(keyOf(aParameters));
  Request* first = keyed == mRequestsByKey.end() ? nullptr : find(keyed->second);
  if (first == nullptr) {
    return false;
  }
  if (requestFingerprint(first->mRequest) != requestFingerprint(aRequest)) {
    rejectRequest(*aResponder,
                  { Outcome::NotRun,
                    RefusalReason::KeyReused,
                    "the idempotency key was used for a different request" });
    return true;
  }
  first->mJoinedResponders.push_back(aResponder);
  mMetrics.count("repeats_joined");
  return true;
}

template<class HostType>
RetryPolicy Forwarder<HostType>::retryPolicyFor(const RequestParameters& aParameters,
                                                bool aRelaying) const
{
  if (aParameters.mClass.mRepeatable) {
    return RetryPolicy::Unrestricted;
  }
  return aRelaying ? RetryPolicy::KeyProtected : RetryPolicy::AtMostOnceClaimed;
}

template<class HostType>
void Forwarder<HostType>::admit(HttpRequest&& aRequest,
                                ResponderPtr&& aResponder,
                                const RequestParameters& aParameters)
{
  ServiceState& service = state(aParameters.mService);
  const TimePoint now = mHost.now();
  const bool relaying = !service.mPool.isUsable(now) && aParameters.mRelay.empty();
  mLastRequest = mLastRequest.next();
  const RequestId id = mLastRequest;
  std::unique_ptr<Request>& slot = mRequests[id.value()];
  slot = std::make_unique<Request>(id, retryPolicyFor(aParameters, relaying));
  Request& request = *slot;
  request.mParameters = aParameters;
  request.mRequest = std::move(aRequest);
  request.mResponder = std::move(aResponder);
  request.mArrived = now;
  request.mDeadline = now + aParameters.mDeadline;
  request.mRelaying = relaying;
  service.mRetries.onFirstAttempt(mView->mDocument->mDefaults.mRetryBudget);
  if (!aParameters.mClass.mRepeatable) {
    mRequestsByKey[keyOf(aParameters)] = id;
  }
  request.mDeadlineTimer = mHost.after(aParameters.mDeadline, [this, id] { onDeadline(id); });
  watchCaller(request);
  const std::optional<RefusalReason> refused = reasonToRefuse(request, service);
  if (refused) {
    request.mRefusal.mReason = *refused;
    apply(id, RequestEvent::Refused);
    return;
  }
  apply(id, RequestEvent::Admitted);
}

template<class HostType>
void Forwarder<HostType>::sweep()
{
  checkForPause();
  mLastSweep = mHost.now();
  if (mView != nullptr) {
    updateLeaving();
  }
  std::vector<RequestId> disconnected;
  for (auto entry = mRequests.begin(); entry != mRequests.end(); ++entry) {
    Request& request = *entry->second;
    if (!request.mStateMachine.isCallerDisconnected() && request.mResponder->isDisconnected()) {
      disconnected.push_back(request.mId);
    }
  }
  for (const RequestId id : disconnected) {
    onCallerDisconnected(id);
  }
}

/// Checks the queue and the cap on requests from other regions; counts the request against that
/// cap.
template<class HostType>
std::optional<RefusalReason> Forwarder<HostType>::reasonToRefuse(Request& aRequest,
                                                                 ServiceState& aState)
{
  const TimePoint now = mHost.now();
  if (aRequest.mRelaying) {
    return std::nullopt;
  }
  if (!aState.mPool.isUsable(now)) {
    return RefusalReason::NoTarget;
  }
  if (!aState.mPool.canServe(aRequest.queuedRequest(), now)) {
    return RefusalReason::QueueTooLong;
  }
  if (isFromOtherRegion(aRequest.mParameters)) {
    const Defaults& defaults = mView->mDocument->mDefaults;
    aRequest.mShifted = aState.mShiftCap.tryAdmit(
      { defaults.mShiftCapTotal, defaults.mShiftCapPerSecond }, aState.mPool.usableSlots(now), now);
    return aRequest.mShifted ? std::nullopt : std::optional{ RefusalReason::ShiftCapped };
  }
  return std::nullopt;
}

template<class HostType>
bool Forwarder<HostType>::isFromOtherRegion(const RequestParameters& aParameters) const
{
  const Document& document = *mView->mDocument;
  return !aParameters.mCallerZone.empty() &&
         document.regionOf(aParameters.mCallerZone) != document.regionOf(mZone);
}

/// Callers of joined duplicates still expect the response: one of them replaces the disconnected
/// caller, or, once the response head was forwarded to that caller, all get the stored copy at the
/// end.
template<class HostType>
void Forwarder<HostType>::onCallerDisconnected(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  std::erase_if(request->mJoinedResponders,
                [](const ResponderPtr& aJoined) { return aJoined->isDisconnected(); });
  if (request->mJoinedResponders.empty()) {
    apply(aId, RequestEvent::CallerDisconnected);
    return;
  }
  if (!request->mHeadForwarded) {
    request->mResponder->mOnDisconnect = nullptr;
    request->mResponder = request->mJoinedResponders.front();
    request->mJoinedResponders.erase(request->mJoinedResponders.begin());
    watchCaller(*request);
  }
}

template<class HostType>
void Forwarder<HostType>::watchCaller(Request& aRequest)
{
  const RequestId id = aRequest.mId;
  aRequest.mResponder->mOnDisconnect = [this, id] { onCallerDisconnected(id); };
  aRequest.mResponder->mOnWritable = [this, id] {
    Request* request = find(id);
    if (request != nullptr && request->mAttempt) {
      restartProgressTimer(*request, kBodyTimeout);
      mHost.resumeExchange(request->mAttempt->mExchange);
    }
  };
}

} // namespace bulrushrun
