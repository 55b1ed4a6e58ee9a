#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: lookups, readiness, metrics and the drain.

namespace bulrushrun {

template<class HostType, class Adapter>
DrainCallbacks SteeringInstance<HostType, Adapter>::drainCallbacks(
  std::function<void(std::size_t)> aOnExit)
{
  return { [this] { return mSettings.mBounds.mGrace - kExitMargin; },
           [this] { beginDrain(); },
           [this] { return acceptingPeriod(); },
           [this] {
             const std::size_t open = mOpenResponseCount ? mOpenResponseCount() : 0;
             return std::max(mProxy.requestsInProgress(), open);
           },
           std::move(aOnExit),
           [this] { mProxy.endAll(); } };
}

template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::acceptingPeriod() const
{
  return fromSeconds(kAcceptingShare * toSeconds(mSettings.mBounds.mGrace));
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::beginDrain()
{
  mSteeringState.mDraining = true;
  mSteeringState.mResponsesDue =
    mHost.now() + mSettings.mBounds.mGrace - kExitMargin - kForwardingMargin;
  if (mGossip) {
    mGossip->leave();
  }
  mHost.after(acceptingPeriod(), [this] {
    mSteeringState.mRejectingRequests = true;
    mProxy.refuseWaiting();
    if (mOnAcceptingEnded) {
      mOnAcceptingEnded();
    }
  });
}

template<class HostType, class Adapter>
std::vector<Endpoint> SteeringInstance<HostType, Adapter>::selectInstances(
  const LookupQuery& aQuery) const
{
  std::vector<Endpoint> inZone;
  std::vector<Endpoint> inRegion;
  std::vector<Endpoint> elsewhere;
  const std::vector<Member> members = mGossip ? mGossip->table().all() : std::vector<Member>{};
  for (const Member& member : members) {
    const bool self = member.mId == mSettings.mInstance;
    if (member.mState != MemberState::Alive || (self && !isReady())) {
      continue;
    }
    const bool isSameRegion =
      mSteeringState.mContext.mZones.regionOf(member.mZone) == aQuery.mRegion;
    std::vector<Endpoint>& group =
      member.mZone == aQuery.mZone ? inZone : (isSameRegion ? inRegion : elsewhere);
    group.push_back(member.mListen);
  }
  std::vector<Endpoint> chosen = std::move(inZone);
  for (const std::vector<Endpoint>& group : { inRegion, elsewhere }) {
    if (chosen.empty()) {
      chosen = group;
    }
  }
  if (chosen.empty() && isReady()) {
    // No other instance is known yet.
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
    respondToLookup(aRequest, aResponder);
  } else {
    mStartupLookups.hold(aRequest, aResponder);
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::respondToLookup(const HttpRequest& aRequest,
                                                          const ResponderPtr& aResponder)
{
  HttpResponse response;
  response.mHead.mHeaders = { { "Content-Type", "application/json" } };
  const std::optional<LookupQuery> query = Adapter::parseLookup(aRequest.mPath);
  if (!query) {
    response.mHead.mStatus = 404;
    response.mBody = R"({"error":"not a lookup"})";
    respond(*aResponder, response);
    return;
  }
  const std::vector<Endpoint> instances = selectInstances(*query);
  if (instances.empty()) {
    response.mHead.mStatus = 503;
    response.mHead.mHeaders.push_back({ "Retry-After", "0.5" });
    response.mBody = R"({"error":"no instance is known to be ready"})";
    mHost.log(events::kLookupRefused,
              "zone=" + query->mZone.text() + " ready=" + std::to_string(isReady() ? 1 : 0) +
                " members=" + std::to_string(mGossip ? mGossip->table().all().size() : 0));
  } else {
    response.mBody = Adapter::formatLookupResponse(instances, kLookupTimeToLive);
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
  if (!mPeerReplication.handle(aRequest, aResponder) &&
      !mPlacementArchive.handlePeerRequest(aRequest, *aResponder)) {
    respond(*aResponder, { { 404, {}, std::nullopt }, "not a peer replication request\n" });
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
std::string SteeringInstance<HostType, Adapter>::metricsText()
{
  std::string text;
  const auto counter = [&text](const char* aName, const char* aHelp, std::uint64_t aValue) {
    const std::string name = std::string("bulrushrun_") + aName;
    text += "# HELP " + name + " " + aHelp + "\n# TYPE " + name + " counter\n" + name + " " +
            std::to_string(aValue) + "\n";
  };
  const RequestProxyCounters& counters = mProxy.counters();
  counter("requests_accepted_total", "Requests accepted.", counters.mAccepted);
  counter("sends_total", "Attempts at targets.", counters.mAttempts);
  counter("repeats_total", "Attempts beyond the first of a request.", counters.mRetryCount);
  counter("requests_answered_total", "Requests that got a target's response.", counters.mAnswered);
  counter(
    "requests_refused_total", "Requests refused without having been executed.", counters.mRefused);
  counter(
    "requests_failed_total", "Requests that failed and may have been executed.", counters.mFailed);
  counter("callers_gone_total",
          "Callers that disconnected before their response.",
          counters.mCallersDisconnected);
  std::uint64_t tableReads = 0;
  std::uint64_t feedCalls = 0;
  std::uint64_t unreadableRows = 0;
  for (const FeedReader& feedReader : mFeedReaders) {
    tableReads += feedReader.tableReads();
    feedCalls += feedReader.feedCalls();
    unreadableRows += feedReader.unreadableRows();
  }
  counter("store_table_reads_total", "Calls to the store that read a table.", tableReads);
  counter("store_feed_calls_total", "Calls to the store that read a change feed.", feedCalls);
  counter("store_unreadable_rows_total",
          "Rows of the store that were left out because they could not be read.",
          unreadableRows);
  counter("store_registration_calls_total",
          "Calls to the store that read or write the table of instances.",
          mRegistrationCalls);
  counter("store_placement_calls_total",
          "Calls to the store that save placements of objects.",
          mPlacementArchive.storeCalls());
  counter("store_epoch_rises_total",
          "Times that the store came back from an older copy.",
          mEpochs.rises());
  text +=
    "# HELP bulrushrun_store_epoch Epoch of the store; rises when it comes back from an older "
    "copy.\n# TYPE bulrushrun_store_epoch gauge\nbulrushrun_store_epoch " +
    std::to_string(mEpochs.epoch().value()) + "\n";
  mProxy.metrics().render(text);
  mProxy.customerMetrics().render(text);
  mProxy.admissionMetrics().render(text);
  mProxy.regionShares().render(text);
  mQuotaGate.render(text);
  if (mConnectionMetrics) {
    mConnectionMetrics(text);
  }
  return text;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::sweep()
{
  mSteeringState.mTargets.sweep(mHost.now());
  mProxy.sweep();
  mPeerReplication.respondToPendingRequests();
  updateReaderRole();
  mHost.after(kSweepPeriod, [this] { sweep(); });
}

} // namespace bulrushrun
