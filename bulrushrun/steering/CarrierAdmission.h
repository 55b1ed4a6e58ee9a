#pragma once

#include "bulrushrun/steering/RequestCarrier.h"

/// \file
/// \brief RequestCarrier: how requests are taken in and watched.

namespace bulrushrun {

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::refuseOutright(ResponderType& aResponder,
                                                    int aStatus,
                                                    const std::string& aText)
{
  HttpResponse response;
  response.mHead.mStatus = aStatus;
  response.mHead.mHeaders = { { "Content-Type", "text/plain" } };
  if (aStatus == 503) {
    response.mHead.mHeaders.push_back({ "Retry-After", "0.5" });
  }
  response.mHead.mCloseAfter = mView.mStopping;
  response.mBody = aText + "\n";
  respond(aResponder, response);
  ++mCounters.mRefused;
  mHost.log(events::kRequestRefused,
            "status=" + std::to_string(aStatus) + " reason=\"" + aText + "\"");
}

template<class HostType, class Wire>
bool RequestCarrier<HostType, Wire>::exceedsLimits(const HttpRequest& aRequest,
                                                   ResponderType& aResponder)
{
  const CallerLimits& limits = mView.mPlan->mLimits;
  std::size_t bytes = 0;
  for (const Header& header : aRequest.mHeaders) {
    bytes += header.mName.size() + header.mValue.size();
  }
  if (limits.mHeaderBytes > 0 && bytes > limits.mHeaderBytes) {
    refuseOutright(aResponder, 431, "the headers are longer than the configured limit");
    return true;
  }
  if (limits.mBodyBytes > 0 && aRequest.mBody.size() > limits.mBodyBytes) {
    refuseOutright(aResponder, 413, "the body is longer than the configured limit");
    return true;
  }
  return false;
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::accept(HttpRequest aRequest,
                                            ResponderPtr aResponder,
                                            TimePoint aArrived)
{
  ++mCounters.mAccepted;
  if (mView.mPlan == nullptr) {
    refuseOutright(*aResponder, 503, "no configuration is known yet");
    return;
  }
  if (mView.mClosed) {
    refuseOutright(*aResponder, 503, "this instance is about to end; use another one");
    return;
  }
  if (exceedsLimits(aRequest, *aResponder)) {
    return;
  }
  const std::string_view path = std::string_view{ aRequest.mPath };
  const Route* route = mView.mPlan->match(aRequest.mAuthority, path.substr(0, path.find('?')));
  if (route == nullptr) {
    refuseOutright(*aResponder,
                   404,
                   "no route for host=" + aRequest.mAuthority + " path=" + aRequest.mPath +
                     " version=" + std::to_string(mView.mPlan->mVersion.value()));
    return;
  }
  const TimePoint now = mHost.now();
  mLast = mLast.next();
  const RepeatPolicy policy = route->mIdempotent ? RepeatPolicy::Free : RepeatPolicy::Single;
  std::unique_ptr<Request> owned = std::make_unique<Request>(mLast, policy);
  Request& request = *owned;
  mRequests.emplace(mLast.value(), std::move(owned));
  request.mFacts = Wire::readCall(aRequest);
  request.mRequest = std::move(aRequest);
  request.mResponder = std::move(aResponder);
  request.mPlan = mView.mPlan;
  request.mRoute = route;
  request.mService = mSplits[route->mName].next(route->mServices);
  request.mArrived = aArrived;
  request.mLimit =
    aArrived + std::min(request.mFacts.mTimeLeft.value_or(kDefaultTimeLeft), route->mTimeout);
  watchCaller(request);
  const RequestId id = request.mId;
  request.mLimitTimer = mHost.after(request.mLimit - now, [this, id] { onLimit(id); });
  mRetries[request.mService].onFresh(now);
  apply(id, RequestEvent::Admitted);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::watchCaller(Request& aRequest)
{
  const RequestId id = aRequest.mId;
  aRequest.mResponder->mOnGone = [this, id] { onCallerGone(id); };
  aRequest.mResponder->mOnWritable = [this, id] {
    Request* request = find(id);
    if (request != nullptr && request->mStreaming && request->mSend) {
      mHost.resumeExchange(request->mSend->mExchange);
    }
  };
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::onCallerGone(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  ++mCounters.mCallersGone;
  request->mReason = "the caller left";
  dropSend(*request);
  apply(aId, RequestEvent::CallerLeft);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::sweep()
{
  std::vector<RequestId> gone;
  for (const auto& [number, request] : mRequests) {
    if (request->mResponder->isGone()) {
      gone.push_back(request->mId);
    }
  }
  for (const RequestId id : gone) {
    onCallerGone(id);
  }
  mPicker.forgetUnknown(mView.mTargets);
}

template<class HostType, class Wire>
typename RequestCarrier<HostType, Wire>::Request* RequestCarrier<HostType, Wire>::find(
  RequestId aId)
{
  const auto found = mRequests.find(aId.value());
  return found == mRequests.end() ? nullptr : found->second.get();
}

} // namespace bulrushrun
