#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: look-ups, readiness, metrics and the planned stop.

namespace bulrushrun {

template<class HostType, class Adapter>
DrainCallbacks SteeringInstance<HostType, Adapter>::drainCallbacks(
  std::function<void(std::size_t)> aOnExit)
{
  return { [this] { beginDrain(); },
           [this] { return acceptingPeriod(); },
           [this] {
             const std::size_t open = mOpenResponseCount ? mOpenResponseCount() : 0;
             return std::max(mProxy.inProgress(), open);
           },
           std::move(aOnExit) };
}

template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::acceptingPeriod() const
{
  return fromSeconds(kAcceptingShare * toSeconds(mSettings.mBounds.mGrace));
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::beginDrain()
{
  mView.mDraining = true;
  if (mGossip) {
    mGossip->leave();
  }
  mHost.after(acceptingPeriod(), [this] {
    mView.mRejectingRequests = true;
    if (mOnAcceptingEnded) {
      mOnAcceptingEnded();
    }
  });
}

template<class HostType, class Adapter>
std::vector<Endpoint> SteeringInstance<HostType, Adapter>::instancesFor(
  const LookupQuery& aQuery) const
{
  std::vector<Endpoint> inZone;
  std::vector<Endpoint> inRegion;
  std::vector<Endpoint> beyond;
  const std::vector<Member> members = mGossip ? mGossip->table().all() : std::vector<Member>{};
  for (const Member& member : members) {
    const bool self = member.mId == mSettings.mInstance;
    if (member.mState != MemberState::Alive || (self && !isReady())) {
      continue;
    }
    const bool near = mView.mContext.mZones.regionOf(member.mZone) == aQuery.mRegion;
    std::vector<Endpoint>& group =
      member.mZone == aQuery.mZone ? inZone : (near ? inRegion : beyond);
    group.push_back(member.mListen);
  }
  std::vector<Endpoint> chosen = std::move(inZone);
  for (const std::vector<Endpoint>& group : { inRegion, beyond }) {
    if (chosen.empty()) {
      chosen = group;
    }
  }
  if (chosen.empty() && isReady()) {
    // The others are not known yet.
    chosen.push_back(mSettings.mListen);
  }
  chosen.resize(std::min(chosen.size(), kMaxLookupAddresses));
  return chosen;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handleLookup(const HttpRequest& aRequest,
                                                       const ResponderPtr& aResponder)
{
  if (isInitialized()) {
    answerLookup(aRequest, aResponder);
  } else {
    mStartupLookups.hold(aRequest, aResponder);
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::answerLookup(const HttpRequest& aRequest,
                                                       const ResponderPtr& aResponder)
{
  HttpResponse response;
  response.mHead.mHeaders = { { "Content-Type", "application/json" } };
  const std::optional<LookupQuery> query = Adapter::parseLookup(aRequest.mPath);
  if (!query) {
    response.mHead.mStatus = 404;
    response.mBody = R"({"error":"not a look-up"})";
    respond(*aResponder, response);
    return;
  }
  const std::vector<Endpoint> instances = instancesFor(*query);
  if (instances.empty()) {
    response.mHead.mStatus = 503;
    response.mHead.mHeaders.push_back({ "Retry-After", "0.5" });
    response.mBody = R"({"error":"no instance is known to be ready"})";
    mHost.log(events::kLookupRefused,
              "zone=" + query->mZone.text() + " ready=" + std::to_string(isReady() ? 1 : 0) +
                " members=" + std::to_string(mGossip ? mGossip->table().all().size() : 0));
  } else {
    response.mBody = Adapter::formatLookupResponse(instances, kLookupSpan);
  }
  respond(*aResponder, response);
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handleReadiness(const HttpRequest& aRequest,
                                                          const ResponderPtr& aResponder)
{
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  HttpResponse response;
  response.mHead.mHeaders = { { "Content-Type", "text/plain" } };
  response.mHead.mStatus = isReady() ? response.mHead.mStatus : kUnavailable;
  response.mBody = isReady() ? "ready\n" : "not ready\n";
  if (!Adapter::isReadinessPath(aRequest.mPath)) {
    response.mHead.mStatus = kNotFound;
    response.mBody = "not found\n";
  }
  respond(*aResponder, response);
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handlePeerRequest(const HttpRequest& aRequest,
                                                            const ResponderPtr& aResponder)
{
  if (!mPeerReplication.handle(aRequest, aResponder)) {
    respond(*aResponder, { { 404, {}, std::nullopt }, "not a question for news\n" });
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handleMetrics(const ResponderPtr& aResponder)
{
  HttpResponse response;
  response.mHead.mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } };
  response.mBody = metricsText();
  respond(*aResponder, response);
}

template<class HostType, class Adapter>
std::string SteeringInstance<HostType, Adapter>::metricsText() const
{
  std::string text;
  const auto counter = [&text](const char* aName, const char* aHelp, std::uint64_t aValue) {
    const std::string name = std::string("bulrushrun_") + aName;
    text += "# HELP " + name + " " + aHelp + "\n# TYPE " + name + " counter\n" + name + " " +
            std::to_string(aValue) + "\n";
  };
  const RequestProxyCounters& counters = mProxy.counters();
  counter("requests_accepted_total", "Requests taken in.", counters.mAccepted);
  counter("sends_total", "Sends to targets.", counters.mAttempts);
  counter("repeats_total", "Sends beyond the first of a request.", counters.mRetryCount);
  counter("requests_answered_total", "Requests that got a target's answer.", counters.mAnswered);
  counter("requests_refused_total", "Requests refused without having run.", counters.mRefused);
  counter("requests_failed_total", "Requests that failed and may have run.", counters.mFailed);
  counter(
    "callers_gone_total", "Callers that left before their answer.", counters.mCallersDisconnected);
  std::uint64_t tableReads = 0;
  std::uint64_t feedCalls = 0;
  for (const Follower& follower : mFeedReaders) {
    tableReads += follower.tableReads();
    feedCalls += follower.feedCalls();
  }
  counter("store_table_reads_total", "Calls to the store that read a table.", tableReads);
  counter("store_feed_calls_total", "Calls to the store that follow changes.", feedCalls);
  counter("store_registration_calls_total",
          "Calls to the store that read or write the table of instances.",
          mRegistrationCalls);
  mProxy.metrics().render(text);
  return text;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::sweep()
{
  mView.mTargets.sweep(mHost.now());
  mProxy.sweep();
  mPeerReplication.answerPendingRequests();
  updateReaderRole();
  mHost.after(kSweepPeriod, [this] { sweep(); });
}

} // namespace bulrushrun
