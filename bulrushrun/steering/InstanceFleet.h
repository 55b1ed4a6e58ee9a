#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: the other instances, look-ups, readiness, metrics and the planned stop.

namespace bulrushrun {

template<class HostType, class Adapter>
DrainSteps SteeringInstance<HostType, Adapter>::drainSteps(std::function<void(std::size_t)> aOnExit)
{
  return { [this] { beginStop(); },
           [this] { return takingSpan(); },
           [this] {
             const std::size_t open = mOpenAnswers ? mOpenAnswers() : 0;
             return std::max(mCarrier.inProgress(), open);
           },
           std::move(aOnExit) };
}

template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::takingSpan() const
{
  return fromSeconds(kTakingShare * toSeconds(mSettings.mBounds.mGrace));
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::beginStop()
{
  mView.mStopping = true;
  if (mGossip) {
    mGossip->leave();
  }
  mHost.after(takingSpan(), [this] {
    mView.mClosed = true;
    if (mOnClosed) {
      mOnClosed();
    }
  });
}

template<class HostType, class Adapter>
GossipListener SteeringInstance<HostType, Adapter>::gossipListener()
{
  return { [this] { updateFleet(); },
           [](ConfigurationVersion, const Member&) {},
           [](const LeavingNotice&) {},
           [] { return std::vector<LeavingNotice>{}; } };
}

/// The version of the written row is this life's incarnation: the store's counter only rises.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::registerSelf()
{
  exchangeWhole(mHost,
                mSettings.mStore,
                Rows::writeRow(Adapter::kInstanceTable,
                               mSettings.mInstance.text(),
                               mSettings.mPeer.text() + " " + mSettings.mZone.text()),
                kWriteLimit,
                kMaxAnswerBytes,
                [this](ExchangeEnd aEnd, const HttpResponse& aResponse) {
                  const std::optional<RecordVersion> version =
                    aEnd == ExchangeEnd::Whole ? Rows::parseWritten(aResponse) : std::nullopt;
                  if (version) {
                    onRegistered(*version);
                  } else {
                    mHost.after(kWritePause, [this] { registerSelf(); });
                  }
                });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onRegistered(RecordVersion aVersion)
{
  Member self{ mSettings.mInstance,
               mSettings.mZone,
               mSettings.mListen,
               mSettings.mPeer,
               Incarnation{ aVersion.value() },
               MemberState::Alive,
               ConfigurationVersion{} };
  mGossip = std::make_unique<Gossip<HostType>>(
    mHost, std::move(self), mSettings.mSeeds, mSettings.mPeerKeys, gossipListener());
  joinPeers();
  readInstances();
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::readInstances()
{
  exchangeWhole(mHost,
                mSettings.mStore,
                Rows::readRows(Adapter::kInstanceTable, ""),
                kWriteLimit,
                kMaxAnswerBytes,
                [this](ExchangeEnd aEnd, const HttpResponse& aResponse) {
                  const RowReadResult result =
                    aEnd == ExchangeEnd::Whole ? Rows::parseRows(aResponse) : RowReadResult{};
                  if (result.mStatus == RowReadStatus::Ok) {
                    onInstances(result.mBatch.mRows);
                  } else {
                    mHost.after(kWritePause, [this] { readInstances(); });
                  }
                });
}

/// Finds the peers, and learns with how many instances of its zone this one shares bounds before
/// gossip tells it. Rows of instances that are gone only make its share smaller for a while.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onInstances(const Table& aRows)
{
  std::size_t inZone = 0;
  for (const StoreRow& row : aRows) {
    const std::size_t space = std::min(row.mValue.find(' '), row.mValue.size());
    const std::optional<Endpoint> peer = parseEndpoint(row.mValue.substr(0, space));
    inZone += row.mValue.substr(space) == " " + mSettings.mZone.text() ? 1 : 0;
    if (peer && *peer != mSettings.mPeer) {
      mGossip->contact(*peer);
    }
  }
  mRegisteredInZone = inZone;
  mRegisteredAt = mHost.now();
  updateFleet();
}

/// Peers name this instance to callers as soon as they know it, so it joins them when it is ready.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::joinPeers()
{
  if (!isReady() || !mGossip || std::exchange(mReadyLogged, true)) {
    return;
  }
  mHost.log(events::kInstanceReady,
            "version=" + std::to_string(mView.mPlan->mVersion.value()) +
              " targets=" + std::to_string(mView.mTargets.size()));
  mGossip->start();
  updateFleet();
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handlePeer(const std::string& aBytes)
{
  if (mGossip) {
    mGossip->receive(aBytes);
  }
}

/// One instance of each zone asks a reader, the others ask it, so that few bytes cross zones. When
/// that one is of no use, any other may be.
template<class HostType, class Adapter>
std::optional<Endpoint> SteeringInstance<HostType, Adapter>::choosePeer(bool aDisappointed)
{
  // The internal address has the same port on every instance.
  const auto endpointOf = [this](std::uint32_t aAddress) {
    return Endpoint{ aAddress, mSettings.mMetrics.mPort };
  };
  const InstanceId& self = mSettings.mInstance;
  const bool asksRelay =
    !aDisappointed && mRoles.mRelay && mRoles.mRelay->mId != self && !mRoles.isReader(self);
  if (asksRelay) {
    return endpointOf(mRoles.mRelay->mListen.mAddress);
  }
  std::vector<Endpoint> others;
  for (const Member& reader : mRoles.mReaders) {
    if (reader.mId != self) {
      others.push_back(endpointOf(reader.mListen.mAddress));
    }
  }
  const std::vector<Member> members = mGossip ? mGossip->table().all() : std::vector<Member>{};
  for (const Member& member : members) {
    if ((aDisappointed || others.empty()) && member.mId != self &&
        member.mState != MemberState::Dead) {
      others.push_back(endpointOf(member.mListen.mAddress));
    }
  }
  for (const Endpoint& seed : mSettings.mSeeds) {
    if (members.size() <= 1 && seed.mAddress != mSettings.mPeer.mAddress) {
      others.push_back(endpointOf(seed.mAddress));
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  return others[mHost.random().below(others.size())];
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::updateFleet()
{
  std::size_t inZone = 0;
  const std::vector<Member> members = mGossip->table().all();
  for (const Member& member : members) {
    inZone += member.mZone == mSettings.mZone ? 1 : 0;
  }
  // Members that are taken for dead may only be cut off, and still send.
  mView.mInstances = std::max<std::size_t>(members.size(), 1);
  const bool recent = mHost.now() - mRegisteredAt < kGossipSpan;
  mView.mContext.mZoneInstances = recent ? std::max(inZone, mRegisteredInZone) : inZone;
  if (mRegisteredAt == TimePoint{}) {
    mView.mContext.mZoneInstances = 0;
  }
  mRoles = assignNewsRoles(members, mSettings.mRegions, mSettings.mZone);
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
    const auto region = mSettings.mRegions.find(member.mZone);
    const bool near = region != mSettings.mRegions.end() && region->second == aQuery.mRegion;
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
  chosen.resize(std::min(chosen.size(), kMaxLookupAddresses));
  return chosen;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handleLookup(const HttpRequest& aRequest,
                                                       const ResponderPtr& aResponder)
{
  HttpResponse response;
  response.mHead.mHeaders = { { "Content-Type", "application/json" } };
  const std::optional<LookupQuery> query = Adapter::readLookup(aRequest.mPath);
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
  } else {
    response.mBody = Adapter::lookupAnswer(instances, kLookupSpan);
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
void SteeringInstance<HostType, Adapter>::handleInternal(const HttpRequest& aRequest,
                                                         const ResponderPtr& aResponder)
{
  if (mNews.handle(aRequest, aResponder)) {
    return;
  }
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
  const CarrierCounters& counters = mCarrier.counters();
  counter("requests_accepted_total", "Requests taken in.", counters.mAccepted);
  counter("sends_total", "Sends to targets.", counters.mSends);
  counter("repeats_total", "Sends beyond the first of a request.", counters.mRepeats);
  counter("requests_answered_total", "Requests that got a target's answer.", counters.mAnswered);
  counter("requests_refused_total", "Requests refused without having run.", counters.mRefused);
  counter("requests_failed_total", "Requests that failed and may have run.", counters.mFailed);
  counter("callers_gone_total", "Callers that left before their answer.", counters.mCallersGone);
  return text;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::sweep()
{
  mView.mTargets.sweep(mHost.now());
  mCarrier.sweep();
  mNews.answerWaiting();
  chooseSource();
  mHost.after(kSweepPeriod, [this] { sweep(); });
}

} // namespace bulrushrun
