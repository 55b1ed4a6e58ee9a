#pragma once

#include "bulrushrun/steering/RequestCarrier.h"

#include <cstdio>

/// \file
/// \brief RequestCarrier: how requests are taken in, dispatched, refused and ended.

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
void RequestCarrier<HostType, Wire>::accept(HttpRequest aRequest, ResponderPtr aResponder)
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
  request.mArrived = now;
  request.mLimit =
    now + std::min(request.mFacts.mTimeLeft.value_or(kDefaultTimeLeft), route->mTimeout);
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

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::apply(RequestId aId, RequestEvent aEvent)
{
  Request* request = find(aId);
  if (request != nullptr) {
    act(*request, request->mMachine.apply(aEvent));
  }
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::act(Request& aRequest, RequestAction aAction)
{
  switch (aAction) {
    case RequestAction::Enqueue:
      dispatch(aRequest);
      break;
    case RequestAction::Retry:
      repeat(aRequest);
      break;
    case RequestAction::StreamAnswer:
      break;
    case RequestAction::EndAnswer:
      aRequest.mResponder->finish();
      ++mCounters.mAnswered;
      finish(aRequest, "answered", aRequest.mSend->mHead->mStatus);
      break;
    case RequestAction::AbortAnswer:
      aRequest.mResponder->abort();
      ++mCounters.mFailed;
      finish(aRequest, "broken-off", 0);
      break;
    case RequestAction::SayNotRun:
      sayNotRun(aRequest);
      break;
    case RequestAction::SayUnknown:
    case RequestAction::SayFailed:
      sayFailed(aRequest);
      break;
    case RequestAction::Drop:
      finish(aRequest, "dropped", 0);
      break;
    default:
      break;
  }
}

template<class HostType, class Wire>
PickQuery RequestCarrier<HostType, Wire>::queryFor(const Request& aRequest) const
{
  PickQuery query;
  const Route& route = *aRequest.mRoute;
  if (route.mSticky && aRequest.mFacts.mObject) {
    query.mAffinity = Affinity::Object;
    query.mObject =
      combineHashes(hashText(aRequest.mService.text()), hashText(*aRequest.mFacts.mObject));
  }
  query.mLargeAnswer = route.mLargeAnswers;
  query.mTried = aRequest.mTried;
  query.mHomeRegions = route.mHomeRegions;
  return query;
}

template<class HostType, class Wire>
PickContext RequestCarrier<HostType, Wire>::contextFor(const Request& aRequest) const
{
  PickContext context = mView.mContext;
  const ServiceTerms* terms = aRequest.mPlan->terms(aRequest.mService);
  if (terms != nullptr) {
    context.mColdBound = terms->mColdPerSecond * mView.mColdFactor + mView.mColdSlack;
    context.mColdSpan = terms->mColdSpan;
  }
  return context;
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::dispatch(Request& aRequest)
{
  const TimePoint now = mHost.now();
  const Pick pick = mPicker.pick(
    queryFor(aRequest), mView.mTargets.usable(aRequest.mService, now), contextFor(aRequest), now);
  if (pick.mTarget == nullptr) {
    if (aRequest.mReason.empty()) {
      aRequest.mReason =
        pick.mFailure == PickFailure::AllBusy ? "all targets are busy" : "no usable target";
    }
    aRequest.mReason += " usable=" + std::to_string(pick.mUsable);
    apply(aRequest.mId, RequestEvent::Refused);
    return;
  }
  send(aRequest, pick);
}

template<class HostType, class Wire>
bool RequestCarrier<HostType, Wire>::mayRepeat(const Request& aRequest)
{
  const TimePoint now = mHost.now();
  const double usual = static_cast<double>(usualLatency(aRequest.mService).count());
  const Duration least{ static_cast<std::int64_t>(kLeastRepeatShare * usual) };
  if (aRequest.mLimit - now <= least || aRequest.mUnreached > kMaxUnreached) {
    return false;
  }
  if (aRequest.mSends == 0) {
    return true;
  }
  return aRequest.mSends < aRequest.mRoute->mMaxAttempts &&
         mRetries[aRequest.mService].spend(mView.mRetryBound, mView.mInstances, now);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::repeat(Request& aRequest)
{
  if (!mayRepeat(aRequest)) {
    aRequest.mReason += "; no further attempt";
    apply(aRequest.mId, RequestEvent::Refused);
    return;
  }
  mCounters.mRepeats += aRequest.mSends > 0 ? 1 : 0;
  dispatch(aRequest);
}

template<class HostType, class Wire>
Duration RequestCarrier<HostType, Wire>::usualLatency(const ServiceName& aService) const
{
  const auto found = mLatencies.find(aService);
  return found == mLatencies.end() ? Duration{ 0 } : found->second;
}

template<class HostType, class Wire>
std::string RequestCarrier<HostType, Wire>::retryAfter(const Request& aRequest)
{
  const Duration usual = std::max(usualLatency(aRequest.mService), kMinRetryAfter);
  const double spread = 0.5 + mHost.random().unit();
  const Duration span = std::min(fromSeconds(toSeconds(usual) * spread), kMaxRetryAfter);
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.3f", toSeconds(span));
  return text.data();
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::sayNotRun(Request& aRequest)
{
  HttpResponse response;
  response.mHead.mStatus = 503;
  response.mHead.mHeaders = { { "Content-Type", "text/plain" },
                              { "Retry-After", retryAfter(aRequest) } };
  response.mHead.mCloseAfter = mView.mStopping;
  response.mBody = "not run: " + aRequest.mReason + "\n";
  respond(*aRequest.mResponder, response);
  ++mCounters.mRefused;
  finish(aRequest, "refused", response.mHead.mStatus);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::sayFailed(Request& aRequest)
{
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  HttpResponse response;
  response.mHead.mStatus = mHost.now() >= aRequest.mLimit ? kGatewayTimeout : kBadGateway;
  response.mHead.mHeaders = { { "Content-Type", "text/plain" } };
  response.mHead.mCloseAfter = mView.mStopping;
  response.mBody = "may have run: " + aRequest.mReason + "\n";
  respond(*aRequest.mResponder, response);
  ++mCounters.mFailed;
  finish(aRequest, "failed", response.mHead.mStatus);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::finish(Request& aRequest, const char* aOutcome, int aStatus)
{
  mHost.cancelTimer(aRequest.mLimitTimer);
  aRequest.mResponder->mOnGone = nullptr;
  aRequest.mResponder->mOnWritable = nullptr;
  const std::string target = aRequest.mSend ? aRequest.mSend->mTarget.text() : "-";
  mHost.log(events::kRequestEnded,
            "id=" + aRequest.mFacts.mId + " route=" + aRequest.mRoute->mName +
              " version=" + std::to_string(aRequest.mPlan->mVersion.value()) +
              " service=" + aRequest.mService.text() + " target=" + target +
              " sends=" + std::to_string(aRequest.mSends) + " outcome=" + aOutcome +
              " status=" + std::to_string(aStatus) +
              " ms=" + std::to_string(toMillis(mHost.now() - aRequest.mArrived)) +
              (aRequest.mReason.empty() ? "" : " reason=\"" + aRequest.mReason + "\""));
  mRequests.erase(aRequest.mId.value());
}

} // namespace bulrushrun
