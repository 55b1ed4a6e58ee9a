#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: admission of requests, and detection of callers that disconnect.

namespace bulrushrun {

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::refuseBeforeAdmission(ResponderType& aResponder,
                                                          int aStatus,
                                                          const std::string& aText,
                                                          Headers aHeaders,
                                                          const std::string& aLogFields)
{
  HttpResponse response;
  response.mHead.mStatus = aStatus;
  response.mHead.mHeaders = std::move(aHeaders);
  response.mHead.mHeaders.push_back({ "Content-Type", "text/plain" });
  if (aStatus == 503) {
    const bool isElsewhere = aText == kShuttingDownText && servicePriorities().hasCustomers();
    response.mHead.mHeaders.push_back(
      { "Retry-After", isElsewhere ? kElsewhereRetryAfter : kRefusalRetryAfter });
  }
  response.mHead.mCloseAfter = mSteeringState.mDraining;
  response.mBody = aText + "\n";
  respond(aResponder, response);
  ++mCounters.mRefused;
  mHost.log(events::kRequestRefused,
            aLogFields + "status=" + std::to_string(aStatus) + " reason=\"" + aText + "\"");
}

template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::exceedsLimits(const HttpRequest& aRequest,
                                                  ResponderType& aResponder)
{
  const CallerLimits& limits = mSteeringState.mPlan->mLimits;
  std::size_t bytes = 0;
  for (const Header& header : aRequest.mHeaders) {
    bytes += header.mName.size() + header.mValue.size();
  }
  if (limits.mHeaderBytes > 0 && bytes > limits.mHeaderBytes) {
    refuseBeforeAdmission(aResponder, 431, "request headers exceed the configured limit");
    return true;
  }
  if (limits.mBodyBytes > 0 && aRequest.mBody.size() > limits.mBodyBytes) {
    refuseBeforeAdmission(aResponder, 413, "request body exceeds the configured limit");
    return true;
  }
  return false;
}

/// \returns false when this instance drains and the process is expected to end before the response.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::canEndBeforeExit(const Route& aRoute, TimePoint aDeadline) const
{
  const std::optional<TimePoint>& due = mSteeringState.mResponsesDue;
  if (!due || aDeadline <= *due) {
    return true;
  }
  const auto found = mRunTimes.find(aRoute.mName);
  const std::optional<Duration> observed =
    found == mRunTimes.end() ? std::nullopt : found->second.upperBound();
  return mHost.now() + observed.value_or(aRoute.mLatencyTarget) <= *due;
}

/// \returns when the target must respond at the latest. A target that ends a request itself says
/// whether it has run, which an exchange that ends with the process leaves open.
template<class HostType, class Codec>
TimePoint RequestProxy<HostType, Codec>::responseDue(const Request& aRequest) const
{
  return std::min(aRequest.mDeadline, mSteeringState.mResponsesDue.value_or(aRequest.mDeadline));
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::recordRunTime(const Request& aRequest, Duration aElapsed)
{
  mRunTimes[aRequest.mRoute->mName].add(aElapsed);
}

template<class HostType, class Codec>
const Route* RequestProxy<HostType, Codec>::matchRoute(const RoutePlan& aPlan,
                                                       const HttpRequest& aRequest)
{
  const std::string_view path = aRequest.mPath;
  return aPlan.match(aRequest.mAuthority, path.substr(0, path.find('?')));
}

/// \returns the route of a request; nullptr when there is none, after a 404 response.
template<class HostType, class Codec>
const Route* RequestProxy<HostType, Codec>::matchOrRefuse(const HttpRequest& aRequest,
                                                          ResponderType& aResponder)
{
  const Route* route = matchRoute(*mSteeringState.mPlan, aRequest);
  if (route == nullptr) {
    refuseBeforeAdmission(aResponder,
                          404,
                          "no route for host=" + aRequest.mAuthority + " path=" + aRequest.mPath +
                            " version=" + std::to_string(mSteeringState.mPlan->mVersion.value()));
  }
  return route;
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::accept(HttpRequest aRequest,
                                           ResponderPtr aResponder,
                                           TimePoint aArrived)
{
  ++mCounters.mAccepted;
  if (mSteeringState.mPlan == nullptr) {
    refuseBeforeAdmission(*aResponder, 503, "no configuration received yet");
    return;
  }
  if (mSteeringState.mRejectingRequests) {
    refuseBeforeAdmission(*aResponder, 503, kShuttingDownText);
    return;
  }
  if (exceedsLimits(aRequest, *aResponder)) {
    return;
  }
  const Route* route = matchOrRefuse(aRequest, *aResponder);
  if (route == nullptr) {
    return;
  }
  const TimePoint now = mHost.now();
  const RequestMetadata metadata = Codec::parseRequestMetadata(aRequest);
  const TimePoint deadline =
    aArrived + std::min(metadata.mCallerTimeout.value_or(kDefaultTimeout), route->mTimeout);
  if (!canEndBeforeExit(*route, deadline)) {
    refuseBeforeAdmission(*aResponder, 503, kShuttingDownText);
    return;
  }
  const CallerIdentification caller = identify(aRequest, *route);
  if (!admitKey(caller, *aResponder, *route, metadata)) {
    return;
  }
  mLastId = mLastId.next();
  const RetryPolicy policy =
    route->mIdempotent ? RetryPolicy::Unrestricted : RetryPolicy::AtMostOnceUnclaimed;
  std::unique_ptr<Request> owned = std::make_unique<Request>(mLastId, policy);
  Request& request = *owned;
  mRequests.emplace(mLastId.value(), std::move(owned));
  request.mMetadata = metadata;
  request.mRequest = std::move(aRequest);
  request.mResponder = std::move(aResponder);
  request.mPlan = mSteeringState.mPlan;
  request.mRoute = route;
  request.mService = mServiceSplits[route->mName].next(route->mServices);
  setIdentity(request, caller, *route);
  request.mArrived = aArrived;
  request.mDeadline = deadline;
  setCallerCallbacks(request);
  const RequestId id = request.mId;
  request.mDeadlineTimer =
    mHost.after(request.mDeadline - now, [this, id] { endUnanswered(id, "the deadline passed"); });
  admitWithinQuota(request);
}

/// Any refusal is left to accept(), whose response then waits for its turn.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::mayRunAhead(const HttpRequest& aRequest) const
{
  if (mSteeringState.mPlan == nullptr || mSteeringState.mDraining ||
      mSteeringState.mRejectingRequests) {
    return false;
  }
  const Route* route = matchRoute(*mSteeringState.mPlan, aRequest);
  return route != nullptr && route->mIdempotent;
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::setCallerCallbacks(Request& aRequest)
{
  const RequestId id = aRequest.mId;
  aRequest.mResponder->mOnDisconnect = [this, id] { onCallerDisconnected(id); };
  aRequest.mResponder->mOnWritable = [this, id] {
    if (const Request* request = find(id)) {
      for (const TargetAttempt* attempt : request->attemptsInProgress()) {
        mHost.resumeExchange(attempt->mExchange);
      }
    }
  };
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::onCallerDisconnected(RequestId aId)
{
  Request* request = find(aId);
  if (request == nullptr) {
    return;
  }
  ++mCounters.mCallersDisconnected;
  request->mReason = "the caller disconnected";
  abandonAllAttempts(*request);
  apply(aId, RequestEvent::CallerDisconnected);
}

/// Ends the request if its caller has disconnected, which sweep() may not have seen yet: a busy
/// instance reads requests and connects to targets late. \returns true when the request was ended
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::endIfCallerLeft(Request& aRequest)
{
  const bool isGone = aRequest.mResponder->isDisconnected();
  if (isGone) {
    releaseToken(aRequest);
    onCallerDisconnected(aRequest.mId);
  }
  return isGone;
}

/// Checks for the caller again once the connection to the target is established.
/// \returns false when the request was ended
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::mayStillSend(RequestId aId, AttemptId aAttempt)
{
  Request* request = findAttempt(aId, aAttempt);
  if (request != nullptr && request->mResponder->isDisconnected()) {
    returnToken(*request);
  }
  return request == nullptr || !endIfCallerLeft(*request);
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::sweep()
{
  std::vector<RequestId> disconnected;
  for (const auto& [number, request] : mRequests) {
    if (request->mResponder->isDisconnected()) {
      disconnected.push_back(request->mId);
    }
  }
  for (const RequestId id : disconnected) {
    onCallerDisconnected(id);
  }
  mPicker.forgetUnknown(mSteeringState.mTargets, mHost.now());
  logRegionShares();
  updateCustomerMetrics();
}

/// Logs one line for each service to which requests were sent.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::logRegionShares()
{
  const TimePoint now = mHost.now();
  if (now - mSharesLoggedAt < kShareLogPeriod) {
    return;
  }
  mSharesLoggedAt = now;
  for (const auto& [service, shares] : mRegionShares.take()) {
    const std::map<RegionName, RegionRoom> rooms =
      mPicker.rooms(mSteeringState.mTargets.usable(service, now), mSteeringState.mContext, now);
    mHost.log(events::kRegionShares, RegionShares::format(service, shares, rooms));
  }
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::endAll()
{
  std::vector<RequestId> all;
  for (const auto& [number, request] : mRequests) {
    all.push_back(request->mId);
  }
  for (const RequestId id : all) {
    endUnanswered(id, "this instance ends");
  }
}

template<class HostType, class Codec>
typename RequestProxy<HostType, Codec>::Request* RequestProxy<HostType, Codec>::find(RequestId aId)
{
  const auto found = mRequests.find(aId.value());
  return found == mRequests.end() ? nullptr : found->second.get();
}

/// \returns the request with this attempt as the current one; nullptr when the attempt has ended.
template<class HostType, class Codec>
typename RequestProxy<HostType, Codec>::Request* RequestProxy<HostType, Codec>::findAttempt(
  RequestId aId,
  AttemptId aAttempt)
{
  Request* request = find(aId);
  return request != nullptr && request->selectAttempt(aAttempt) ? request : nullptr;
}

} // namespace bulrushrun
