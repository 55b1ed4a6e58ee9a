#pragma once

#include "bulrushrun/steering/RequestCarrier.h"

#include <array>
#include <cstdio>

/// \file
/// \brief RequestCarrier: the actions of the request machine, up to the last word to the caller.

namespace bulrushrun {

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
      aRequest.mResponder->abort();
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
  const ServiceTerms* terms = aRequest.mPlan->terms(aRequest.mService);
  if (terms != nullptr) {
    query.mColdBound = terms->mColdPerSecond * mView.mColdFactor + mView.mColdSlack;
    query.mColdSpan = terms->mColdSpan;
  }
  query.mSilence = silence(aRequest);
  return query;
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::dispatch(Request& aRequest)
{
  const TimePoint now = mHost.now();
  const Pick pick = mPicker.pick(
    queryFor(aRequest), mView.mTargets.usable(aRequest.mService, now), mView.mContext, now);
  aRequest.mUsable = pick.mUsable;
  aRequest.mColdLimited = pick.mColdLimited;
  aRequest.mLoad = pick.mLoad;
  aRequest.mPlace = pick.mPlace;
  if (pick.mTarget == nullptr) {
    if (aRequest.mReason.empty()) {
      aRequest.mReason =
        pick.mFailure == PickFailure::AllBusy ? "all targets are busy or cold" : "no usable target";
    }
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
Duration RequestCarrier<HostType, Wire>::silence(const Request& aRequest) const
{
  return std::max({ kSilenceFactor * usualLatency(aRequest.mService),
                    kSilenceTargets * aRequest.mRoute->mLatencyTarget,
                    kMinSilence });
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
  constexpr int kUnavailable = 503;
  ++mCounters.mRefused;
  sayItself(aRequest,
            kUnavailable,
            { { "Retry-After", retryAfter(aRequest) } },
            "not run: " + aRequest.mReason);
  finish(aRequest, "refused", kUnavailable);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::sayFailed(Request& aRequest)
{
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  const int status = mHost.now() >= aRequest.mLimit ? kGatewayTimeout : kBadGateway;
  ++mCounters.mFailed;
  sayItself(aRequest, status, {}, "may have run: " + aRequest.mReason);
  finish(aRequest, "failed", status);
}

/// Gives an answer of this instance's own.
template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::sayItself(Request& aRequest,
                                               int aStatus,
                                               Headers aHeaders,
                                               const std::string& aText)
{
  HttpResponse response;
  response.mHead.mStatus = aStatus;
  response.mHead.mHeaders = std::move(aHeaders);
  response.mHead.mHeaders.push_back({ "Content-Type", "text/plain" });
  response.mHead.mCloseAfter = mView.mStopping;
  response.mBody = aText + "\n";
  respond(*aRequest.mResponder, response);
}

template<class HostType, class Wire>
void RequestCarrier<HostType, Wire>::finish(Request& aRequest, const char* aOutcome, int aStatus)
{
  mHost.cancelTimer(aRequest.mLimitTimer);
  aRequest.mResponder->mOnGone = nullptr;
  aRequest.mResponder->mOnWritable = nullptr;
  mMetrics.onRequest(
    aRequest.mRoute->mName, aRequest.mService, aOutcome, mHost.now() - aRequest.mArrived);
  const std::string target = aRequest.mSend ? aRequest.mSend->mTarget.text() : "-";
  std::array<char, 16> load{};
  std::snprintf(load.data(), load.size(), "%.1f", aRequest.mLoad);
  const TimePoint now = mHost.now();
  mHost.log(events::kRequestEnded,
            "id=" + aRequest.mFacts.mId + " route=" + aRequest.mRoute->mName +
              " version=" + std::to_string(aRequest.mPlan->mVersion.value()) +
              " service=" + aRequest.mService.text() + " target=" + target + " object=" +
              aRequest.mFacts.mObject.value_or("-") + " place=" + std::to_string(aRequest.mPlace) +
              " load=" + load.data() + " usable=" + std::to_string(aRequest.mUsable) +
              " cold_limited=" + std::to_string(aRequest.mColdLimited) +
              " news_age_ms=" + std::to_string(toMillis(now - mView.mCurrentAt)) +
              " sends=" + std::to_string(aRequest.mSends) + " outcome=" + aOutcome + " status=" +
              std::to_string(aStatus) + " ms=" + std::to_string(toMillis(now - aRequest.mArrived)) +
              (aRequest.mReason.empty() ? "" : " reason=\"" + aRequest.mReason + "\""));
  mRequests.erase(aRequest.mId.value());
}

} // namespace bulrushrun
